#include "core/membership/membership.h"
#include "core/membership/tests/fakenetwork.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace auburnspread;
using namespace auburnspread::membership;
using namespace auburnspread::membership::testing;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

const std::set<std::string> fourEntries{ "a1", "a2", "b1", "b2" };

/// Two entries in each of two failure domains, settled.
auto startFour(FakeNetwork &network) -> void
{
    network.start("a1", "domain-a", 1000);
    network.start("a2", "domain-a", 1001);
    network.start("b1", "domain-b", 1002);
    network.start("b2", "domain-b", 1003);
    network.run(seconds(30));
}

auto firstAddress(FakeNetwork &network, const std::string &observer) -> std::vector<std::string>
{
    return entriesAnswer(*network.entry(observer).state, { .workspace = "w", .requestClass = "c", .model = "m" }, TimePoint()).addresses;
}

/// Another process that took a1's name at another address.
auto laterHolderOfA1(MemberState state) -> MemberRecord
{
    return { .name = "a1",
             .callerAddress = "elsewhere:1",
             .peerAddress = "elsewhere:2",
             .failureDomain = "domain-a",
             .region = "region",
             .incarnation = 8000,
             .state = state };
}

} // namespace

TEST(MembershipTests, aLoneEntryServesItsOwnCell)
{
    FakeNetwork network;
    network.start("a1", "domain-a", 1);
    network.run(seconds(5));
    EXPECT_EQ(network.entry("a1").cell, std::vector<std::string>{ "a1" });
    EXPECT_EQ(firstAddress(network, "a1"), std::vector<std::string>{ "a1:1" });
}

TEST(MembershipTests, aPlatformOutageDeclaresNobodyDead)
{
    // The platform's service is out for an hour: no lease can be renewed and every registration expires. Callers must
    // notice nothing, since peers still see each other; afterwards everyone registers again under its incarnation.
    FakeNetwork network;
    startFour(network);
    ASSERT_TRUE(network.allList(fourEntries));
    network.platform.out = true;
    network.run(minutes(60));
    EXPECT_TRUE(network.allList(fourEntries));
    network.platform.out = false;
    network.run(minutes(1));
    EXPECT_TRUE(network.allList(fourEntries));
    EXPECT_EQ(network.platform.registrations.at("a1").record.incarnation, 1000U);
    EXPECT_EQ(network.entry("a1").everServing, (std::set<std::string>{ "a1@1000", "a2@1001", "b1@1002", "b2@1003" }));
}

TEST(MembershipTests, anEntryStartsFromSeedsDuringAPlatformOutage)
{
    // A VM is replaced while the platform's service is out. The new entry knows one seed only; it must learn the whole
    // list from it and be named to callers by everybody, without the platform.
    FakeNetwork network;
    startFour(network);
    network.platform.out = true;
    network.run(seconds(30));
    network.start("a3", "domain-a", 2000, { "b2:2" });
    network.run(seconds(10));
    const std::set<std::string> five{ "a1", "a2", "a3", "b1", "b2" };
    EXPECT_TRUE(network.allList(five));
    EXPECT_EQ(network.entry("a3").links.size(), 4U);
    EXPECT_EQ(firstAddress(network, "b1"), firstAddress(network, "a3"));
}

TEST(MembershipTests, aKilledEntryIsGoneAndItsRestartIsNewAgain)
{
    // An entry's process dies; its callers' connections break. Within seconds nobody names it any more. Its restart
    // comes with a higher incarnation and is named at once, and nobody falls back to the old one.
    FakeNetwork network;
    startFour(network);
    network.kill("a1");
    network.run(seconds(10));
    EXPECT_TRUE(network.allList({ "a2", "b1", "b2" }));
    EXPECT_EQ(network.entry("b1").cell, (std::vector<std::string>{ "a2", "b1", "b2" }));
    network.start("a1", "domain-a", 5000);
    network.run(seconds(15));
    EXPECT_TRUE(network.allList(fourEntries));
    EXPECT_EQ(network.recordOf("b2", "a1").incarnation, 5000U);
}

