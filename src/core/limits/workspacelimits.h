/// \file
/// A workspace's limits on requests a second, tokens a second and requests open at once, over all entries together.
///
/// Part of each limit is kept for the workspace's higher tiers. Failure: a burst of a lower tier empties the buckets and
/// opens every place. Symptom: the workspace's next request of the highest tier is refused, as if it had been shed for
/// the lower one. Keeping a part back is enough: a lower tier takes neither from a bucket of the cell below the part nor
/// a place beyond it, by its entry's share no more than by the cell's level, and between two reports at most its even
/// part of what is above; and what it was refused is not reported as demand, so it closes no entry to the higher tier.
/// The part is small enough to cost lower tiers burst only, not rate. So that a flood of the highest tier starves no
/// lower one in turn, every ten requests that a higher tier takes let one of a lower tier compete on equal terms.

#pragma once

#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/limits/sharedbucket.h"

#include <cstdint>
#include <optional>

namespace auburnspread::limits
{

/// What was asked for since the last report, refused requests of the highest tier included.
struct Demand {
    std::uint32_t requests = 0;
    std::uint32_t tokens = 0;
};

/// What one entry knows of the use of one workspace.
struct WorkspaceUsage {
    SharedBucket requests;
    SharedBucket tokens;
    std::uint32_t open = 0;      ///< accepted here and not yet ended
    std::uint32_t peersOpen = 0; ///< at the other entries, as last reported
    double owed = 0;             ///< requests of lower tiers that may pass the part that is kept for higher ones
    Unheard opened;              ///< accepted requests
    Unheard openedHighest;       ///< of the highest tier
    Demand unreported;
    Demand lastReported; ///< counts here from the next report on, when the peers have heard of it
};

/// The largest part of a limit that is kept for higher tiers.
constexpr double LargestReserve = 0.25;

/// What a request asks for.
struct Ask {
    std::uint32_t tokens = 0; ///< expected
    double reserve = 0;       ///< part of each limit that is kept for higher tiers, up to LargestReserve
};

/// The tiers of a workspace's classes, a bit each.
using Tiers = std::uint32_t;

auto addTier(Tiers tiers, int tier) -> Tiers;

/// What is kept for higher tiers from a request of \p tier: nothing from the highest of \p tiers, LargestReserve from the
/// lowest, even steps between.
auto reserveOf(Tiers tiers, int tier) -> double;

struct Limited {
    Reason reason{};
    Duration retryAfter{};
};

/// Takes a request in, or says which limit it meets. Demand is counted either way, but for a lower tier's that is refused.
auto takeIn(WorkspaceUsage &usage, const configuration::Workspace &limits, const Ask &ask, std::uint32_t entries, TimePoint now) -> std::optional<Limited>;

/// An accepted request has ended: \p charged tokens were expected, \p used were used.
auto release(WorkspaceUsage &usage, std::uint32_t charged, std::uint32_t used) -> void;

/// What this entry reports to its peers. It counts in its own share from the next report on: did it count here before
/// the peers' demand of the same time was heard, each entry of a burst at all of them would think itself alone.
auto takeDemand(WorkspaceUsage &usage, TimePoint now) -> Demand;

/// Another entry's demand since its last report.
auto notePeerDemand(WorkspaceUsage &usage, const configuration::Workspace &limits, const Demand &demand, TimePoint now) -> void;

} // namespace auburnspread::limits
