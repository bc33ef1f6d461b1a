#include "core/relay/relaystream.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace auburnspread;

// The caller sees a prefix of its own answer and nothing else.
// Chunks of this attempt and of another come in any order, twice or not at all.
// Only those of this attempt that continue exactly may pass.
RC_GTEST_PROP(RelayStreamTests, whatIsRelayedIsAlwaysAPrefix, (std::vector<std::pair<bool, std::uint8_t>> chunks))
{
    relay::RelayStream stream{ .attemptId = "mine" };
    std::uint32_t expected = 0;
    for (const auto &[mine, offset] : chunks) {
        if (relay::acceptChunk(stream, mine ? "mine" : "other", offset) == relay::Verdict::Relay) {
            RC_ASSERT(mine);
            RC_ASSERT(offset == expected);
            ++expected;
        }
    }
    RC_ASSERT(stream.nextOffset == expected);
}

// The caller would take a cut answer for a whole one: the backend server ends before the tokens it counts.
TEST(RelayStreamTests, anEndBeforeTheLastTokenIsAGap)
{
    relay::RelayStream stream{ .attemptId = "mine" };
    EXPECT_EQ(relay::acceptChunk(stream, "mine", 0), relay::Verdict::Relay);
    EXPECT_EQ(relay::acceptEnd(stream, "mine", 2), relay::Verdict::Gap);
    EXPECT_EQ(relay::acceptChunk(stream, "mine", 1), relay::Verdict::Relay);
    EXPECT_EQ(relay::acceptEnd(stream, "mine", 2), relay::Verdict::Relay);
}

TEST(RelayStreamTests, aResumedStreamBeginsAtItsOffset)
{
    relay::RelayStream stream{ .attemptId = "second", .nextOffset = 5 };
    EXPECT_EQ(relay::acceptChunk(stream, "first", 5), relay::Verdict::Discard);
    EXPECT_EQ(relay::acceptChunk(stream, "second", 4), relay::Verdict::Discard);
    EXPECT_EQ(relay::acceptChunk(stream, "second", 5), relay::Verdict::Relay);
    EXPECT_EQ(relay::acceptChunk(stream, "second", 7), relay::Verdict::Gap);
}
