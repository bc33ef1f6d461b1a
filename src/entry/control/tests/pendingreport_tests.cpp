#include "entry/control/internal/pendingreport.h"

#include <gtest/gtest.h>

using namespace auburnspread;

// A workspace must not get more than its limit because reports were skipped.
// One entry sends every third report; the uses of the skipped ones must arrive with it, the newest state alone.
TEST(PendingReportTests, usesOfSkippedReportsAddUpAndStatesAreTheNewest)
{
    routing::PeerReported pending{
        .backends = { { .backend = "quote-1", .inFlight = 9 } },
        .workspaces = { { .workspace = "karoo", .requests = 2, .tokens = 30, .inFlight = 4 }, { .workspace = "paarl", .requests = 1, .inFlight = 1 } },
    };
    entry::addReport(pending,
                     {
                         .backends = { { .backend = "quote-1", .inFlight = 3 } },
                         .workspaces = { { .workspace = "karoo", .requests = 1, .tokens = 5, .inFlight = 2 } },
                     });
    ASSERT_EQ(pending.backends.size(), 1U);
    EXPECT_EQ(pending.backends.front().inFlight, 3U);
    ASSERT_EQ(pending.workspaces.size(), 2U);
    EXPECT_EQ(pending.workspaces.front().requests, 3U);
    EXPECT_EQ(pending.workspaces.front().tokens, 35U);
    EXPECT_EQ(pending.workspaces.front().inFlight, 2U);
    EXPECT_EQ(pending.workspaces.back().workspace, "paarl");
    EXPECT_EQ(pending.workspaces.back().requests, 1U);
    EXPECT_EQ(pending.workspaces.back().inFlight, 0U);
}
