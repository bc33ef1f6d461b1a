#include "core/passthrough/tests/limitedfleet.h"

#include "core/passthrough/tests/world.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>

namespace auburnspread::passthrough::tests
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration WorkTime = std::chrono::milliseconds(30);
constexpr Duration AggregateInterval = std::chrono::milliseconds(100);
/// Time for which the other entries' membership lists still contain an entry that crashed.
constexpr Duration MembershipTimeout = std::chrono::milliseconds(1800);
constexpr Duration RestartTime = std::chrono::milliseconds(300);
constexpr Duration LongestPartition = std::chrono::seconds(4);
/// With more entries than this, one hub per failure domain aggregates their reports.
constexpr std::size_t MostDirectPeers = 12;
/// \name Which requests LimitedFleetResult::mostWithinWindow counts
/// @{
constexpr Duration Window = std::chrono::seconds(4);
constexpr Duration PropagationTime = std::chrono::milliseconds(500); ///< an entry is counted from this time after its first answer with a limit
constexpr Duration RecoveryTime = std::chrono::seconds(3);           ///< an entry is not counted until this time after a fault
/// @}

struct Arrival {
    TimePoint at;
    bool isCounted = false;
};

class LimitedFleet
{
public:
    explicit LimitedFleet(const LimitedFleetOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < options_.servers; ++i) {
            servers_.push_back(makeServer("p" + std::to_string(i), "portal", 6));
        }
        entries_.resize(options_.entries);
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            start(i);
        }
        announceEntries();
    }

    auto run() -> LimitedFleetResult
    {
        drawFaults();
        scheduleArrival();
        every(TickInterval, [this]() { tick(); });
        every(ReportInterval, [this]() { report(); });
        every(AggregateInterval, [this]() { sendAggregates(); });
        while (!queue_.empty() && queue_.top().at <= Start + options_.length) {
            auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.action();
        }
        result_.mostWithinWindow = mostWithinWindow();
        return result_;
    }

