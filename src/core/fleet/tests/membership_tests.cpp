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
    return applyHeartbeat(membership, { .entry = makeEntry(name) }, now);
}

} // namespace

TEST(MembershipTests, entriesAreListedWhileTheirHeartbeatsArrive)
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

/// Guards against callers that get one address instead of three hundred. A reader that returns after a partition has received the
/// heartbeat of only one entry at first.
TEST(MembershipTests, aReaderPublishesNoListRightAfterAPartition)
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

/// Guards against callers that are directed to an entry that refuses connections. A heartbeat that a departing entry sent earlier arrives
/// after its announcement. The next start of the entry has another incarnation and is listed.
TEST(MembershipTests, aDelayedHeartbeatDoesNotAddADepartedEntryAgain)
{
    Membership membership;
    beginCollecting(membership, {}, at(0));
    beat(membership, "a", at(10));
    EXPECT_TRUE(applyHeartbeat(membership, { .entry = makeEntry("a"), .isLeaving = true }, at(600)));
    EXPECT_FALSE(beat(membership, "a", at(601)));
    EXPECT_TRUE(listMembers(membership, at(700))->empty());
    std::vector<EntryRecord> fromOthers = { makeEntry("a"), makeEntry("b") };
    removeDeparted(membership, fromOthers);
    EXPECT_EQ(fromOthers, std::vector<EntryRecord>{ makeEntry("b") }) << "the list is older than the departure";
    auto next = makeEntry("a");
    next.incarnation = 2;
    EXPECT_TRUE(applyHeartbeat(membership, { .entry = next }, at(3000)));
    EXPECT_EQ(listMembers(membership, at(3600)), std::vector<EntryRecord>{ next });
}
