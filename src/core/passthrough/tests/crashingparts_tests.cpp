#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr Duration Step = std::chrono::milliseconds(20);
/// Time within which entries in touch with each other know what one of them knows.
constexpr Duration StableTime = std::chrono::seconds(3);
constexpr std::size_t CrashesBeforeBound = 5;
constexpr std::size_t MaxLateSends = 3;

struct FleetOptions {
    std::size_t entries = 7;
    double crashingPerSecond = 0; ///< requests with the part that crashes servers
    std::size_t position = 0;     ///< of that part among the shared parts of its prompts
    double soundPerSecond = 40;
    int sharingPercent = 30; ///< sound requests that have the caller and the first part of the crashing ones
    int lossPercent = 0;     ///< of the reports between entries
    int maxDelayMs = 1;      ///< of these reports
    std::uint64_t seed = 1;
};

/// Entries before 18 engines, in virtual time. An engine crashes as soon as it begins to write on one part of a prompt; it is listed for 3 s
/// more and replaced by another one.
class PartsFleet
{
public:
    explicit PartsFleet(const FleetOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < options.entries; ++i) {
            entries_.push_back(makeEntry(i));
        }
        list();
    }

    auto setCrashingRate(double perSecond) -> void
    {
        options_.crashingPerSecond = perSecond;
    }

    auto advance(Duration time) -> void
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += Step;
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                record(i, entries_[i]->advance(Step));
            }
            arrive();
            runServers();
            deliverReports();
            if (now_ - listedAt_ >= std::chrono::milliseconds(500)) {
                list();
            }
        }
    }

    /// An entry loses its state and takes the quarantine from another one, as the directory carries it.
    auto restart(std::size_t entry) -> void
    {
        std::erase_if(runs_, [entry](const Run &run) { return run.entry == entry; });
        entries_[entry] = makeEntry(entry);
        const auto &other = *entries_[(entry + 1) % entries_.size()];
        entries_[entry]->apply(QuarantineListed{ .suspects = quarantinedSuspects(other.router(), now_) });
        list();
    }

    /// This many engines end at once, for a reason of their own.
    auto crashAtOnce(std::size_t engines) -> void
    {
        std::set<std::string> ended;
        for (std::size_t i = 0; ended.size() < engines; ++i) {
            const auto id = "e" + std::to_string(i);
            if (!crashedAt_.contains(id)) {
                ended.insert(id);
            }
        }
        crash(ended);
    }

    [[nodiscard]] auto crashes() const -> std::size_t
    {
        return crashes_;
    }
    [[nodiscard]] auto lateSends() const -> std::size_t
    {
        return lateSends_;
    }
    /// Number of sound requests, with the caller and first part of the crashing ones, that arrived since the last call, and how many of them
    /// began at the first attempt.
    auto takeSharing() -> std::pair<std::size_t, std::size_t>
    {
        return std::exchange(sharing_, {});
    }
    auto takeQuarantinedSound() -> std::size_t
    {
        return std::exchange(quarantinedSound_, 0);
    }

