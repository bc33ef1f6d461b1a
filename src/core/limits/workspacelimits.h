/// \file
/// Limits of a workspace on requests per second, tokens per second and concurrent requests, over all entries together.
///
/// Part of each limit is reserved for the higher tiers of the workspace. Otherwise a burst of a lower tier would empty the buckets and
/// use all concurrent places, and the next request of the highest tier would be refused, as if it had been shed in favour of the
/// lower one. A lower tier may take neither from a cell's bucket below the reserve nor a place beyond it, whether its entry's share or the
/// cell level would allow it, and between two reports at most its even part of what is above the reserve. Its refused requests are not
/// reported as demand, so they do not block the higher tier at any entry. The reserve costs lower tiers only burst, not rate. To keep a
/// flood of the highest tier from starving the lower ones in turn, every ten admitted requests of higher tiers let one of a lower tier
/// ignore the reserve.

#pragma once

#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/limits/sharedbucket.h"

#include <cstdint>
#include <optional>

namespace auburnspread::limits
{

/// Demand since the last report, including refused requests of the highest tier.
struct Demand {
    std::uint32_t requests = 0;
    std::uint32_t tokens = 0;
};

/// Usage of one workspace as known to one entry.
struct WorkspaceUsage {
    SharedBucket requests;
    SharedBucket tokens;
    std::uint32_t open = 0;         ///< requests accepted by this entry that have not ended
    std::uint32_t peersOpen = 0;    ///< open requests at the other entries, as last reported
    double reserveCredit = 0;       ///< number of lower-tier requests that may ignore the reserve
    UnreportedAmount opened;        ///< accepted requests of all tiers
    UnreportedAmount openedHighest; ///< accepted requests of the highest tier
    Demand unreported;
    Demand lastReported; ///< counts in this entry's share from the next report on, when the peers have received it
};

/// Largest fraction of a limit that is reserved for higher tiers.
constexpr double MaxReserve = 0.25;

/// What a request needs of the limits.
struct LimitRequest {
    std::uint32_t tokens = 0; ///< expected tokens
    double reserve = 0;       ///< fraction of each limit that is reserved for higher tiers, up to MaxReserve
};

/// Set of the tiers of a workspace's classes, one bit each.
using TierSet = std::uint32_t;

/// \return \p tiers with \p tier added
auto addTier(TierSet tiers, int tier) -> TierSet;

/// Fraction of each limit that requests of \p tier must leave to higher tiers: nothing for the highest of \p tiers, MaxReserve for the
/// lowest, in even steps between.
auto reserveForTier(TierSet tiers, int tier) -> double;

/// A refusal because of a limit.
struct LimitRefusal {
    Reason reason{};
    Duration retryAfter{};
};

/// Admits a request, or returns the limit that it exceeds. Its demand is counted in both cases, except for a refused request of a lower tier.
auto admit(WorkspaceUsage &usage, const configuration::Workspace &limits, const LimitRequest &request, std::uint32_t entries, TimePoint now)
    -> std::optional<LimitRefusal>;

/// Records the end of an accepted request: \p charged tokens were expected, \p used were used.
auto release(WorkspaceUsage &usage, std::uint32_t charged, std::uint32_t used) -> void;

/// \return the demand to report to the peers, and starts a new interval. The demand counts in this entry's share only from the next report on:
/// if it counted before the peers' demand of the same interval is known, each entry would assume in a burst at all entries that it is the
/// only one with demand.
auto takeDemand(WorkspaceUsage &usage, TimePoint now) -> Demand;

/// Records another entry's demand since its previous report.
auto recordPeerDemand(WorkspaceUsage &usage, const configuration::Workspace &limits, const Demand &demand, TimePoint now) -> void;

} // namespace auburnspread::limits
