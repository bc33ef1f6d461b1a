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
    std::uint32_t open = 0;      ///< accepted here and not yet ended
    std::uint32_t peersOpen = 0; ///< at the other entries, as last reported
    Demand unreported;
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

/// What this entry reports to its peers; from now on it counts in its own share too.
auto takeDemand(WorkspaceUsage &usage, TimePoint now) -> Demand;

/// Another entry's demand since its last report.
auto notePeerDemand(WorkspaceUsage &usage, const Demand &demand, TimePoint now) -> void;

} // namespace auburnspread::limits
