/// \file
/// Which entries of a failure domain sum up the reports of load of that domain. Pure.
///
/// Each entry tells the first two in rank of its own failure domain what it has in flight. These tell their sum to the hubs of the other
/// domains, and the sum of all to the entries of their own: datagrams grow with the number of entries, and few cross domains.
///
/// Failure: a hub dies, or is cut off. Symptom: for as long as the entries take to find out, they place requests by what they knew before.
/// So a hub that is told and says nothing is replaced by the next in rank at once; all its entries miss it in the same moment.

#pragma once

#include "core/base/time.h"
#include "core/fleet/entryrecord.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace auburnspread::fleet
{

/// While one is lost the other goes on.
constexpr std::size_t HubCount = 2;

struct Hubs {
    std::map<std::string, TimePoint> toldSince;   ///< without a pause, by name
    std::map<std::string, TimePoint> heardAt;     ///< its last sum
    std::map<std::string, TimePoint> silentUntil; ///< not told meanwhile
};

/// \p entry sent the sum of all.
auto noteSum(Hubs &hubs, const std::string &entry, TimePoint now) -> void;

/// The hubs of the failure domain of \p self, itself perhaps among them, the first in rank first. To be asked whenever they are told.
auto chooseHubs(Hubs &hubs, const std::vector<EntryRecord> &entries, const EntryRecord &self, TimePoint now) -> std::vector<EntryRecord>;

/// For each other failure domain the hub that is told in this \p turn: each in turn, as one of them may be lost.
auto hubsOfOtherDomains(const std::vector<EntryRecord> &entries, const EntryRecord &self, std::size_t turn) -> std::vector<EntryRecord>;

} // namespace auburnspread::fleet
