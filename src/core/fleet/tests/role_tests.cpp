#include "core/fleet/role.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace auburnspread;
using namespace auburnspread::fleet;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));

auto at(int milliseconds) -> TimePoint
{
    return Start + std::chrono::milliseconds(milliseconds);
}

auto makeEntry(int number) -> EntryRecord
{
    const auto name = "entry-" + std::to_string(number);
    return { .name = name, .peerAddress = name + ":1", .strength = static_cast<std::uint32_t>(100 - number) };
}

auto makeEntries(int count) -> std::vector<EntryRecord>
{
    std::vector<EntryRecord> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (auto i = 0; i < count; ++i) {
        entries.push_back(makeEntry(i));
    }
    return entries;
}

auto makeMember(int number, int count = 20) -> Role
{
    auto role = makeRole({ .self = makeEntry(number) }, Start);
    role.entries = makeEntries(count);
    return role;
}

using Addresses = std::vector<std::string>;

} // namespace

TEST(RoleTests, theFirstInRankReadAndTheOthersAskThem)
{
    EXPECT_TRUE(assign(makeMember(0), Start).reads);
    EXPECT_TRUE(assign(makeMember(1), Start).reads);
    const auto third = assign(makeMember(2), Start);
    EXPECT_FALSE(third.reads);
    EXPECT_EQ(third.ask, (Addresses{ "entry-0:1", "entry-1:1" }));
    EXPECT_EQ(third.heartbeatsTo, third.ask);
}

/// What callers see: keys refused everywhere. The first in rank are cut from the store, answer, and confirm nothing. The next takes over;
/// the unfit ones still hear the heartbeats, and are tried again.
TEST(RoleTests, anUnfitReaderIsReplacedForSomeSeconds)
{
    auto role = makeMember(2);
    noteUnfit(role, "entry-0:1", at(0));
    EXPECT_TRUE(assign(role, at(1)).reads);
    EXPECT_EQ(assign(role, at(1)).heartbeatsTo, (Addresses{ "entry-1:1", "entry-0:1" }));
    EXPECT_FALSE(assign(role, at(3100)).reads);
    noteUnfit(role, "entry-1:1", at(3200));
    EXPECT_TRUE(assign(role, at(3200)).reads);
    noteFit(role, "entry-1:1", at(3300));
    EXPECT_FALSE(assign(role, at(3300)).reads);
}

/// The store is away: each entry finds all others unfit in turn. Somebody has to notice that it is back.
TEST(RoleTests, whereNobodyIsFitTheFirstInRankReadOn)
{
    auto first = makeMember(0, 3);
    auto last = makeMember(2, 3);
    for (auto *role : { &first, &last }) {
        for (const auto &entry : makeEntries(3)) {
            noteUnfit(*role, entry.peerAddress, at(0));
        }
    }
    EXPECT_TRUE(assign(first, at(10)).reads);
    EXPECT_FALSE(assign(last, at(10)).reads);
}

/// Hundreds of entries start at once. Those that were named to all ask each other and read the store first; the rest ask them, and
/// ask the store who is registered only if none of them answers, each at a time of its own.
TEST(RoleTests, anEntryThatStartsAsksTheSeedsBeforeTheStore)
{
    const Addresses seeds = { "entry-0:1", "entry-1:1" };
    const auto seed = makeRole({ .self = makeEntry(0), .seeds = seeds }, Start);
    EXPECT_EQ(assign(seed, at(0)).ask, Addresses{ "entry-1:1" });
    EXPECT_FALSE(assign(seed, at(50)).reads);
    EXPECT_TRUE(assign(seed, at(100)).reads);

    auto other = makeRole({ .self = makeEntry(7), .seeds = seeds }, Start);
    EXPECT_EQ(assign(other, at(0)).ask, seeds);
    EXPECT_EQ(assign(other, at(0)).heartbeatsTo, seeds);
    EXPECT_FALSE(needsRegistrations(other, at(600)));
    EXPECT_TRUE(needsRegistrations(other, at(1700)));
    EXPECT_FALSE(assign(other, at(1700)).reads) << "another may have been first";
    other.registrationsAt = at(1700);
    EXPECT_TRUE(assign(other, at(1700)).reads);
    other.registered = { makeEntry(3), makeEntry(4) };
    EXPECT_EQ(assign(other, at(1710)).ask, (Addresses{ "entry-3:1", "entry-4:1" }));
}

/// What callers see: requests cut at an entry that has left. The first in rank restarts with a list from before, in which somebody stands
/// who is leaving; it asks before it reads for others.
TEST(RoleTests, anEntryWithARememberedListAsksFirst)
{
    auto role = makeMember(0);
    role.entriesAreOld = true;
    EXPECT_FALSE(assign(role, at(20)).reads);
    EXPECT_EQ(assign(role, at(20)).ask, (Addresses{ "entry-1:1", "entry-2:1" }));
    EXPECT_TRUE(assign(role, at(50)).reads);
}

TEST(RoleTests, aLeavingEntryReadsForNobody)
{
    auto role = makeMember(0);
    role.isLeaving = true;
    EXPECT_FALSE(assign(role, Start).reads);
    EXPECT_EQ(assign(role, Start).ask, (Addresses{ "entry-1:1", "entry-2:1" }));
}
