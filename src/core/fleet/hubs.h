/// \file
/// Chooses the hubs of a failure domain: the entries that aggregate its load reports. Has no side effects.
///
/// Each entry reports its in-flight load to the two highest-ranked entries of its own failure domain. These hubs send their domain's sum
/// to the hubs of the other domains, and the sum over all domains to the entries of their own domain. The number of datagrams therefore
/// grows linearly with the number of entries, and few datagrams cross failure domains.
///
/// While a crashed or partitioned hub goes undetected, its entries place requests by outdated loads. A hub that receives reports but
/// sends no sum is therefore replaced by the next in rank at once. All entries of the domain miss its sums at the same time.

#pragma once

#include "core/base/time.h"
#include "core/fleet/entryrecord.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace auburnspread::fleet
{

/// Hubs of each failure domain; with two, the other continues if one is lost.
constexpr std::size_t HubCount = 2;

/// Health of the hubs that an entry reports to; each map is keyed by entry name.
struct HubSelection {
    std::map<std::string, TimePoint> reportedSince;     ///< start of uninterrupted reporting to the hub
    std::map<std::string, TimePoint> lastSumAt;         ///< time of the hub's last fleet report
    std::map<std::string, TimePoint> unresponsiveUntil; ///< the hub is not chosen until then
};

/// Records that \p entry sent a fleet report, that is, the sum over all failure domains.
auto recordFleetReport(HubSelection &hubs, const std::string &entry, TimePoint now) -> void;

/// Chooses the hubs of the failure domain of \p self, highest rank first; \p self may be one of them. Must be called before each report to
/// the hubs, since it detects hubs that do not respond.
auto chooseHubs(HubSelection &hubs, const std::vector<EntryRecord> &entries, const EntryRecord &self, TimePoint now) -> std::vector<EntryRecord>;

/// \return for each other failure domain, the hub that receives the report of this \p turn. The hubs of a domain alternate, since one of
/// them may be lost.
auto hubsOfOtherDomains(const std::vector<EntryRecord> &entries, const EntryRecord &self, std::size_t turn) -> std::vector<EntryRecord>;

} // namespace auburnspread::fleet
