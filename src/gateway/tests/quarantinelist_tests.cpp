#include "gateway/tests/followingentry.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::gateway;
using gateway::tests::FollowingEntry;
using http::tests::runUntil;

/// Guards against an entry that sends a request that crashes servers because it started after the others had reported the crashes, or
/// received none of the reports.
TEST(QuarantineListTests, anEntryLearnsFromTheReaderWhichRequestsToWithhold)
{
    constexpr Fingerprint Crashing{ 77 };
    FollowingEntry entry;
    const auto isWithheld = [&]() {
        const auto refused = entry.requestWithoutKey(Crashing);
        return refused && refused->reason == Reason::Quarantined;
    };
    EXPECT_FALSE(isWithheld());
    applyQuarantined(entry.reader.state, { { .suspect = passthrough::requestSuspect(Crashing), .at = now() } });
    EXPECT_TRUE(runUntil(entry.loop, isWithheld));
    applyQuarantined(entry.reader.state, {});
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return !isWithheld(); }));
}
