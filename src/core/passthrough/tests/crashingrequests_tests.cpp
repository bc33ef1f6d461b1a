#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

constexpr std::uint32_t Engines = 12;
/// Servers that one request may crash before no entry sends it any more.
constexpr std::size_t MaxCrashes = 3;

auto makeEngines(const std::set<std::string> &absent = {}) -> std::vector<Server>
{
    std::vector<Server> servers;
    for (std::uint32_t i = 0; i < Engines; ++i) {
        const auto id = "e" + std::to_string(i);
        if (!absent.contains(id)) {
            servers.push_back(makeServer(id, "engines", 32));
        }
    }
    return servers;
}

/// Part of a response that arrives before the connection ends.
enum class Part {
    Nothing,
    Head,
    Events,
};

/// Sends an event that the attempt failed because the connection ended after this part of the response.
auto breakAfter(RouterHarness &harness, AttemptId attempt, Part part) -> Actions
{
    if (part == Part::Events) {
        harness.apply(AttemptStarted{ .attempt = attempt, .isForwarded = true });
        harness.apply(AttemptProgress{ .attempt = attempt, .events = 3 });
    }
    return harness.apply(AttemptFailed{
        .attempt = attempt,
        .failure = part == Part::Nothing ? Failure::BrokenBeforeFirstByte : Failure::BrokenStream,
        .answerBegun = part == Part::Events,
        .lastEventId = part == Part::Events ? "3" : "",
    });
}

/// A caller repeats a request that crashes each server that runs it, after this part of the response. The crashed servers leave the list.
/// \return the crashed servers
auto crashRepeatedly(RouterHarness &harness, const RequestArrived &request, Part part) -> std::set<std::string>
{
    constexpr int Repetitions = 10;
    std::set<std::string> crashed;
    for (auto i = 0; i < Repetitions; ++i) {
        auto repetition = request;
        repetition.request = RequestId{ 1000U + static_cast<unsigned>(i) };
        auto sent = find<Send>(harness.apply(repetition));
        while (sent) {
            crashed.insert(sent->server);
            sent = find<Send>(breakAfter(harness, sent->attempt, part));
        }
        harness.advance(std::chrono::seconds(1));
        harness.apply(ServersListed{ .servers = makeEngines(crashed), .asOf = harness.now() });
    }
    return crashed;
}

} // namespace

/// Guards against a request that crashes one server after the other because its servers end after the head of the response, or in the
/// middle of a stream, and its caller repeats it.
TEST(CrashingRequestTests, aRequestIsWithheldInWhateverPartOfTheResponseItsServersCrash)
{
    for (const auto *path : { CheckPath, QuotePath }) {
        for (const auto part : { Part::Nothing, Part::Head, Part::Events }) {
            RouterHarness harness;
            harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
            EXPECT_LE(crashRepeatedly(harness, harness.request(path), part).size(), MaxCrashes) << path << " part " << static_cast<int>(part);
        }
    }
}

/// Guards against an error response of a failing server that clears a count of crashes. Such a server has not run the request.
TEST(CrashingRequestTests, anErrorResponseDoesNotClearTheCount)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
    const auto request = harness.request(QuotePath);
    std::size_t crashes = 0;
    for (unsigned i = 0; i < 10; ++i) {
        auto repetition = request;
        repetition.request = RequestId{ 1000U + i };
        const auto sent = find<Send>(harness.apply(repetition));
        if (!sent) {
            continue;
        }
        if (i % 2 == 0) {
            breakAfter(harness, sent->attempt, Part::Nothing);
            crashes += 1;
        } else {
            harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 500 });
        }
    }
    EXPECT_LE(crashes, MaxCrashes);
}

