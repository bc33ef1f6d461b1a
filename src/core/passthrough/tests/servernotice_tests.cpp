#include "core/passthrough/servertable.h"
#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iterator>
#include <map>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

/// One run of a simulated server.
struct ServerRun {
    Server record;
    bool isListed = true;
    bool isLeaving = false;
    bool hasStatedLeaving = false; ///< in an answer to the entry
    bool isOverloaded = false;     ///< rejects requests and asks for a backoff
    TimePoint backoffUntil;        ///< latest end of the backoffs that it has asked the entry for
};

struct OpenAttempt {
    Send send;
    std::int64_t serverStartedAt = 0; ///< run of the server that the request was sent to
};

/// An entry with servers that leave, restart, lapse from the list and return to it, in virtual time. Checks each request that it sends.
class NoticeSimulation
{
public:
    NoticeSimulation()
    {
        for (const auto &record : makeServers()) {
            servers_[record.id].record = record;
        }
    }

    auto arrive() -> void
    {
        const auto path = *rc::gen::element(QuotePath, CheckPath, NoticePath, FetchPath);
        take(harness_.arrive(path));
    }
    auto advance() -> void
    {
        take(harness_.advance(std::chrono::milliseconds(*rc::gen::inRange(1, 400))));
    }
    /// Ends an open attempt in one of several ways.
    auto answer() -> void
    {
        if (open_.empty()) {
            return;
        }
        const auto at = std::next(open_.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(open_.size())));
        const auto attempt = at->second;
        open_.erase(at);
        auto &server = servers_.at(attempt.send.server);
        if (server.record.startedAt != attempt.serverStartedAt) {
            take(harness_.apply(AttemptFailed{ .attempt = attempt.send.attempt, .failure = Failure::BrokenBeforeFirstByte }));
            return;
        }
        ServerNotice notice{ .isLeaving = server.isLeaving };
        server.hasStatedLeaving = server.hasStatedLeaving || server.isLeaving;
        if (server.isOverloaded) {
            notice.backoff = std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
            server.backoffUntil = std::max(server.backoffUntil, harness_.now() + *notice.backoff);
        }
        if (isNotice(notice)) {
            take(harness_.apply(AttemptNoticed{ .attempt = attempt.send.attempt, .notice = notice }));
        }
        if (server.isOverloaded) {
            take(harness_.apply(AttemptFailed{ .attempt = attempt.send.attempt, .failure = Failure::NotStarted }));
            return;
        }
        if (*rc::gen::element(true, true, false)) {
            take(harness_.apply(AttemptAnswered{ .attempt = attempt.send.attempt, .status = 200 }));
        } else {
            const auto failure = *rc::gen::element(Failure::NotStarted, Failure::ConnectFailed, Failure::BrokenBeforeFirstByte);
            take(harness_.apply(AttemptFailed{ .attempt = attempt.send.attempt, .failure = failure }));
        }
    }
    auto leave() -> void
    {
        anyServer().isLeaving = true;
    }
    auto changeLoad() -> void
    {
        auto &server = anyServer();
        server.isOverloaded = !server.isOverloaded;
    }
    auto restart() -> void
    {
        auto &server = anyServer();
        const auto startedAt = server.record.startedAt + 1;
        server = { .record = server.record };
        server.record.startedAt = startedAt;
        list();
    }
    auto lapseOrReturn() -> void
    {
        auto &server = anyServer();
        server.isListed = !server.isListed;
        list();
    }

private:
    auto anyServer() -> ServerRun &
    {
        return std::next(servers_.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(servers_.size())))->second;
    }
    auto list() -> void
    {
        ServersListed listed{ .asOf = harness_.now() };
        for (const auto &[id, server] : servers_) {
            if (server.isListed) {
                listed.servers.push_back(server.record);
            }
        }
        take(harness_.apply(listed));
    }
    auto take(const Actions &actions) -> void
    {
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<Send>(&action)) {
                const auto &server = servers_.at(send->server);
                RC_ASSERT(!server.hasStatedLeaving);
                RC_ASSERT(harness_.now() >= server.backoffUntil);
                open_[send->attempt] = { .send = *send, .serverStartedAt = server.record.startedAt };
            } else if (const auto *cancel = std::get_if<Cancel>(&action)) {
                open_.erase(cancel->attempt);
            }
        }
    }

    RouterHarness harness_;
    std::map<std::string, ServerRun> servers_;
    std::map<AttemptId, OpenAttempt> open_;
};

