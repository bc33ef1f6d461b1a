#include "core/fleet/hubs.h"

#include "core/fleet/readers.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::fleet
{

namespace
{

/// A hub without a fleet report for this long is unresponsive; hubs send ten a second.
constexpr Duration HubTimeout = std::chrono::milliseconds(350);
/// An unresponsive hub is tried again after this time.
constexpr Duration HubRetryDelay = std::chrono::seconds(3);

auto isUnresponsive(const HubSelection &hubs, const std::string &entry, TimePoint now) -> bool
{
    const auto found = hubs.unresponsiveUntil.find(entry);
    return found != hubs.unresponsiveUntil.end() && now < found->second;
}

auto entriesInDomain(const std::vector<EntryRecord> &entries, const std::string &failureDomain) -> std::vector<EntryRecord>
{
    std::vector<EntryRecord> found;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(found), [&](const EntryRecord &entry) { return entry.failureDomain == failureDomain; });
    return found;
}

auto contains(const std::vector<EntryRecord> &entries, const std::string &name) -> bool
{
    return std::any_of(entries.begin(), entries.end(), [&name](const EntryRecord &entry) { return entry.name == name; });
}

/// \return the time of the last fleet report of \p hub, or of the start of reporting to it if that is later
auto lastActivity(const HubSelection &hubs, const std::string &hub) -> TimePoint
{
    const auto lastSum = hubs.lastSumAt.find(hub);
    return std::max(hubs.reportedSince.at(hub), lastSum == hubs.lastSumAt.end() ? TimePoint() : lastSum->second);
}

} // namespace

auto recordFleetReport(HubSelection &hubs, const std::string &entry, TimePoint now) -> void
{
    hubs.lastSumAt[entry] = now;
    hubs.unresponsiveUntil.erase(entry);
}

auto chooseHubs(HubSelection &hubs, const std::vector<EntryRecord> &entries, const EntryRecord &self, TimePoint now) -> std::vector<EntryRecord>
{
    auto candidates = entriesInDomain(entries, self.failureDomain);
    const auto isListed = contains(candidates, self.name);
    if (!isListed) {
        candidates.push_back(self);
    }
    std::erase_if(candidates, [&](const EntryRecord &entry) { return isUnresponsive(hubs, entry.name, now); });
    auto chosen = chooseReaders(candidates, HubCount);
    std::erase_if(hubs.reportedSince, [&chosen](const auto &item) { return !contains(chosen, item.first); });
    for (const auto &hub : chosen) {
        if (hub.name == self.name) {
            continue;
        }
        hubs.reportedSince.try_emplace(hub.name, now);
        // hubs send fleet reports only to listed entries
        if (isListed && now - lastActivity(hubs, hub.name) > HubTimeout) {
            hubs.unresponsiveUntil[hub.name] = now + HubRetryDelay;
            return chooseHubs(hubs, entries, self, now);
        }
    }
    return chosen;
}

auto hubsOfOtherDomains(const std::vector<EntryRecord> &entries, const EntryRecord &self, std::size_t turn) -> std::vector<EntryRecord>
{
    std::map<std::string, std::vector<EntryRecord>> byDomain;
    for (const auto &entry : entries) {
        if (entry.failureDomain != self.failureDomain) {
            byDomain[entry.failureDomain].push_back(entry);
        }
    }
    std::vector<EntryRecord> recipients;
    for (auto &[domain, members] : byDomain) {
        const auto chosen = chooseReaders(std::move(members), HubCount);
        recipients.push_back(chosen.at(turn % chosen.size()));
    }
    return recipients;
}

} // namespace auburnspread::fleet
