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
        if (server.isLeaving) {
            server.hasStatedLeaving = true;
            take(harness_.apply(AttemptNoticed{ .attempt = attempt.send.attempt, .notice = { .isLeaving = true } }));
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

auto listOnly(RouterHarness &harness, const std::vector<Server> &servers) -> Actions
{
    return harness.apply(ServersListed{ .servers = servers, .asOf = harness.now() });
}

} // namespace

/// Guards against requests to a server that has stated that it is leaving, in any order of answers, failures, restarts and lists.
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

/// Guards against a late response to a call of the server's earlier run, which would take the restarted server out of use for good.
TEST(ServerNoticeTests, aResponseOfAnEarlierRunDoesNotCountForTheNewOne)
{
    RouterHarness harness;
    auto server = makeServer("p1", "portal", 6);
    server.startedAt = 2;
    listOnly(harness, { server });
    harness.apply(CallNoticed{ .server = "p1", .startedAt = 1, .notice = { .isLeaving = true } });
    EXPECT_TRUE(acceptsCalls(harness.router(), "p1"));
    EXPECT_TRUE(sendOne(harness));
}
