#include "failuretests/smallsite.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace auburnspread;
using namespace auburnspread::failuretests;

// Callers see whole answers although their entry was told to leave while they streamed; new requests are sent to the
// other entry by a 307 without having been run; the entry ends by itself with exit code 0.
TEST(EntryFailureTests, aDrainingEntryCutsNoRequestAndRedirectsNewOnes)
{
    SmallSite site({ .entries = 2 });
    const auto calls = site.startQuotes(site.entry(1), 8, 150);
    const auto allBegan = [&]() { return std::ranges::all_of(calls, [](const CallPointer &call) { return call->tokens() > 0; }); };
    ASSERT_TRUE(site.caller.waitUntil(allBegan)) << site.logs();
    site.entry(1).process->signal(SIGTERM);
    CallPointer late;
    const auto isRedirected = [&]() {
        late = site.startQuote(site.entry(1), 5);
        site.caller.waitUntil([&]() { return late->ended(); });
        return late->head.status != 200;
    };
    ASSERT_TRUE(site.caller.waitUntil(isRedirected)) << site.logs();
    EXPECT_EQ(late->head.status, 307) << late->describe() << site.logs();
    EXPECT_NE(late->head.header("location").find(site.entry(2).callerAddress), std::string::npos) << late->head.header("location");
    EXPECT_EQ(site.countExecutions(SmallSite::answerOf(*late)), 0U);
    const auto allEnded = [&]() { return std::ranges::all_of(calls, [](const CallPointer &call) { return call->ended(); }); };
    ASSERT_TRUE(site.caller.waitUntil(allEnded)) << site.logs();
    for (const auto &call : calls) {
        EXPECT_TRUE(call->isWhole()) << call->describe() << site.logs();
    }
    ASSERT_TRUE(site.caller.waitUntil([&]() { return site.entry(1).process->exitCode().has_value(); })) << site.logs();
    EXPECT_EQ(site.entry(1).process->exitCode(), 0);
}

// The caller of a deposit notice is told that it may have run; the service ran it and died before it answered. A repeat
// of the same key, after the service came back, is not run.
TEST(EntryFailureTests, aCallThatRanBeforeItsServiceDiedIsNotRunAgain)
{
    SmallSite site({ .service = true });
    site.control(site.service(), { { "crash_after", true } });
    const auto call = site.startDispatch(site.entry(1), "notice-1");
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << call->describe() << site.logs();
    EXPECT_EQ(call->outcome(), "may-have-run") << call->describe() << site.logs();
    site.restartStandIn(site.service());
    EXPECT_EQ(site.countServiceRuns(site.service(), "notice-1"), 1U);
    const auto repeat = site.startDispatch(site.entry(1), "notice-1");
    ASSERT_TRUE(site.caller.waitUntil([&]() { return repeat->ended(); })) << repeat->describe() << site.logs();
    EXPECT_NE(repeat->outcome(), "not-run") << repeat->describe();
    EXPECT_EQ(site.countServiceRuns(site.service(), "notice-1"), 1U);
}

// The caller's entry is killed while its technician dispatch runs; it repeats the key at another entry. The call is not
// run again, because the first entry had claimed the key in the platform's service before it sent it.
TEST(EntryFailureTests, aRepeatAtAnotherEntryIsNotRunAgain)
{
    SmallSite site({ .entries = 2, .service = true });
    site.control(site.service(), { { "slow_ms", 2000 } });
    const auto call = site.startDispatch(site.entry(1), "dispatch-1");
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended() || site.countServiceRuns(site.service(), "dispatch-1") == 1; })) << call->describe();
    ASSERT_EQ(site.countServiceRuns(site.service(), "dispatch-1"), 1U) << call->describe() << site.logs();
    site.entry(1).process->signal(SIGKILL);
    const auto repeat = site.startDispatch(site.entry(2), "dispatch-1");
    ASSERT_TRUE(site.caller.waitUntil([&]() { return repeat->ended(); })) << repeat->describe() << site.logs();
    EXPECT_EQ(repeat->head.status, 409) << repeat->describe();
    EXPECT_EQ(repeat->outcome(), "may-have-run") << repeat->describe();
    EXPECT_EQ(site.countServiceRuns(site.service(), "dispatch-1"), 1U);
}

// The caller is answered, or told truthfully that nothing ran, although the reply to the claim's write was lost. The
// claim took effect; the entry reads it back, finds its own nonce and goes on.
TEST(EntryFailureTests, aLostReplyToAClaimNeitherDoublesNorLiesAboutTheCall)
{
    SmallSite site({ .service = true });
    site.control(*site.platform, { { "lose_replies", 1 }, { "lose_replies_key", "auburnspread/claims" } });
    const auto call = site.startDispatch(site.entry(1), "notice-2");
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << call->describe() << site.logs();
    EXPECT_EQ(call->head.status, 200) << call->describe() << site.logs();
    EXPECT_EQ(site.countServiceRuns(site.service(), "notice-2"), 1U);
}

// While the platform's service is out, a call that may not be repeated is answered or refused as not run, truthfully.
TEST(EntryFailureTests, withoutThePlatformANotRunDispatchWasNotRun)
{
    SmallSite site({ .service = true });
    site.control(*site.platform, { { "down", true } });
    const auto call = site.startDispatch(site.entry(1), "notice-3");
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << call->describe() << site.logs();
    const std::size_t runs = call->head.status == 200 ? 1 : 0;
    EXPECT_EQ(site.countServiceRuns(site.service(), "notice-3"), runs) << call->describe();
    EXPECT_TRUE(runs == 1 || call->outcome() == "not-run") << call->describe();
}

// The platform's service is out, yet the caller's deposit notice is sent: it goes with a ticket that the entry gave
// beforehand. Its repeat at the same entry, and one at another entry, are not run.
TEST(EntryFailureTests, aTicketRunsACallOnceWhileThePlatformIsOut)
{
    SmallSite site({ .entries = 2, .service = true });
    site.control(*site.platform, { { "down", true } });
    const auto issued = site.caller.fetch({ .address = site.entry(1).callerAddress, .method = "POST", .path = "/v1/tickets?workspace=roofs" });
    ASSERT_EQ(issued->head.status, 200) << issued->describe() << site.logs();
    const auto ticket = nlohmann::json::parse(issued->body).at("tickets").at(0).get<std::string>();
    const auto call = site.startDispatch(site.entry(1), ticket);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << call->describe() << site.logs();
    EXPECT_EQ(call->head.status, 200) << call->describe() << site.logs();
    for (const auto number : { 1, 2 }) {
        const auto repeat = site.startDispatch(site.entry(number), ticket);
        ASSERT_TRUE(site.caller.waitUntil([&]() { return repeat->ended(); })) << repeat->describe() << site.logs();
        EXPECT_EQ(repeat->head.status, 409) << repeat->describe();
        EXPECT_EQ(repeat->outcome(), "may-have-run") << repeat->describe();
    }
    EXPECT_EQ(site.countServiceRuns(site.service(), ticket), 1U);
}