/// Sends a request to the only server of the plain service. \return its attempt, or nothing if it was not sent
auto sendOne(RouterHarness &harness) -> std::optional<Send>
{
    return find<Send>(harness.arrive(FetchPath));
}

/// The server rejects the attempt and asks for a backoff.
auto reject(RouterHarness &harness, const Send &sent, Duration backoff) -> Actions
{
    harness.apply(AttemptNoticed{ .attempt = sent.attempt, .notice = { .backoff = backoff } });
    return harness.apply(AttemptFailed{ .attempt = sent.attempt, .failure = Failure::NotStarted });
}

auto listOnly(RouterHarness &harness, const std::vector<Server> &servers) -> Actions
{
    return harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
}

} // namespace

/// Guards against requests to a server that has stated that it is leaving, or during a backoff that it has asked for, in any order of answers, failures,
/// restarts and lists.
RC_GTEST_PROP(ServerNoticeTests, aServerGetsNoRequestsAfterItsStatement, ())
{
    NoticeSimulation simulation;
    const auto steps = *rc::gen::inRange(1, 150);
    for (auto i = 0; i < steps; ++i) {
        const auto step = *rc::gen::weightedElement<void (NoticeSimulation::*)()>({
            { 8, &NoticeSimulation::arrive },
            { 8, &NoticeSimulation::answer },
            { 4, &NoticeSimulation::advance },
            { 1, &NoticeSimulation::leave },
            { 3, &NoticeSimulation::changeLoad },
            { 1, &NoticeSimulation::restart },
            { 2, &NoticeSimulation::lapseOrReturn },
        });
        (simulation.*step)();
    }
}

/// Guards against requests that wait although their server is ready again. It stated that it is leaving and has restarted since, or
/// another server has its address now.
TEST(ServerNoticeTests, aRestartedServerAndAReusedAddressStartWithoutStatements)
{
    RouterHarness harness;
    auto server = makeServer("p1", "portal", 6);
    listOnly(harness, { server });
    const auto sent = sendOne(harness);
    ASSERT_TRUE(sent);
    harness.apply(AttemptNoticed{ .attempt = sent->attempt, .notice = { .isLeaving = true } });
    harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 200 });
    EXPECT_FALSE(sendOne(harness));

    server.startedAt += 1;
    EXPECT_TRUE(find<Send>(listOnly(harness, { server })));
    harness.apply(CallNoticed{ .server = "p1", .startedAt = server.startedAt, .notice = { .isLeaving = true } });
    EXPECT_FALSE(sendOne(harness));

    EXPECT_TRUE(find<Send>(listOnly(harness, { makeServer("p2", "portal", 6) })));
}

/// Guards against an entry of a large fleet whose memory and processor time go to servers that have left: only those whose statements matter
/// are remembered.
TEST(ServerNoticeTests, aRemovedServerThatStatedNothingIsNotRemembered)
{
    ServerTable table;
    const TimePoint now(std::chrono::hours(1));
    applyServerList(table, { .servers = { makeServer("idle", "engines", 32), makeServer("busy", "engines", 32), makeServer("leaving", "engines", 32) } }, now);
    recordSend(table, *findServer(table, "busy"), {}, {}, now);
    applyNotice(findServer(table, "leaving")->stated, { .isLeaving = true }, now);
    applyServerList(table, {}, now);
    EXPECT_TRUE(table.byId.empty());
    EXPECT_FALSE(table.removed.contains("idle"));
    EXPECT_TRUE(table.removed.contains("busy")) << "its answer may state something";
    EXPECT_TRUE(table.removed.contains("leaving"));
    removeLapsedServers(table, now + std::chrono::minutes(1));
    EXPECT_TRUE(table.removed.empty());
}

