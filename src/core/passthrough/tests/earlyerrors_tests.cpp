#include "core/passthrough/tests/world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace auburnspread;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

/// Guards against ejecting sound servers soon after a start: requests that fail everywhere fail at once, while the others still run.
TEST(EarlyErrorsTests, errorsThatComeBeforeTheFirstStreamsEndEjectNobody)
{
    RouterHarness harness;
    constexpr auto OneIn = 10; // requests fail, as many as are expected of a route of which nothing is known
    constexpr Duration Interval = std::chrono::milliseconds(25);
    constexpr Duration StreamTime = std::chrono::seconds(4);
    auto records = makeServers();
    std::for_each(records.begin(), records.end(), [](Server &each) { each.slots = 1000; });
    harness.apply(ServersListed{ .servers = records, .asOf = harness.now() });
    const auto servers = loadOfService(harness.router(), "engines", harness.now()).servers;
    for (auto i = 1; i <= StreamTime / Interval; ++i) {
        auto call = harness.request(CheckPath);
        call.prompt.parts.clear(); // nothing draws it to the server of the ones before
        const auto sent = find<Send>(harness.apply(call));
        ASSERT_TRUE(sent) << "after " << i << " requests";
        if (i % OneIn == 0) {
            const auto actions = harness.apply(AttemptAnswered{ .attempt = sent->attempt, .status = 500 });
            if (const auto repeated = find<Send>(actions)) {
                harness.apply(AttemptAnswered{ .attempt = repeated->attempt, .status = 500 });
            }
        } else {
            harness.apply(AttemptStarted{ .attempt = sent->attempt, .isForwarded = true });
        }
        harness.advance(Interval);
        ASSERT_EQ(loadOfService(harness.router(), "engines", harness.now()).servers, servers) << "after " << i << " requests";
    }
}