/// Guards against the refusal of a sound request. Its connections broke for another reason: the servers are still listed long after a
/// crashed server would have left the list.
TEST(CrashingRequestTests, aRequestWhoseServersLiveOnIsFreed)
{
    constexpr Duration LongAfter = std::chrono::seconds(8);
    for (const auto part : { Part::Nothing, Part::Head, Part::Events }) {
        RouterHarness harness;
        harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
        const auto request = harness.request(QuotePath);
        for (unsigned i = 0; i < 4; ++i) {
            auto repetition = request;
            repetition.request = RequestId{ 1000U + i };
            if (const auto sent = find<Send>(harness.apply(repetition))) {
                breakAfter(harness, sent->attempt, part);
            }
        }
        harness.advance(LongAfter);
        harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
        harness.advance(std::chrono::seconds(1));
        auto later = request;
        later.request = RequestId{ 2000 };
        EXPECT_TRUE(find<Send>(harness.apply(later))) << static_cast<int>(part);
    }
}

/// Guards against the refusal of a request that many callers send with success, because several of the servers that run copies of it end
/// at the same time for a reason of their own.
TEST(CrashingRequestTests, aRequestThatUsuallySucceedsSurvivesTwoCrashesAtOnce)
{
    RouterHarness harness;
    harness.apply(ServersListed{ .servers = makeEngines(), .asOf = harness.now() });
    auto request = harness.request(CheckPath);
    const auto send = [&](unsigned id) {
        request.request = RequestId{ id };
        return find<Send>(harness.apply(request));
    };
    const auto first = send(1000);
    ASSERT_TRUE(first);
    harness.apply(AttemptStarted{ .attempt = first->attempt, .isForwarded = true });
    harness.apply(AttemptFinished{ .attempt = first->attempt });
    for (unsigned i = 1; i <= 2; ++i) {
        const auto sent = send(1000 + i);
        ASSERT_TRUE(sent);
        breakAfter(harness, sent->attempt, Part::Head);
        harness.apply(CallerGone{ .request = request.request });
    }
    EXPECT_TRUE(send(2000));
}

/// Guards against a request that counts as crashing servers because the servers that ran it were stopped as planned.
TEST(CrashingRequestTests, theEndOfALeavingServerIsNoCrash)
{
    RouterHarness harness;
    auto servers = makeEngines();
    harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
    const auto request = harness.request(QuotePath);
    for (unsigned i = 0; i < 4; ++i) {
        auto repetition = request;
        repetition.request = RequestId{ 1000U + i };
        const auto sent = find<Send>(harness.apply(repetition));
        ASSERT_TRUE(sent) << i;
        std::find_if(servers.begin(), servers.end(), [&](const Server &each) { return each.id == sent->server; })->isLeaving = true;
        harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
        breakAfter(harness, sent->attempt, Part::Events);
    }
}

namespace
{

/// How crashed servers come back.
struct Restart {
    bool keepsId = false; ///< under the id that they had; otherwise a server with another id replaces them
    Duration listDelay{}; ///< until the entries know of it
};

/// Several entries before the same servers, in virtual time. One request crashes each server that runs it; reports between the entries
/// get lost.
class CrashingFleet
{
public:
    CrashingFleet(std::size_t entries, Part part, int lossPercent, Restart restart = {})
        : part_(part)
        , lossPercent_(lossPercent)
        , restart_(restart)
    {
        for (std::size_t i = 0; i < entries; ++i) {
            entries_.push_back(std::make_unique<RouterHarness>(RouterOptions{ .entry = "entry-" + std::to_string(i), .failureDomain = "a" }));
        }
        list();
    }

    /// A caller sends the crashing request, or a sound one that runs for long, to an entry.
    auto send(std::size_t entry, const std::string &path, bool crashes, Duration runTime) -> void
    {
        auto request = entries_[entry]->request(path);
        request.request = RequestId{ ++lastRequest_ };
        request.fingerprint = crashes ? Crashing : Fingerprint{ lastRequest_ };
        record(entry, entries_[entry]->apply(request), crashes, runTime);
    }

    auto advance(Duration time) -> void
    {
        constexpr Duration Step = std::chrono::milliseconds(20);
        for (const auto end = now_ + time; now_ < end; now_ += Step) {
            for (auto &entry : entries_) {
                entry->advance(Step);
            }
            crashDueServers();
            writeEvents();
            repeatReports();
            list();
        }
    }

