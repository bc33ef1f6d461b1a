#include "core/passthrough/enginecache.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace auburnspread;
using namespace auburnspread::passthrough;

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));
constexpr PromptPart Document{ .id = 1, .tokens = 2000 };
constexpr PromptPart Session{ .id = 2, .tokens = 4000 };

auto makePrompt() -> Prompt
{
    return { .tokens = 7000, .parts = { Document, Session, { .id = 3, .tokens = 1000 } } };
}

} // namespace

TEST(EngineCacheTests, aPartCountsOnlyIfAllPartsBeforeItAreCached)
{
    EngineCache cache;
    recordUse(cache, Session, 0, Now);
    EXPECT_EQ(cachedPrefixTokens(cache, makePrompt(), Now), 0U);
    recordUse(cache, Document, 0, Now);
    EXPECT_EQ(cachedPrefixTokens(cache, makePrompt(), Now), 6000U) << "and the request's own part never does";
}

TEST(EngineCacheTests, aPartThatWasJustSentIsCachedButNotProcessedYet)
{
    EngineCache cache;
    recordUse(cache, Document, 0, Now);
    EXPECT_EQ(cachedPrefixTokens(cache, makePrompt(), Now), 2000U);
    EXPECT_EQ(processedPrefixTokens(cache, makePrompt(), Now), 0U);
    EXPECT_EQ(processedPrefixTokens(cache, makePrompt(), Now + std::chrono::seconds(1)), 2000U);
}

TEST(EngineCacheTests, aPartUnusedForLongIsNoLongerCached)
{
    EngineCache cache;
    recordUse(cache, Document, 0, Now);
    EXPECT_FALSE(containsPart(cache, Document.id, Now + std::chrono::minutes(1)));
    recordUse(cache, Document, 0, Now + std::chrono::minutes(1));
    EXPECT_EQ(processedPrefixTokens(cache, makePrompt(), Now + std::chrono::minutes(1)), 0U) << "it is read anew";
}

/// Guards against first events that come later than expected. An engine evicts the least recently used parts, and a part that stays in
/// the model after its eviction attracts requests to an engine that has to process it again.
TEST(EngineCacheTests, theLeastRecentlyUsedPartsAreEvictedWhenTheMemoryIsFull)
{
    EngineCache cache;
    recordUse(cache, Document, 5000, Now);
    recordUse(cache, Session, 5000, Now + std::chrono::milliseconds(1));
    EXPECT_FALSE(containsPart(cache, Document.id, Now + std::chrono::milliseconds(1)));
    EXPECT_TRUE(containsPart(cache, Session.id, Now + std::chrono::milliseconds(1)));
    EXPECT_EQ(cache.tokens, 4000U);
}

TEST(EngineCacheTests, recentlySentPartsAreListedOnceWithinTheWindow)
{
    RecentlySentParts recent;
    recordSentPart(recent, Document, Now);
    recordSentPart(recent, Document, Now + std::chrono::milliseconds(10));
    recordSentPart(recent, Session, Now + std::chrono::milliseconds(90));
    std::vector<PromptPart> list;
    appendSentWithin(recent, std::chrono::milliseconds(100), Now + std::chrono::milliseconds(100), list);
    EXPECT_EQ(list.size(), 2U);
    list.clear();
    appendSentWithin(recent, std::chrono::milliseconds(100), Now + std::chrono::milliseconds(150), list);
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list[0].id, Session.id);
}