private:
    struct Call {
        bool crashes = false;
        bool isSharing = false;
        int sends = 0;
    };
    struct Run {
        std::size_t entry = 0;
        AttemptId attempt{};
        RequestId request{};
        std::string server;
        TimePoint beginsAt;
        TimePoint endsAt;
        TimePoint nextEventAt;
        std::uint32_t events = 0;
    };
    struct Report {
        std::size_t sender = 0;
        CrashesReported report;
        int sendsLeft = 4;
        TimePoint nextAt;
    };
    struct Delivery {
        std::size_t receiver = 0;
        CrashesReported report;
        TimePoint at;
    };

    static auto makeEntry(std::size_t number) -> std::unique_ptr<RouterHarness>
    {
        return std::make_unique<RouterHarness>(RouterOptions{ .entry = "entry-" + std::to_string(number), .failureDomain = "a" });
    }

    auto draw(int from, int to) -> int
    {
        return std::uniform_int_distribution<int>(from, to)(random_);
    }
    auto happens(double probability) -> bool
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    auto list() -> void
    {
        constexpr std::size_t Engines = 18;
        std::vector<Server> servers;
        for (std::size_t i = 0; i < Engines + crashedAt_.size(); ++i) {
            const auto id = "e" + std::to_string(i);
            const auto found = crashedAt_.find(id);
            if (found == crashedAt_.end() || now_ - found->second < std::chrono::seconds(3)) {
                servers.push_back(makeServer(id, "engines", 32));
            }
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            entries_[i]->advanceSilently(now_ - entries_[i]->now());
            record(i, entries_[i]->apply(ServersListed{ .servers = servers, .asOf = now_ }));
        }
        listedAt_ = now_;
    }

    auto arrive() -> void
    {
        const auto seconds = std::chrono::duration<double>(Step).count();
        const auto expected = options_.soundPerSecond * seconds;
        for (auto i = 0; i < expected; ++i) {
            if (happens(std::min(expected - i, 1.0))) {
                send(false);
            }
        }
        if (happens(options_.crashingPerSecond * seconds)) {
            send(true);
        }
    }

    auto send(bool crashes) -> void
    {
        constexpr std::uint64_t CommonFirstPart = 10;
        constexpr std::uint64_t CommonCaller = 100;
        constexpr std::uint64_t CrashingPart = 7;
        const auto entry = static_cast<std::size_t>(draw(0, static_cast<int>(entries_.size()) - 1));
        const auto isSharing = crashes || draw(1, 100) <= options_.sharingPercent;
        auto request = entries_[entry]->request(crashes || happens(0.6) ? CheckPath : QuotePath);
        request.request = RequestId{ ++lastRequest_ };
        request.fingerprint = Fingerprint{ lastRequest_ };
        std::vector<std::uint64_t> parts{ isSharing ? CommonFirstPart : CommonFirstPart + static_cast<std::uint64_t>(draw(1, 20)),
                                          isSharing ? CommonCaller : CommonCaller + static_cast<std::uint64_t>(draw(1, 200)) };
        if (crashes) {
            parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(options_.position), CrashingPart);
        }
        parts.push_back(1'000'000 + lastRequest_);
        request.prompt.parts.clear();
        for (const auto part : parts) {
            request.prompt.parts.push_back({ .id = part, .tokens = 120 });
        }
        request.prompt.tokens = 120 * static_cast<std::uint32_t>(parts.size());
        calls_[request.request] = { .crashes = crashes, .isSharing = isSharing };
        sharing_.first += isSharing && !crashes ? 1 : 0;
        record(entry, entries_[entry]->apply(request));
    }

    auto record(std::size_t entry, const Actions &actions) -> void
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<Send>(&action)) {
                recordSend(entry, *sent);
            } else if (const auto *report = std::get_if<ReportCrashes>(&action)) {
                reports_.push_back({ .sender = entry,
                                     .report = { .suspect = report->suspect, .incidents = report->incidents, .provenAt = report->provenAt },
                                     .nextAt = now_ });
            } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
                quarantinedSound_ += refusal->reason == Reason::Quarantined && !calls_[refusal->request].crashes ? 1 : 0;
            }
        }
    }

    auto recordSend(std::size_t entry, const Send &sent) -> void
    {
        if (crashedAt_.contains(sent.server)) {
            record(entry, entries_[entry]->apply(AttemptFailed{ .attempt = sent.attempt, .failure = Failure::ConnectFailed }));
            return;
        }
        auto &call = calls_[sent.request];
        call.sends += 1;
        lateSends_ += call.crashes && fifthCrashAt_ && now_ - *fifthCrashAt_ > StableTime ? 1 : 0;
        runs_.push_back({
            .entry = entry,
            .attempt = sent.attempt,
            .request = sent.request,
            .server = sent.server,
            .beginsAt = now_ + std::chrono::milliseconds(draw(60, 200)),
            .endsAt = now_ + std::chrono::milliseconds(draw(300, 4000)),
        });
    }

    auto runServers() -> void
    {
        std::set<std::string> due;
        for (const auto &run : runs_) {
            if (calls_[run.request].crashes && now_ >= run.beginsAt) {
                due.insert(run.server);
            }
        }
        for (std::size_t i = 0; i < due.size(); ++i) {
            crashes_ += 1;
            if (crashes_ == CrashesBeforeBound) {
                fifthCrashAt_ = now_;
            }
        }
        crash(due);
        writeEvents();
    }

    auto crash(const std::set<std::string> &servers) -> void
    {
        for (const auto &server : servers) {
            crashedAt_[server] = now_;
        }
        std::vector<Run> ended;
        std::erase_if(runs_, [&](const Run &run) {
            const auto ends = servers.contains(run.server);
            if (ends) {
                ended.push_back(run);
            }
            return ends;
        });
        std::shuffle(ended.begin(), ended.end(), random_);
        for (const auto &run : ended) {
            const auto hasHead = run.events > 0 || calls_[run.request].crashes;
            record(run.entry,
                   entries_[run.entry]->apply(AttemptFailed{
                       .attempt = run.attempt,
                       .failure = hasHead ? Failure::BrokenStream : Failure::BrokenBeforeFirstByte,
                       .answerBegun = run.events > 0,
                       .lastEventId = run.events > 0 ? std::to_string(run.events) : "",
                   }));
        }
    }

    auto writeEvents() -> void
    {
        std::vector<Run> finished;
        for (std::size_t i = 0; i < runs_.size(); ++i) {
            if (calls_[runs_[i].request].crashes || now_ < std::max(runs_[i].beginsAt, runs_[i].nextEventAt)) {
                continue;
            }
            const auto entry = runs_[i].entry;
            const auto attempt = runs_[i].attempt;
            if (runs_[i].events == 0) {
                sharing_.second += calls_[runs_[i].request].isSharing && calls_[runs_[i].request].sends == 1 ? 1 : 0;
                record(entry, entries_[entry]->apply(AttemptStarted{ .attempt = attempt, .isForwarded = true }));
            }
            runs_[i].events += 1;
            runs_[i].nextEventAt = now_ + std::chrono::milliseconds(60);
            record(entry, entries_[entry]->apply(AttemptProgress{ .attempt = attempt }));
            if (now_ >= runs_[i].endsAt && runs_[i].events > 1) {
                finished.push_back(runs_[i]);
            }
        }
        std::erase_if(runs_, [&](const Run &run) {
            return std::any_of(finished.begin(), finished.end(), [&run](const Run &each) { return each.entry == run.entry && each.attempt == run.attempt; });
        });
        for (const auto &run : finished) {
            record(run.entry, entries_[run.entry]->apply(AttemptFinished{ .attempt = run.attempt }));
        }
    }

    auto deliverReports() -> void
    {
        for (auto &report : reports_) {
            if (report.sendsLeft == 0 || now_ < report.nextAt) {
                continue;
            }
            report.sendsLeft -= 1;
            report.nextAt = now_ + std::chrono::milliseconds(300);
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (i != report.sender && draw(1, 100) > options_.lossPercent) {
                    deliveries_.push_back({ .receiver = i, .report = report.report, .at = now_ + std::chrono::milliseconds(draw(0, options_.maxDelayMs)) });
                }
            }
        }
        std::erase_if(reports_, [](const Report &report) { return report.sendsLeft == 0; });
        std::vector<Delivery> due;
        std::erase_if(deliveries_, [&](const Delivery &delivery) {
            const auto isDue = now_ >= delivery.at;
            if (isDue) {
                due.push_back(delivery);
            }
            return isDue;
        });
        for (const auto &delivery : due) {
            record(delivery.receiver, entries_[delivery.receiver]->apply(delivery.report));
        }
    }

    FleetOptions options_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<RouterHarness>> entries_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    TimePoint listedAt_;
    std::map<RequestId, Call> calls_;
    std::vector<Run> runs_;
    std::vector<Report> reports_;
    std::vector<Delivery> deliveries_;
    std::map<std::string, TimePoint> crashedAt_;
    std::size_t crashes_ = 0;
    std::optional<TimePoint> fifthCrashAt_;
    std::size_t lateSends_ = 0;
    std::pair<std::size_t, std::size_t> sharing_;
    std::size_t quarantinedSound_ = 0;
    std::uint64_t lastRequest_ = 0;
};