    /// Sends of the crashing request later than 3 s after it crashed its third server.
    [[nodiscard]] auto lateSends() const -> std::size_t
    {
        return lateSends_;
    }
    /// Whether the entry sends a sound request that it has not seen before.
    auto acceptsSoundRequest(std::size_t entry) -> bool
    {
        return count<Send>(entries_[entry]->apply(entries_[entry]->request(QuotePath))) == 1;
    }

private:
    static constexpr Fingerprint Crashing{ 1ULL << 40U };
    static constexpr std::int64_t FirstStart = 1;
    /// Until a crashed server that keeps its id runs again.
    static constexpr Duration DownTime = std::chrono::seconds(2);

    struct Run {
        std::size_t entry = 0;
        AttemptId attempt{};
        std::string server;
        bool crashes = false;
        TimePoint endsAt;
    };
    struct Report {
        std::size_t sender = 0;
        CrashesReported report;
        int sendsLeft = 4;
        TimePoint nextAt;
    };

    /// A server that keeps its id is listed all the while.
    auto listRestarted() -> void
    {
        std::vector<Server> servers;
        for (std::size_t i = 0; i < Engines; ++i) {
            auto server = makeServer("e" + std::to_string(i), "engines", 32);
            server.startedAt = FirstStart;
            for (const auto start : starts_[server.id]) {
                const auto isKnown = now_ - start >= restart_.listDelay;
                server.startedAt = isKnown ? start.time_since_epoch() / std::chrono::milliseconds(1) : server.startedAt;
            }
            servers.push_back(server);
        }
        for (auto &entry : entries_) {
            entry->apply(ServersListed{ .servers = servers, .asOf = now_ });
        }
    }

    /// Whether the server has crashed and is not back yet.
    auto isDown(const std::string &server) -> bool
    {
        return crashed_.contains(server) && (!restart_.keepsId || now_ < starts_[server].back());
    }

    auto list() -> void
    {
        if (restart_.keepsId) {
            listRestarted();
            return;
        }
        std::vector<Server> servers;
        for (std::size_t i = 0; i < 8 + crashed_.size(); ++i) { // each crashed server is replaced
            const auto id = "e" + std::to_string(i);
            const auto found = crashed_.find(id);
            if (found == crashed_.end() || now_ - found->second < std::chrono::seconds(4)) {
                servers.push_back(makeServer(id, "engines", 32));
            }
        }
        for (auto &entry : entries_) {
            entry->apply(ServersListed{ .servers = servers, .asOf = now_ });
        }
    }

    auto record(std::size_t entry, const Actions &actions, bool crashes, Duration runTime) -> void
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<Send>(&action)) {
                lateSends_ += crashes && thirdCrashAt_ && now_ - *thirdCrashAt_ > std::chrono::seconds(3) ? 1 : 0;
                if (isDown(sent->server)) {
                    record(entry, entries_[entry]->apply(AttemptFailed{ .attempt = sent->attempt, .failure = Failure::ConnectFailed }), crashes, runTime);
                } else {
                    runs_.push_back({ .entry = entry, .attempt = sent->attempt, .server = sent->server, .crashes = crashes, .endsAt = now_ + runTime });
                }
            } else if (const auto *report = std::get_if<ReportCrashes>(&action)) {
                reports_.push_back({ .sender = entry,
                                     .report = { .suspect = report->suspect, .incidents = report->incidents, .provenAt = report->provenAt },
                                     .nextAt = now_ });
            }
        }
    }

    auto crashDueServers() -> void
    {
        std::set<std::string> due;
        for (const auto &run : runs_) {
            if (run.crashes && now_ >= run.endsAt) {
                due.insert(run.server);
            }
        }
        for (const auto &server : due) {
            crashed_[server] = now_;
            starts_[server].push_back(now_ + DownTime);
            crashes_ += 1;
            if (crashes_ == 3) {
                thirdCrashAt_ = now_;
            }
        }
        std::vector<Run> ended;
        std::erase_if(runs_, [&](const Run &run) {
            const auto ends = due.contains(run.server);
            if (ends) {
                ended.push_back(run);
            }
            return ends;
        });
        for (const auto &run : ended) {
            const auto actions = breakAfter(*entries_[run.entry], run.attempt, run.crashes ? part_ : Part::Events);
            record(run.entry, actions, run.crashes, std::chrono::milliseconds(100));
        }
    }

    /// Sound streams go on.
    auto writeEvents() -> void
    {
        for (std::size_t i = 0; i < runs_.size(); ++i) {
            const auto run = runs_[i];
            if (!run.crashes) {
                record(run.entry, entries_[run.entry]->apply(AttemptStarted{ .attempt = run.attempt, .isForwarded = true }), false, {});
                record(run.entry, entries_[run.entry]->apply(AttemptProgress{ .attempt = run.attempt, .events = 2 }), false, {});
            }
        }
    }

    auto repeatReports() -> void
    {
        for (auto &report : reports_) {
            if (report.sendsLeft == 0 || now_ < report.nextAt) {
                continue;
            }
            report.sendsLeft -= 1;
            report.nextAt = now_ + std::chrono::milliseconds(300);
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (i != report.sender && static_cast<int>(random_() % 100) >= lossPercent_) {
                    entries_[i]->apply(report.report);
                }
            }
        }
    }

    Part part_;
    int lossPercent_;
    Restart restart_;
    std::vector<std::unique_ptr<RouterHarness>> entries_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    std::vector<Run> runs_;
    std::vector<Report> reports_;
    std::map<std::string, TimePoint> crashed_;
    std::map<std::string, std::vector<TimePoint>> starts_; ///< of servers that keep their id, after the first one
    std::size_t crashes_ = 0;
    std::optional<TimePoint> thirdCrashAt_;
    std::size_t lateSends_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::mt19937_64 random_{ 7 };
};

} // namespace

