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

TEST(RoleTests, theHighestRankedReadTheStoreAndTheOthersQueryThem)
{
    EXPECT_TRUE(computeAssignment(makeMember(0), Start).readsStore);
    EXPECT_TRUE(computeAssignment(makeMember(1), Start).readsStore);
    const auto third = computeAssignment(makeMember(2), Start);
    EXPECT_FALSE(third.readsStore);
    EXPECT_EQ(third.queryAddresses, (Addresses{ "entry-0:1", "entry-1:1" }));
    EXPECT_EQ(third.heartbeatAddresses, third.queryAddresses);
}

/// Guards against keys that all entries refuse: the highest-ranked readers are partitioned from the store, and answer without a
/// confirmation. The next in rank takes over. The unfit readers still receive heartbeats and are tried again.
TEST(RoleTests, anUnfitReaderIsReplacedForSomeSeconds)
{
    auto role = makeMember(2);
    markUnfit(role, "entry-0:1", at(0));
    EXPECT_TRUE(computeAssignment(role, at(1)).readsStore);
    EXPECT_EQ(computeAssignment(role, at(1)).heartbeatAddresses, (Addresses{ "entry-1:1", "entry-0:1" }));
    EXPECT_FALSE(computeAssignment(role, at(3100)).readsStore);
    markUnfit(role, "entry-1:1", at(3200));
    EXPECT_TRUE(computeAssignment(role, at(3200)).readsStore);
    markFit(role, "entry-1:1", at(3300));
    EXPECT_FALSE(computeAssignment(role, at(3300)).readsStore);
}

/// During an outage of the store, each entry marks all others as unfit in turn. Some entry must keep reading to detect its end.
TEST(RoleTests, theHighestRankedKeepReadingIfNoEntryIsFit)
{
    auto first = makeMember(0, 3);
    auto last = makeMember(2, 3);
    for (auto *role : { &first, &last }) {
        for (const auto &entry : makeEntries(3)) {
            markUnfit(*role, entry.peerAddress, at(0));
        }
    }
    EXPECT_TRUE(computeAssignment(first, at(10)).readsStore);
    EXPECT_FALSE(computeAssignment(last, at(10)).readsStore);
}

/// Hundreds of entries start at once. The seeds query each other and read the store first. The others query the seeds, and read the
/// registrations from the store only if no seed answers, each after its own delay.
TEST(RoleTests, aStartingEntryQueriesTheSeedsBeforeTheStore)
{
    const Addresses seeds = { "entry-0:1", "entry-1:1" };
    const auto seed = makeRole({ .self = makeEntry(0), .seeds = seeds }, Start);
    EXPECT_EQ(computeAssignment(seed, at(0)).queryAddresses, Addresses{ "entry-1:1" });
    EXPECT_FALSE(computeAssignment(seed, at(50)).readsStore);
    EXPECT_TRUE(computeAssignment(seed, at(100)).readsStore);

    auto other = makeRole({ .self = makeEntry(7), .seeds = seeds }, Start);
    EXPECT_EQ(computeAssignment(other, at(0)).queryAddresses, seeds);
    EXPECT_EQ(computeAssignment(other, at(0)).heartbeatAddresses, seeds);
    EXPECT_FALSE(needsRegistrations(other, at(600)));
    EXPECT_TRUE(needsRegistrations(other, at(1700)));
    EXPECT_FALSE(computeAssignment(other, at(1700)).readsStore) << "another entry may have registered first";
    other.registrationsReadAt = at(1700);
    EXPECT_TRUE(computeAssignment(other, at(1700)).readsStore);
    other.registered = { makeEntry(3), makeEntry(4) };
    EXPECT_EQ(computeAssignment(other, at(1710)).queryAddresses, (Addresses{ "entry-3:1", "entry-4:1" }));
}

/// Guards against requests that are aborted at a departed entry. The highest-ranked entry restarts with a saved list that still contains an
/// entry that is leaving; it queries the other readers before it reads the store.
TEST(RoleTests, anEntryWithAStaleListQueriesOthersFirst)
{
    auto role = makeMember(0);
    role.entriesAreStale = true;
    EXPECT_FALSE(computeAssignment(role, at(20)).readsStore);
    EXPECT_EQ(computeAssignment(role, at(20)).queryAddresses, (Addresses{ "entry-1:1", "entry-2:1" }));
    EXPECT_TRUE(computeAssignment(role, at(50)).readsStore);
}

TEST(RoleTests, aLeavingEntryDoesNotReadForOthers)
{
    auto role = makeMember(0);
    role.isLeaving = true;
    EXPECT_FALSE(computeAssignment(role, Start).readsStore);
    EXPECT_EQ(computeAssignment(role, Start).queryAddresses, (Addresses{ "entry-1:1", "entry-2:1" }));
}