auto beginningShare(std::pair<std::size_t, std::size_t> sharing) -> double
{
    return sharing.first == 0 ? 1 : static_cast<double>(sharing.second) / static_cast<double>(sharing.first);
}

} // namespace

/// Guards against requests that are all different, but have one prompt part in common that crashes one server after the other, and against
/// the refusal of sound requests that share their other parts.
RC_GTEST_PROP(CrashingPartTests, allEntriesWithholdAPartThatCrashesServers, ())
{
    FleetOptions options;
    options.entries = *rc::gen::inRange<std::size_t>(1, 80);
    options.position = *rc::gen::inRange<std::size_t>(0, 3);
    options.sharingPercent = *rc::gen::inRange(10, 60);
    options.lossPercent = *rc::gen::inRange(0, 30);
    options.maxDelayMs = *rc::gen::inRange(1, 150);
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    PartsFleet fleet(options);
    fleet.advance(std::chrono::seconds(4));
    const auto usual = beginningShare(fleet.takeSharing());
    fleet.setCrashingRate(*rc::gen::inRange(1, 6));
    fleet.advance(std::chrono::seconds(5));
    if (options.entries > 1) { // an entry that is alone loses what it knows
        fleet.restart(*rc::gen::inRange<std::size_t>(0, options.entries));
    }
    fleet.advance(2 * StableTime);
    fleet.takeSharing();
    fleet.advance(std::chrono::seconds(4));
    RC_ASSERT(fleet.lateSends() <= MaxLateSends);
    RC_ASSERT(fleet.crashes() <= CrashesBeforeBound);
    RC_ASSERT(beginningShare(fleet.takeSharing()) >= usual / 2);
}

/// Guards against the refusal of sound requests because several servers end at once, again and again, for a reason of their own.
RC_GTEST_PROP(CrashingPartTests, crashesOfManyServersWithholdNoSharedPart, ())
{
    FleetOptions options;
    options.entries = *rc::gen::inRange<std::size_t>(1, 80);
    options.lossPercent = *rc::gen::inRange(0, 30);
    options.sharingPercent = *rc::gen::inRange(10, 60);
    options.soundPerSecond = 100;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    PartsFleet fleet(options);
    for (auto i = 0; i < 4; ++i) {
        fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(100, 3000)));
        fleet.crashAtOnce(*rc::gen::inRange<std::size_t>(2, 10));
    }
    fleet.advance(2 * StableTime);
    fleet.takeQuarantinedSound();
    fleet.takeSharing();
    fleet.advance(std::chrono::seconds(3));
    RC_ASSERT(fleet.takeQuarantinedSound() == 0U);
    RC_ASSERT(beginningShare(fleet.takeSharing()) > 0.5);
}