/// The caller of a crashing request repeats it at any entry, while long sound streams run on the same servers and reports between the
/// entries get lost. Few of the repetitions are sent once three servers have crashed, and sound requests are served.
RC_GTEST_PROP(CrashingRequestTests, allEntriesWithholdACrashingRequestInTime, ())
{
    constexpr int Repetitions = 40;
    const auto entries = *rc::gen::inRange<std::size_t>(1, 7);
    const auto *path = *rc::gen::element(CheckPath, QuotePath);
    CrashingFleet fleet(entries, *rc::gen::element(Part::Nothing, Part::Head, Part::Events), *rc::gen::inRange(0, 40));
    for (int i = 0; i < Repetitions; ++i) {
        fleet.send(*rc::gen::inRange<std::size_t>(0, entries), CheckPath, false, std::chrono::hours(1));
        fleet.send(*rc::gen::inRange<std::size_t>(0, entries), path, true, std::chrono::milliseconds(*rc::gen::inRange(10, 300)));
        fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(20, 600)));
    }
    RC_ASSERT(fleet.lateSends() <= 3U);
    for (std::size_t i = 0; i < entries; ++i) {
        RC_ASSERT(fleet.acceptsSoundRequest(i));
    }
}

/// Guards against a request that is let through again every 6 s because its servers start again under the ids that they had: the list then holds the
/// ids long after the crashes, which was taken for a proof that the servers had not crashed.
RC_GTEST_PROP(CrashingRequestTests, allEntriesWithholdARequestWhoseCrashedServersKeepTheirIds, ())
{
    constexpr int Repetitions = 60;
    const auto entries = *rc::gen::inRange<std::size_t>(1, 7);
    const auto *path = *rc::gen::element(CheckPath, QuotePath);
    const Restart restart{ .keepsId = true, .listDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 800)) };
    CrashingFleet fleet(entries, *rc::gen::element(Part::Nothing, Part::Head, Part::Events), *rc::gen::inRange(0, 40), restart);
    for (int i = 0; i < Repetitions; ++i) {
        fleet.send(*rc::gen::inRange<std::size_t>(0, entries), path, true, std::chrono::milliseconds(*rc::gen::inRange(10, 300)));
        fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(20, 900)));
    }
    RC_ASSERT(fleet.lateSends() <= 3U);
    for (std::size_t i = 0; i < entries; ++i) {
        RC_ASSERT(fleet.acceptsSoundRequest(i));
    }
}
