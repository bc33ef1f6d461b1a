/// \file
/// A workspace's limits on requests a second, tokens a second and requests open at once, over all entries together.

#pragma once

#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/limits/sharedbucket.h"

#include <cstdint>
#include <optional>

namespace auburnspread::limits
{

/// What was asked for since the last report, refused requests included.
struct Demand {
    std::uint32_t requests = 0;
    std::uint32_t tokens = 0;
};

/// What one entry knows of the use of one workspace.
struct WorkspaceUsage {
    SharedBucket requests;
    SharedBucket tokens;
    std::uint32_t open = 0;         ///< accepted here and not yet ended
    std::uint32_t peersOpen = 0;    ///< at the other entries, as last reported
    std::uint32_t opened = 0;       ///< accepted here since the last report
    std::uint32_t openedBefore = 0; ///< accepted here between the last report and the one before, of which peers may not have heard
    Demand unreported;
    Demand lastReported; ///< counts here from the next report on, when the peers have heard of it
};

struct Limited {
    Reason reason{};
    Duration retryAfter{};
};

/// Takes a request that is expected to use \p tokens in, or says which limit it meets. Demand is counted either way.
auto takeIn(WorkspaceUsage &usage, const configuration::Workspace &limits, std::uint32_t tokens, std::uint32_t entries, TimePoint now)
    -> std::optional<Limited>;

/// An accepted request has ended: \p charged tokens were expected, \p used were used.
auto release(WorkspaceUsage &usage, std::uint32_t charged, std::uint32_t used) -> void;

/// What this entry reports to its peers. It counts in its own share from the next report on: did it count here before
/// the peers' demand of the same time was heard, each entry of a burst at all of them would think itself alone.
auto takeDemand(WorkspaceUsage &usage, TimePoint now) -> Demand;

/// Another entry's demand since its last report.
auto notePeerDemand(WorkspaceUsage &usage, const configuration::Workspace &limits, const Demand &demand, TimePoint now) -> void;

} // namespace auburnspread::limits