/// Guards against a late response to a call of the server's earlier run, which would take the restarted server out of use for good.
TEST(ServerNoticeTests, aResponseOfAnEarlierRunDoesNotCountForTheNewOne)
{
    RouterHarness harness;
    auto server = makeServer("p1", "portal", 6);
    server.startedAt = 2;
    listOnly(harness, { server });
    harness.apply(CallNoticed{ .server = "p1", .startedAt = 1, .notice = { .isLeaving = true } });
    EXPECT_TRUE(acceptsCalls(harness.router(), "p1", harness.now()));
    EXPECT_TRUE(sendOne(harness));
}

/// Guards against a server that is avoided after its backoff has ended, as if it had failed: of two servers, the nearer one gets the next
/// request again.
TEST(ServerNoticeTests, aBackoffIsNoFailure)
{
    RouterHarness harness;
    auto distant = makeServer("p2", "portal", 6);
    distant.failureDomain = "b";
    listOnly(harness, { makeServer("p1", "portal", 6), distant });
    constexpr Duration Backoff = std::chrono::seconds(3);
    const auto rejected = sendOne(harness);
    ASSERT_TRUE(rejected && rejected->server == "p1");
    const auto retried = find<Send>(reject(harness, *rejected, Backoff));
    ASSERT_TRUE(retried && retried->server == "p2");
    harness.apply(AttemptAnswered{ .attempt = retried->attempt, .status = 200 });
    EXPECT_EQ(countServersInBackoff(harness.router(), harness.now()), 1U);

    harness.advance(Backoff);
    EXPECT_EQ(countServersInBackoff(harness.router(), harness.now()), 0U);
    const auto next = sendOne(harness);
    EXPECT_TRUE(next && next->server == "p1");
}

/// Guards against a shorter backoff that ends a longer one: both were asked for.
TEST(ServerNoticeTests, theLongestBackoffHolds)
{
    RouterHarness harness;
    listOnly(harness, { makeServer("p1", "portal", 6) });
    const auto first = sendOne(harness);
    const auto second = sendOne(harness);
    ASSERT_TRUE(first && second);
    reject(harness, *first, std::chrono::seconds(3));
    reject(harness, *second, std::chrono::seconds(1));
    harness.advance(std::chrono::milliseconds(2900));
    EXPECT_FALSE(sendOne(harness));
}

/// Guards against callers that wait for nothing, or return before any server accepts requests: while all servers are in a backoff, the
/// refusal comes at once and states when the first one ends.
TEST(ServerNoticeTests, callersLearnWhenTheFirstBackoffEnds)
{
    RouterHarness harness;
    listOnly(harness, { makeServer("p1", "portal", 6), makeServer("p2", "portal", 6) });
    constexpr Duration First = std::chrono::seconds(20);
    constexpr Duration Second = std::chrono::seconds(30);
    const auto one = sendOne(harness);
    ASSERT_TRUE(one);
    harness.apply(AttemptNoticed{ .attempt = one->attempt, .notice = { .backoff = Second } });
    const auto retried = find<Send>(harness.apply(AttemptFailed{ .attempt = one->attempt, .failure = Failure::NotStarted }));
    ASSERT_TRUE(retried) << "the other server takes it";
    const auto refused = find<Refuse>(reject(harness, *retried, First));
    ASSERT_TRUE(refused);
    constexpr Duration Spread = std::chrono::seconds(1);
    EXPECT_GE(refused->retryAfter.value_or(Duration::zero()), First);
    EXPECT_LE(refused->retryAfter.value_or(Duration::zero()), First + Spread);

    const auto next = find<Refuse>(harness.arrive(FetchPath));
    ASSERT_TRUE(next);
    EXPECT_EQ(next->reason, Reason::BackendBackoff);
    EXPECT_GE(next->retryAfter.value_or(Duration::zero()), First);
}

/// Guards against a refusal although a server accepts requests before the request's queue deadline.
TEST(ServerNoticeTests, aRequestWaitsForAShortBackoff)
{
    RouterHarness harness;
    listOnly(harness, { makeServer("p1", "portal", 6) });
    const auto sent = sendOne(harness);
    ASSERT_TRUE(sent);
    reject(harness, *sent, std::chrono::milliseconds(500));
    const auto actions = harness.arrive(FetchPath);
    EXPECT_FALSE(find<Refuse>(actions));
    EXPECT_TRUE(find<Send>(harness.advance(std::chrono::milliseconds(600))));
}