TEST(MembershipTests, aLostLinkAloneIsNotADeath)
{
    // One pair of entries loses its connection for good while both reach everyone else. Each suspects the other; the
    // others pass that on, both refute it, and no caller ever loses an address.
    FakeNetwork network;
    startFour(network);
    network.cut({ "a1" }, { "b1" });
    for (int i = 0; i < 300; ++i) {
        network.run(seconds(1));
        ASSERT_TRUE(network.allList(fourEntries)) << "after " << i << " s";
    }
    EXPECT_EQ(network.recordOf("b2", "a1").incarnation, 1000U);
}

TEST(MembershipTests, twoFailureDomainsCutFromEachOtherBothServeAndConverge)
{
    // The network between two failure domains is cut for ten minutes. Callers on each side must be served by their
    // side, which lists its own members only. After the cut each side holds the other's old incarnations for gone;
    // all must come back under new ones, and no entry may name an old one again.
    FakeNetwork network;
    startFour(network);
    network.platform.out = true;
    network.cut({ "a1", "a2" }, { "b1", "b2" });
    network.run(minutes(10));
    EXPECT_EQ(network.entry("a1").cell, (std::vector<std::string>{ "a1", "a2" }));
    EXPECT_EQ(network.entry("b2").cell, (std::vector<std::string>{ "b1", "b2" }));
    EXPECT_EQ(firstAddress(network, "a2").size(), 2U);
    network.heal();
    for (const auto &name : fourEntries) {
        network.entry(name).everServing.clear();
    }
    network.run(seconds(40));
    EXPECT_TRUE(network.allList(fourEntries));
    for (const auto &name : fourEntries) {
        const bool isOnSideA = name.starts_with('a');
        EXPECT_FALSE(network.entry(name).everServing.contains(isOnSideA ? "b1@1002" : "a1@1000")) << name;
        EXPECT_EQ(network.recordOf("a1", name), network.recordOf("b2", name));
    }
}

TEST(MembershipTests, aHealedCutDoesNotEmptyTheCell)
{
    // After a cut the other side's entries say that this side's are gone. If an entry believed that of peers it is
    // linked to, its cell would shrink to itself for a moment and it would take the whole cell's share of every
    // backend server.
    FakeNetwork network;
    startFour(network);
    network.cut({ "a1", "a2" }, { "b1", "b2" });
    network.run(minutes(1));
    network.heal();
    for (int i = 0; i < 40; ++i) {
        network.run(seconds(1));
        const auto &cell = network.entry("a1").cell;
        ASSERT_TRUE(std::find(cell.begin(), cell.end(), "a2") != cell.end()) << "after " << i << " s";
    }
    EXPECT_TRUE(network.allList(fourEntries));
}

TEST(MembershipTests, aPausedEntryLearnsThatItsLeaseLapsedAndComesBackAsNew)
{
    // An entry is paused for five minutes and wakes with its old view. The others hold it for gone and its lease has
    // lapsed. It must not declare the others dead for their silence, and must come back under a new incarnation, so
    // that marks about the old one can't hit it.
    FakeNetwork network;
    startFour(network);
    network.pause("a1");
    network.run(minutes(5));
    EXPECT_EQ(network.recordOf("b1", "a1").state, MemberState::Gone);
    network.resume("a1");
    network.entry("a1").everServing.clear();
    network.run(seconds(20));
    EXPECT_TRUE(network.allList(fourEntries));
    EXPECT_GT(network.recordOf("b1", "a1").incarnation, 1000U);
    EXPECT_EQ(network.recordOf("a1", "b1").incarnation, 1002U);
    EXPECT_EQ(network.platform.registrations.at("a1").record.incarnation, network.recordOf("b1", "a1").incarnation);
}

TEST(MembershipTests, anEntryPausedAloneLearnsItFromThePlatform)
{
    // A site's only entry is paused beyond its lease. No peer can tell it; the platform's service does, and the entry
    // takes a new incarnation before it registers again. Without a pause a lapsed lease is only written anew.
    FakeNetwork network;
    network.start("a1", "domain-a", 1000);
    network.run(seconds(30));
    network.platform.registrations.clear();
    network.run(seconds(60));
    EXPECT_EQ(network.platform.registrations.at("a1").record.incarnation, 1000U);
    network.pause("a1");
    network.run(minutes(5));
    network.resume("a1");
    network.run(seconds(10));
    EXPECT_EQ(network.platform.registrations.at("a1").record.incarnation, 1001U);
}

