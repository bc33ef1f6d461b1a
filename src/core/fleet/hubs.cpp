#include "core/fleet/hubs.h"

#include "core/fleet/readers.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::fleet
{

namespace
{

/// A hub sends ten sums a second.
constexpr Duration HubSilence = std::chrono::milliseconds(350);
/// After this time a silent hub is tried again.
constexpr Duration SilentTime = std::chrono::seconds(3);

auto isSilent(const Hubs &hubs, const std::string &entry, TimePoint now) -> bool
{
    const auto found = hubs.silentUntil.find(entry);
    return found != hubs.silentUntil.end() && now < found->second;
}

auto entriesOf(const std::vector<EntryRecord> &entries, const std::string &failureDomain) -> std::vector<EntryRecord>
{
    std::vector<EntryRecord> found;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(found), [&](const EntryRecord &entry) { return entry.failureDomain == failureDomain; });
    return found;
}

auto contains(const std::vector<EntryRecord> &entries, const std::string &name) -> bool
{
    return std::any_of(entries.begin(), entries.end(), [&name](const EntryRecord &entry) { return entry.name == name; });
}

/// When the hub last showed that it sums up, or began to be told.
auto lastSign(const Hubs &hubs, const std::string &hub) -> TimePoint
{
    const auto heard = hubs.heardAt.find(hub);
    return std::max(hubs.toldSince.at(hub), heard == hubs.heardAt.end() ? TimePoint() : heard->second);
}

} // namespace

auto noteSum(Hubs &hubs, const std::string &entry, TimePoint now) -> void
{
    hubs.heardAt[entry] = now;
    hubs.silentUntil.erase(entry);
}

auto chooseHubs(Hubs &hubs, const std::vector<EntryRecord> &entries, const EntryRecord &self, TimePoint now) -> std::vector<EntryRecord>
{
    auto candidates = entriesOf(entries, self.failureDomain);
    const auto isListed = contains(candidates, self.name);
    if (!isListed) {
        candidates.push_back(self);
    }
    std::erase_if(candidates, [&](const EntryRecord &entry) { return isSilent(hubs, entry.name, now); });
    auto chosen = chooseReaders(candidates, HubCount);
    std::erase_if(hubs.toldSince, [&chosen](const auto &item) { return !contains(chosen, item.first); });
    for (const auto &hub : chosen) {
        if (hub.name == self.name) {
            continue;
        }
        hubs.toldSince.try_emplace(hub.name, now);
        // a hub tells only those that are listed
        if (isListed && now - lastSign(hubs, hub.name) > HubSilence) {
            hubs.silentUntil[hub.name] = now + SilentTime;
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
    std::vector<EntryRecord> told;
    for (auto &[domain, members] : byDomain) {
        const auto chosen = chooseReaders(std::move(members), HubCount);
        told.push_back(chosen.at(turn % chosen.size()));
    }
    return told;
}

} // namespace auburnspread::fleet
