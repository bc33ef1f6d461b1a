#include "core/relay/relaystream.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace auburnspread;

// The caller must only ever receive a prefix of its own answer. Chunks of this attempt and of another one arrive in
// any order, twice or not at all; only chunks of this attempt that continue the stream exactly may be forwarded.
RC_GTEST_PROP(RelayStreamTests, whatIsRelayedIsAlwaysAPrefix, (const std::vector<std::pair<bool, std::uint8_t>> &chunks))
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

// The backend server ends its response before the last token that it counts. Without the check, the caller would take
// a truncated answer for a complete one.
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