TEST(MembershipTests, aLeavingEntryVanishesFromAnswersAtOnceAndStaysLinked)
{
    // An entry gets SIGTERM. In the same exchange of messages every other entry stops naming it to callers, while its
    // links stay open until its requests have ended.
    FakeNetwork network;
    startFour(network);
    network.send("a1", DrainStarted{});
    network.run(seconds(1));
    EXPECT_TRUE(network.allList({ "a2", "b1", "b2" }));
    EXPECT_EQ(network.entry("a1").cell, (std::vector<std::string>{ "a2", "b1", "b2" }));
    for (const auto &name : fourEntries) {
        const auto addresses = firstAddress(network, name);
        EXPECT_EQ(std::count(addresses.begin(), addresses.end(), "a1:1"), 0) << name;
    }
    network.run(minutes(2));
    EXPECT_EQ(network.entry("a1").links.size(), 3U);
    EXPECT_EQ(network.recordOf("b1", "a1").state, MemberState::Leaving);
    network.kill("a1");
    network.run(seconds(5));
    EXPECT_EQ(network.recordOf("b1", "a1").state, MemberState::Gone);
}

TEST(MembershipTests, aLeavingMarkOfThePlatformIsBelievedOnceAndSparesTheSuccessor)
{
    // The platform marks a VM as leaving; its entry must drain although nobody told the process. The VM is replaced
    // under the same name while the lagging list still shows the old mark: the new incarnation must serve.
    FakeNetwork network;
    startFour(network);
    network.platform.vms = { { .name = "a1", .address = "a1", .leaving = true } };
    network.run(seconds(20));
    EXPECT_TRUE(network.allList({ "a2", "b1", "b2" }));
    EXPECT_EQ(network.entry("a1").leaveCauses, std::vector<LeaveCause>{ LeaveCause::Marked });
    network.kill("a1");
    network.run(seconds(5));
    network.platform.vms.front().leaving = false; // seen by no watcher before the restart
    network.start("a1", "domain-a", 9000);
    network.run(seconds(5));
    EXPECT_EQ(network.recordOf("b1", "a1").incarnation, 9000U);
    network.run(seconds(30));
    EXPECT_TRUE(network.allList(fourEntries));
}

TEST(MembershipTests, anAddressTakenOverByANewVmBelongsToTheNewOne)
{
    // A VM dies unnoticed and a new VM with another name gets its IP number at once. Callers must not be sent to the
    // address under the old name twice, and peers must not take the new entry for the old one's return.
    FakeNetwork network;
    startFour(network);
    network.kill("a1");
    network.start("a9", "domain-a", 7000, { "b1:2" }, "a1");
    network.run(seconds(3));
    EXPECT_TRUE(network.allList({ "a2", "a9", "b1", "b2" }));
    EXPECT_EQ(network.recordOf("b1", "a1").state, MemberState::Gone);
}

TEST(MembershipTests, anOldProcessOfTheSameNameDrains)
{
    // A VM is replaced under its name while the old one, cut off, still runs. When the old one comes back into touch
    // it must learn that its name is taken and drain, not fight over the name.
    FakeNetwork network;
    startFour(network);
    network.run(seconds(5));
    network.send("b1", RecordsReceived{ .from = "b2", .records = { laterHolderOfA1(MemberState::Live) }, .digest = {} });
    network.run(seconds(2));
    EXPECT_EQ(network.entry("a1").leaveCauses, std::vector<LeaveCause>{ LeaveCause::Superseded });
    EXPECT_EQ(network.recordOf("b2", "a1").callerAddress, "elsewhere:1");
}

TEST(MembershipTests, aNameWhoseLaterHolderEndedIsTakenBack)
{
    // A VM is replaced under its name by one whose clock is behind, so the ended run has the higher incarnation. Its
    // record must not make the new process drain: a site would lose every VM that it replaces that way.
    FakeNetwork network;
    startFour(network);
    network.send("b1", RecordsReceived{ .from = "b2", .records = { laterHolderOfA1(MemberState::Gone) }, .digest = {} });
    network.run(seconds(3));
    EXPECT_TRUE(network.entry("a1").leaveCauses.empty());
    EXPECT_TRUE(network.allList(fourEntries));
    EXPECT_EQ(network.recordOf("b2", "a1").incarnation, 8001U);
}

