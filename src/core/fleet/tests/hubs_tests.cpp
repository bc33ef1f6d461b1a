#include "core/fleet/hubs.h"

#include <gtest/gtest.h>

#include <set>

using namespace auburnspread;
using namespace auburnspread::fleet;

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));

auto at(int milliseconds) -> TimePoint
{
    return Start + std::chrono::milliseconds(milliseconds);
}

/// Entries of five failure domains; a lower number ranks higher.
auto makeFleet(int count) -> std::vector<EntryRecord>
{
    std::vector<EntryRecord> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (auto i = 0; i < count; ++i) {
        const auto name = "entry-" + std::to_string(i);
        entries.push_back(
            { .name = name, .peerAddress = name + ":1", .failureDomain = "domain-" + std::to_string(i % 5), .strength = static_cast<std::uint32_t>(1000 - i) });
    }
    return entries;
}

auto namesOf(const std::vector<EntryRecord> &entries) -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const auto &entry : entries) {
        names.push_back(entry.name);
    }
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST(HubTests, eachFailureDomainHasTwoHubs)
{
    const auto entries = makeFleet(60);
    HubSelection hubs;
    EXPECT_EQ(namesOf(chooseHubs(hubs, entries, entries[17], at(0))), (Names{ "entry-2", "entry-7" }));
    EXPECT_EQ(namesOf(hubsOfOtherDomains(entries, entries[2], 0)), (Names{ "entry-0", "entry-1", "entry-3", "entry-4" }));
    EXPECT_EQ(namesOf(hubsOfOtherDomains(entries, entries[7], 1)), (Names{ "entry-5", "entry-6", "entry-8", "entry-9" }));
}

/// Guards against requests that are sent to full engines after both hubs of a failure domain crash at once. The list of entries shows the
/// loss only seconds later, but within half a second the entries report to the next two in rank.
TEST(HubTests, unresponsiveHubsAreReplacedWithinHalfASecond)
{
    const auto entries = makeFleet(60);
    HubSelection hubs;
    for (auto now = 0; now <= 1000; now += 50) {
        chooseHubs(hubs, entries, entries[17], at(now));
        recordFleetReport(hubs, "entry-2", at(now));
        recordFleetReport(hubs, "entry-7", at(now));
    }
    for (auto now = 1050; now <= 1400; now += 50) {
        chooseHubs(hubs, entries, entries[17], at(now));
    }
    EXPECT_EQ(namesOf(chooseHubs(hubs, entries, entries[17], at(1450))), (Names{ "entry-12", "entry-17" }));
    recordFleetReport(hubs, "entry-2", at(1500));
    EXPECT_EQ(namesOf(chooseHubs(hubs, entries, entries[17], at(1500))), (Names{ "entry-2", "entry-12" })) << "a fleet report makes the hub eligible again";
}

TEST(HubTests, anUnlistedEntryIsItsOwnOnlyHub)
{
    HubSelection hubs;
    const EntryRecord self{ .name = "new", .failureDomain = "domain-9" };
    EXPECT_EQ(namesOf(chooseHubs(hubs, makeFleet(60), self, at(0))), Names{ "new" });
}
