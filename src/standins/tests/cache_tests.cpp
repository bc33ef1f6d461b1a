#include "standins/engine/cacheevents.h"
#include "standins/engine/prefixcache.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <set>

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

constexpr std::size_t BlockBytes = 64;

} // namespace

RC_GTEST_PROP(PrefixCacheTests, theChangesTellWhichBlocksAreCachedAndTheLimitHolds, ())
{
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 6);
    const auto prompts = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab"))));
    PrefixCache cache(capacity);
    std::set<std::uint64_t> cached;
    for (const auto &letters : prompts) {
        std::string prompt;
        for (const auto letter : letters) {
            prompt += std::string(BlockBytes, letter);
        }
        cache.use(prompt);
        for (const auto &change : cache.takeChanges()) {
            const bool isNew = change.stored ? cached.insert(change.block).second : cached.erase(change.block) == 1;
            RC_ASSERT(isNew);
        }
        RC_ASSERT(cached.size() <= capacity);
        const bool fits = letters.size() <= capacity;
        RC_ASSERT(!fits || cache.use(prompt) == prompt.size());
        RC_ASSERT(!fits || cache.takeChanges().empty());
    }
}

TEST(CacheEventsTests, eventsComeLateAndLostOnesLeaveAGapInTheNumbers)
{
    constexpr auto Lag = std::chrono::milliseconds(50);
    CacheEvents events{ .lag = Lag, .gapEvery = 4 };
    addChanges(events, std::vector<CacheChange>(40, { .stored = true, .block = 7 }), TimePoint());
    EXPECT_TRUE(eventsSince(events, 0, TimePoint(Lag) - Duration(1)).at("events").empty());
    const auto published = eventsSince(events, 0, TimePoint(Lag)).at("events");
    EXPECT_NEAR(static_cast<double>(published.size()), 30, 1);
    EXPECT_EQ(published.at(0).at("block"), "0000000000000007");
    const auto last = published.back().at("number").get<std::uint64_t>();
    EXPECT_TRUE(eventsSince(events, last, TimePoint(Lag)).at("events").empty());
}