namespace
{

const std::vector<std::string> recordNames{ "a", "b", "c" };

auto anyRecord() -> rc::Gen<MemberRecord>
{
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::elementOf(recordNames),
            rc::gen::inRange<std::uint64_t>(1, 4),
            rc::gen::inRange<std::uint32_t>(0, 3),
            rc::gen::elementOf(std::vector{ MemberState::Joining, MemberState::Live, MemberState::Suspect, MemberState::Leaving, MemberState::Gone })),
        [](const auto &fields) {
            const auto &[name, incarnation, version, state] = fields;
            return MemberRecord{
                .name = name, .callerAddress = name + ":1", .peerAddress = name + ":2", .incarnation = incarnation, .version = version, .state = state
            };
        });
}

auto hear(const std::vector<MemberRecord> &records) -> MembershipStatePointer
{
    auto state = makeMembership({ .self = { .name = "self", .peerAddress = "self:2", .incarnation = 1 } });
    for (const auto &record : records) {
        step(*state, RecordsReceived{ .from = "x", .records = { record }, .digest = {} }, TimePoint());
    }
    return state;
}

} // namespace

RC_GTEST_PROP(MembershipProperties, entriesThatHeardTheSameRecordsInAnyOrderAgree, ())
{
    const auto records = *rc::gen::container<std::vector<MemberRecord>>(anyRecord());
    auto shuffled = records;
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
    RC_ASSERT(listMembers(*hear(records)) == listMembers(*hear(shuffled)));
}

RC_GTEST_PROP(MembershipProperties, aLeavingIncarnationIsNeverServingAgain, ())
{
    const auto records = *rc::gen::container<std::vector<MemberRecord>>(anyRecord());
    auto state = makeMembership({ .self = { .name = "self", .peerAddress = "self:2", .incarnation = 1 } });
    std::set<std::pair<std::string, std::uint64_t>> left;
    for (const auto &record : records) {
        step(*state, RecordsReceived{ .from = "x", .records = { record }, .digest = {} }, TimePoint());
        for (const auto &listed : listMembers(*state)) {
            if (listed.state == MemberState::Leaving) {
                left.insert({ listed.name, listed.incarnation });
            }
            RC_ASSERT(!isServing(listed.state) || !left.contains({ listed.name, listed.incarnation }));
        }
    }
}

RC_GTEST_PROP(MembershipProperties, randomFaultsHealIntoOneList, ())
{
    // Entries are killed, restarted, paused, drained and cut from each other at random, with the platform in and out.
    // Whatever the order, once all is well again everyone must list the same entries, and no entry may at any time
    // have named an incarnation that it had seen leaving.
    FakeNetwork network;
    startFour(network);
    std::uint64_t incarnation = 10000;
    std::set<std::string> drained;
    const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (const auto fault : faults) {
        const auto name = *rc::gen::elementOf(std::vector<std::string>(fourEntries.begin(), fourEntries.end()));
        const bool runs = network.names().contains(name);
        if (fault == 0 && runs) {
            network.kill(name);
            drained.erase(name);
        } else if (fault == 1 && !runs) {
            network.start(name, "domain-" + name.substr(0, 1), ++incarnation, { "a1:2", "b1:2" });
        } else if (fault == 2 && runs) {
            network.pause(name);
        } else if (fault == 3 && runs) {
            network.resume(name);
        } else if (fault == 4 && runs && !network.entry(name).paused) {
            network.send(name, DrainStarted{});
            drained.insert(name);
        } else if (fault == 5) {
            network.cut({ "a1", "a2" }, { "b1", "b2" });
        } else if (fault == 6) {
            network.heal();
        } else if (fault == 7) {
            network.platform.out = !network.platform.out;
        }
        network.run(seconds(*rc::gen::inRange(1, 40)));
    }
    network.heal();
    network.platform.out = false;
    std::set<std::string> expected;
    for (const auto &name : network.names()) {
        network.resume(name);
        if (!drained.contains(name)) {
            expected.insert(name);
        }
    }
    network.run(minutes(3));
    RC_ASSERT(network.allList(expected));
}
