#include "core/fleet/membership.h"

#include <gtest/gtest.h>

using namespace auburnspread;
using namespace auburnspread::fleet;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));

auto at(int milliseconds) -> TimePoint
{
    return Start + std::chrono::milliseconds(milliseconds);
}

auto makeEntry(const std::string &name) -> EntryRecord
{
    return { .name = name, .peerAddress = name + ":1", .incarnation = 1 };
}

auto beat(Membership &membership, const std::string &name, TimePoint now) -> bool
{
    return noteHeartbeat(membership, { .entry = makeEntry(name) }, now);
}

} // namespace

TEST(MembershipTests, entriesAreListedWhileTheyAreHeard)
{
    Membership membership;
    beginCollecting(membership, {}, at(0));
    EXPECT_TRUE(beat(membership, "a", at(10)));
    EXPECT_FALSE(beat(membership, "a", at(310)));
    EXPECT_TRUE(beat(membership, "b", at(320)));
    const std::vector<EntryRecord> both = { makeEntry("a"), makeEntry("b") };
    EXPECT_EQ(listMembers(membership, at(600)), both);
    beat(membership, "b", at(1500));
    expireMembers(membership, at(2200));
    EXPECT_EQ(listMembers(membership, at(2200)), std::vector<EntryRecord>{ makeEntry("b") });
}

/// What callers see: one address where there were three hundred. An entry that lists the others was cut off from all of them; when it
/// is back it has heard only the first.
TEST(MembershipTests, anEntryThatHeardNobodyForAWhileListsNobodyAtFirst)
{
    Membership membership;
    beginCollecting(membership, { makeEntry("a"), makeEntry("b") }, at(0));
    EXPECT_FALSE(listMembers(membership, at(100)));
    EXPECT_TRUE(listMembers(membership, at(600)));
    expireMembers(membership, at(5000));
    EXPECT_FALSE(listMembers(membership, at(5000)));
    beat(membership, "a", at(6000));
    EXPECT_FALSE(listMembers(membership, at(6100)));
    beat(membership, "b", at(6200));
    EXPECT_EQ(listMembers(membership, at(6600))->size(), 2U);
}

/// What callers see: connections refused at an address that they were given. A leaving entry says so, and a heartbeat that it sent
/// before arrives after that. Its next start is another incarnation, and is listed.
TEST(MembershipTests, aLateHeartbeatDoesNotBringALeavingEntryBack)
{
    Membership membership;
    beginCollecting(membership, {}, at(0));
    beat(membership, "a", at(10));
    EXPECT_TRUE(noteHeartbeat(membership, { .entry = makeEntry("a"), .isLeaving = true }, at(600)));
    EXPECT_FALSE(beat(membership, "a", at(601)));
    EXPECT_TRUE(listMembers(membership, at(700))->empty());
    std::vector<EntryRecord> fromOthers = { makeEntry("a"), makeEntry("b") };
    dropLeaving(membership, fromOthers);
    EXPECT_EQ(fromOthers, std::vector<EntryRecord>{ makeEntry("b") }) << "a list from before";
    auto next = makeEntry("a");
    next.incarnation = 2;
    EXPECT_TRUE(noteHeartbeat(membership, { .entry = next }, at(3000)));
    EXPECT_EQ(listMembers(membership, at(3600)), std::vector<EntryRecord>{ next });
}