private:
    static constexpr TimePoint Start{ std::chrono::hours(1) };

    struct Entry {
        RouterStatePointer router;
        std::uint64_t incarnation = 0;
        bool isDown = false;
        bool isPartitioned = false;
        TimePoint faultEndsAt;                            ///< end of the latest crash or partition
        std::map<std::string, TimePoint> limitReceivedAt; ///< when the entry received the first answer with a limit, by server
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        auto operator<(const Event &other) const -> bool
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static auto nameOf(std::size_t entry) -> std::string
    {
        return "entry-" + std::to_string(entry);
    }

    [[nodiscard]] auto domainOf(std::size_t entry) const -> std::size_t
    {
        return entry % options_.failureDomains;
    }

    auto after(Duration delay, std::function<void()> action) -> void
    {
        queue_.push({ now_ + delay, ++lastOrder_, std::move(action) });
    }
    auto every(Duration interval, const std::function<void()> &action) -> void
    {
        after(interval, [this, interval, action]() {
            action();
            every(interval, action);
        });
    }
    auto draw(double most) -> double
    {
        return std::uniform_real_distribution<double>(0, most)(random_);
    }
    auto drawEntry() -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
    }

    auto start(std::size_t number) -> void
    {
        auto &entry = entries_.at(number);
        entry.incarnation += 1;
        entry.isDown = false;
        entry.limitReceivedAt.clear();
        entry.router = makeRouter({ .entry = nameOf(number), .failureDomain = std::to_string(domainOf(number)) });
        step(*entry.router, ConfigurationAdopted{ makeConfiguration() }, now_);
        step(*entry.router, ConfigurationConfirmed{ .asOf = now_ + std::chrono::hours(1) }, now_);
        step(*entry.router, ServersListed{ .servers = servers_, .asOf = now_ }, now_);
        step(*entry.router, EntriesCounted{ .isProvisional = true }, now_);
    }

    auto announceEntries() -> void
    {
        EntriesCounted counted;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!entries_[i].isDown) {
                counted.names.push_back(nameOf(i));
            }
        }
        counted.entries = static_cast<std::uint32_t>(counted.names.size());
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!entries_[i].isDown && !entries_[i].isPartitioned) {
                apply(i, counted);
            }
        }
    }

    auto drawFaults() -> void
    {
        const auto seconds = std::chrono::duration<double>(options_.length).count();
        const auto drawTime = [&]() { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(draw(seconds))); };
        for (std::size_t i = 0; i < options_.crashes; ++i) {
            after(drawTime(), [this, entry = drawEntry()]() { crash(entry); });
        }
        for (std::size_t i = 0; i < options_.partitions; ++i) {
            after(drawTime(), [this, entry = drawEntry(), length = scaled(LongestPartition, draw(1))]() { partition(entry, length); });
        }
    }

    auto crash(std::size_t number) -> void
    {
        auto &entry = entries_.at(number);
        if (entry.isDown) {
            return;
        }
        entry.isDown = true;
        entry.faultEndsAt = std::max(entry.faultEndsAt, now_ + RestartTime);
        after(RestartTime, [this, number]() {
            start(number);
            after(RestartTime, [this]() { announceEntries(); });
        });
        after(MembershipTimeout, [this]() { announceEntries(); });
    }

    auto partition(std::size_t number, Duration length) -> void
    {
        auto &entry = entries_.at(number);
        entry.isPartitioned = true;
        entry.faultEndsAt = std::max(entry.faultEndsAt, now_ + length);
        after(length, [this, number]() {
            entries_.at(number).isPartitioned = false;
            announceEntries();
        });
    }

    auto scheduleArrival() -> void
    {
        const auto pause = std::exponential_distribution<double>(options_.requestsPerSecond)(random_);
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)), [this]() {
            const auto number = drawEntry();
            if (!entries_.at(number).isDown) {
                RequestArrived arrived{ .request = RequestId{ ++lastRequest_ }, .host = "quotes.example", .path = FetchPath, .key = "key-1" };
                arrived.fingerprint = Fingerprint{ lastRequest_ };
                apply(number, arrived);
            }
            scheduleArrival();
        });
    }

    auto apply(std::size_t number, const passthrough::Event &event) -> void
    {
        for (const auto &action : step(*entries_.at(number).router, event, now_)) {
            if (const auto *send = std::get_if<Send>(&action)) {
                handleSend(number, *send);
            } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
                result_.refused += 1;
                result_.refusedAsLimited += refusal->reason == Reason::BackendLimited ? 1 : 0;
            }
        }
    }

    [[nodiscard]] auto limitOf(const std::string &server) const -> std::optional<double>
    {
        const auto isLimited = std::stoul(server.substr(1)) < options_.limitedServers;
        const auto isLimitPhase = now_ >= Start + options_.limitFrom && now_ < Start + options_.limitUntil;
        return isLimited && isLimitPhase ? std::optional(options_.limit) : std::nullopt;
    }

    auto handleSend(std::size_t number, const Send &send) -> void
    {
        result_.sent += 1;
        const auto &entry = entries_.at(number);
        const auto received = entry.limitReceivedAt.find(send.server);
        const auto isRecovering = entry.isPartitioned || now_ < entry.faultEndsAt + RecoveryTime;
        arrivals_[send.server].push_back(
            { .at = now_, .isCounted = received != entry.limitReceivedAt.end() && now_ >= received->second + PropagationTime && !isRecovering });
        if (send.server == "p0") {
            result_.sentToFirst += limitOf(send.server) ? 1 : 0;
            result_.sentToFirstAfter += now_ >= Start + options_.limitUntil + std::chrono::seconds(1) ? 1 : 0;
        }
        after(WorkTime, [this, number, attempt = send.attempt, server = send.server, incarnation = entry.incarnation]() {
            if (!entries_.at(number).isDown && entries_.at(number).incarnation == incarnation) {
                answer(number, attempt, server);
            }
        });
    }

    auto answer(std::size_t number, AttemptId attempt, const std::string &server) -> void
    {
        const auto limit = limitOf(server);
        if (limit) {
            entries_.at(number).limitReceivedAt.try_emplace(server, now_);
        } else {
            entries_.at(number).limitReceivedAt.erase(server);
        }
        apply(number, RateLimitReported{ .attempt = attempt, .perSecond = limit });
        apply(number, AttemptAnswered{ .attempt = attempt, .status = 200 });
    }

    auto tick() -> void
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!entries_[i].isDown) {
                apply(i, Tick{});
            }
        }
    }

    [[nodiscard]] auto isReachable(std::size_t number) const -> bool
    {
        return !entries_.at(number).isDown && !entries_.at(number).isPartitioned;
    }

    auto deliver(std::size_t from, std::size_t to, const PeerReported &report) -> void
    {
        if (from == to || !isReachable(from) || draw(1) < options_.lostReports) {
            return;
        }
        after(scaled(options_.longestDelay, draw(1)), [this, to, report]() {
            if (isReachable(to)) {
                apply(to, report);
            }
        });
    }

    /// \return the first entry of the failure domain that can be reached, or its last one if there is none
    [[nodiscard]] auto hubOf(std::size_t domain) const -> std::size_t
    {
        auto number = domain;
        while (number + options_.failureDomains < entries_.size() && !isReachable(number)) {
            number += options_.failureDomains;
        }
        return number;
    }

    auto report() -> void
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (entries_[i].isDown) {
                continue;
            }
            const auto own = makeEntryReport(*entries_[i].router);
            if (entries_.size() > MostDirectPeers) {
                deliver(i, hubOf(domainOf(i)), own);
                continue;
            }
            for (std::size_t to = 0; to < entries_.size(); ++to) {
                deliver(i, to, own);
            }
        }
    }

    auto sendAggregates() -> void
    {
        if (entries_.size() <= MostDirectPeers) {
            return;
        }
        for (std::size_t domain = 0; domain < options_.failureDomains; ++domain) {
            sendAggregatesOf(domain);
        }
    }

    auto sendAggregatesOf(std::size_t domain) -> void
    {
        const auto from = hubOf(domain);
        if (entries_[from].isDown) {
            return;
        }
        const auto domainReport = makeAggregateReport(*entries_[from].router, ReportScope::FailureDomain);
        for (std::size_t other = 0; other < options_.failureDomains; ++other) {
            deliver(from, hubOf(other), domainReport);
        }
        const auto fleetReport = makeAggregateReport(*entries_[from].router, ReportScope::Fleet);
        for (auto to = domain; to < entries_.size(); to += options_.failureDomains) {
            deliver(from, to, fleetReport);
        }
    }

    [[nodiscard]] auto mostWithinWindow() const -> std::size_t
    {
        std::size_t most = 0;
        for (const auto &[server, arrivals] : arrivals_) {
            std::vector<TimePoint> counted;
            for (const auto &each : arrivals) {
                if (each.isCounted) {
                    counted.push_back(each.at);
                }
            }
            for (auto last = counted.begin(); last != counted.end(); ++last) {
                const auto first = std::upper_bound(counted.begin(), last, *last - Window);
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return most;
    }

    LimitedFleetOptions options_;
    std::mt19937_64 random_;
    std::vector<Server> servers_;
    std::vector<Entry> entries_;
    std::priority_queue<Event> queue_;
    std::uint64_t lastOrder_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::map<std::string, std::vector<Arrival>> arrivals_; ///< by server
    LimitedFleetResult result_;
    TimePoint now_ = Start;
};

} // namespace

auto simulateLimitedFleet(const LimitedFleetOptions &options) -> LimitedFleetResult
{
    return LimitedFleet(options).run();
}

} // namespace auburnspread::passthrough::tests
