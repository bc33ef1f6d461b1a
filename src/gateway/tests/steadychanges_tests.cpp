#include "gateway/clock.h"
#include "gateway/tests/followingentry.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>

#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using gateway::tests::FollowingEntry;
using http::tests::runUntil;

/// Guards against an entry that refuses every request with a key while configurations follow each other. Each response of the reader
/// offers a configuration that the entry does not have yet, so no response confirms the one that it has.
TEST(SteadyChangesTests, aConfigurationIsConfirmedAlthoughEveryResponseOffersANewerOne)
{
    constexpr std::size_t Queries = 8;
    FollowingEntry entry;
    std::vector<TimePoint> queriedAt;
    entry.reader.sendsParts = true;
    entry.reader.onQuery = [&]() {
        queriedAt.push_back(now());
        entry.offer(1 + queriedAt.size());
    };
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return queriedAt.size() >= Queries; }));
    EXPECT_GE(passthrough::statusOf(*entry.router, now()).configurationVersion, Queries - 1) << "each configuration is adopted";
    EXPECT_GE(entry.confirmedAt(), queriedAt.at(Queries - 4)) << "and confirmed";
}
