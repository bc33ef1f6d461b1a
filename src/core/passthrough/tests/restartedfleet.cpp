#include "core/passthrough/tests/restartedfleet.h"

#include "core/passthrough/tests/world.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace auburnspread::passthrough::tests
{

namespace
{

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration LateFrom = std::chrono::milliseconds(2800);
constexpr Duration ClosingFrom = std::chrono::milliseconds(5500);
constexpr Duration ExitAfter = std::chrono::milliseconds(7700);
constexpr Duration Memory = std::chrono::minutes(1);
constexpr auto SlowService = "slow-engines";

struct Run {
    RequestId request{};
    AttemptId attempt{};
    TimePoint startedAt;
    TimePoint endsAt;
    bool isLate = false;
    bool callerLeaves = false;
};

/// How long a request ran at least, by the time of its start.
struct Seen {
    TimePoint startedAt;
    Duration time{};
};

struct Entry {
    RouterHarness harness;
    std::vector<Run> runs;
    std::vector<Seen> ended;
    std::size_t requests = 0;
    std::optional<TimePoint> signalAt; ///< all times of an entry are those of its own clock
    bool isClosing = false;
};

auto configurationFor(std::uint64_t version, const std::string &service, Duration timeout) -> Configuration
{
    auto configuration = makeConfiguration(version);
    configuration.services.push_back({ .name = SlowService, .batchSlots = 32, .cacheTokens = 292'000 });
    for (auto &route : configuration.routes) {
        route.timeout = timeout;
        if (route.hasPrompt) {
            route.shares = { { .service = service } };
        }
    }
    return configuration;
}

class Simulation
{
public:
    explicit Simulation(const RestartedFleetOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < options.entries; ++i) {
            entries_.push_back(startEntry());
        }
    }

    auto run() -> RestartedFleetResult
    {
        advance(options_.uptime);
        mayBeLong_ = options_.longEvery > 0;
        hasTraffic_ = false;
        advance(options_.quietBefore);
        hasTraffic_ = true;
        for (std::size_t i = 0; i < options_.rounds * entries_.size(); ++i) {
            moveRoute("engines");
            if (options_.movesRoute) {
                advance(std::chrono::seconds(2));
                moveRoute(SlowService);
                advance(std::chrono::seconds(2));
            }
            auto &entry = *entries_[i % entries_.size()];
            if (!entry.signalAt) {
                entry.signalAt = entry.harness.now();
                entry.harness.apply(LeavingStarted{ .lateFrom = *entry.signalAt + LateFrom, .exitAt = *entry.signalAt + ExitAfter });
            }
            advance(options_.gap);
        }
        advance(ExitAfter + Step);
        return result_;
    }

private:
    auto startEntry() -> std::unique_ptr<Entry>
    {
        auto entry = std::make_unique<Entry>();
        auto servers = makeServers();
        servers.push_back(makeServer("s1", SlowService, 32));
        std::for_each(servers.begin(), servers.end(), [](Server &each) { each.slots = 2000; });
        entry->harness.apply(ConfigurationAdopted{ configurationFor(++version_, service_, options_.timeout) });
        entry->harness.apply(ServersListed{ .servers = servers, .asOf = entry->harness.now() });
        return entry;
    }

    auto moveRoute(const std::string &service) -> void
    {
        if (service_ == service) {
            return;
        }
        service_ = service;
        ++version_;
        for (auto &entry : entries_) {
            entry->harness.apply(ConfigurationAdopted{ configurationFor(version_, service_, options_.timeout) });
        }
    }

    auto advance(Duration duration) -> void
    {
        for (auto left = duration; left > Duration::zero(); left -= Step) {
            for (auto &entry : entries_) {
                entry->harness.advanceSilently(Step);
                entry->harness.confirm();
                entry->harness.apply(Tick{});
                finishDue(*entry);
                checkExit(entry);
            }
            due_ += hasTraffic_ ? options_.requestsPerSecond * std::chrono::duration<double>(Step).count() : 0;
            for (; due_ >= 1; due_ -= 1) {
                arrive();
            }
        }
    }

    auto checkExit(std::unique_ptr<Entry> &entry) -> void
    {
        if (!entry->signalAt) {
            return;
        }
        const auto elapsed = entry->harness.now() - *entry->signalAt;
        if (elapsed >= ClosingFrom && !std::exchange(entry->isClosing, true)) {
            entry->harness.apply(ClosingStarted{});
        }
        if (elapsed < ExitAfter) {
            return;
        }
        for (const auto &run : entry->runs) {
            result_.lost += run.isLate ? 1 : 0;
            result_.lostAsOthers += run.isLate && hasSeen(*entry, run) ? 1 : 0;
        }
        entry = startEntry();
    }

    /// Whether, when the request arrived, another one of the minute before was known to have taken as long as was left.
    static auto hasSeen(const Entry &entry, const Run &late) -> bool
    {
        const auto left = *entry.signalAt + ExitAfter - late.startedAt;
        const auto isRecent = [&late](TimePoint startedAt) { return startedAt < late.startedAt && late.startedAt - startedAt < Memory; };
        const auto tookAsLong = [&](const Seen &seen) { return isRecent(seen.startedAt) && seen.time >= left && seen.startedAt + seen.time <= late.startedAt; };
        const auto runsAsLong = [&](const Run &run) { return isRecent(run.startedAt) && late.startedAt - run.startedAt >= left; };
        return std::any_of(entry.ended.begin(), entry.ended.end(), tookAsLong) || std::any_of(entry.runs.begin(), entry.runs.end(), runsAsLong);
    }

    /// \return an entry that is leaving, for a stale caller, or one that is not, if there are any
    auto chooseEntry() -> Entry &
    {
        const auto wantsLeaving = draw() < options_.staleCallers;
        std::vector<Entry *> suitable;
        for (const auto &entry : entries_) {
            if (entry->signalAt.has_value() == wantsLeaving) {
                suitable.push_back(entry.get());
            }
        }
        return suitable.empty() ? *entries_[random_() % entries_.size()] : *suitable[random_() % suitable.size()];
    }

    auto responseTime(Entry &entry) -> Duration
    {
        const auto isLongByTurn = options_.longEvery > 0 && ++entry.requests % options_.longEvery == 0;
        const auto isLong = options_.movesRoute ? service_ == SlowService : mayBeLong_ && isLongByTurn;
        const auto isAnyLeaving = std::any_of(entries_.begin(), entries_.end(), [](const auto &each) { return each->signalAt.has_value(); });
        const auto scale = (isAnyLeaving ? options_.growth : 1) * (1 - draw() / 10);
        return std::chrono::duration_cast<Duration>((isLong ? options_.longest : options_.shortest) * scale);
    }

    auto arrive() -> void
    {
        auto &entry = chooseEntry();
        const auto now = entry.harness.now();
        const auto isLate = entry.signalAt && now - *entry.signalAt >= LateFrom;
        const auto call = entry.harness.request(CheckPath);
        const auto actions = entry.harness.apply(call);
        if (const auto sent = find<Send>(actions)) {
            entry.harness.apply(AttemptStarted{ .attempt = sent->attempt, .isForwarded = true });
            const auto time = responseTime(entry);
            const auto callerLeaves = draw() < options_.leavingCallers;
            entry.runs.push_back({
                .request = call.request,
                .attempt = sent->attempt,
                .startedAt = now,
                .endsAt = now + (callerLeaves ? time / 2 : time),
                .isLate = isLate,
                .callerLeaves = callerLeaves,
            });
            result_.acceptedLate += isLate ? 1 : 0;
        } else if (const auto refused = find<Refuse>(actions)) {
            result_.refusedLate += isLate ? 1 : 0;
            result_.refusedInTime += isLate && !entry.isClosing && now + options_.timeout <= *entry.signalAt + ExitAfter ? 1 : 0;
            result_.refusedAsRun += refused->outcome != Outcome::NotRun || !refused->retryAfter ? 1 : 0;
        }
    }

    static auto finishDue(Entry &entry) -> void
    {
        const auto now = entry.harness.now();
        std::erase_if(entry.runs, [&entry, now](const Run &run) {
            if (run.endsAt > now) {
                return false;
            }
            entry.ended.push_back({ .startedAt = run.startedAt, .time = now - run.startedAt });
            if (run.callerLeaves) {
                entry.harness.apply(CallerGone{ .request = run.request });
            } else {
                entry.harness.apply(AttemptFinished{ .attempt = run.attempt });
            }
            return true;
        });
    }

    auto draw() -> double
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    RestartedFleetOptions options_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Entry>> entries_;
    RestartedFleetResult result_;
    std::string service_ = "engines";
    std::uint64_t version_ = 1;
    double due_ = 0;
    bool hasTraffic_ = true;
    bool mayBeLong_ = options_.quietBefore == Duration::zero() && options_.longEvery > 0;
};

} // namespace

auto simulateRestartedFleet(const RestartedFleetOptions &options) -> RestartedFleetResult
{
    return Simulation(options).run();
}

} // namespace auburnspread::passthrough::tests
