/// \file
/// Whether this entry reaches the backend servers of a service.
///
/// An entry can lose its network path to all servers while callers and the other entries still reach it. Its attempts then fail at one
/// server after the other. A service counts as cut off if attempts at several servers failed, none of its servers has sent anything since
/// the first of these failures, and some time has passed. One response is enough to end that: a single server that fails, or many that
/// crash at the same time, leave others that respond. Connection probes without a request tell the difference where there is little
/// traffic, and show the end of a cut.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace auburnspread::passthrough
{

struct Reachability {
    std::map<std::string, TimePoint> failures; ///< latest failure of each server, by id, since one last responded
    TimePoint firstFailureAt;                  ///< of \c failures
    bool isCutOff = false;
    TimePoint probedAt;
};

/// Records an attempt or a probe that ended without any response.
auto recordPathFailure(Reachability &reach, const std::string &server, TimePoint now) -> void;
/// Records that a server of the service sent something. \return whether the service was cut off until now
auto recordPathSuccess(Reachability &reach) -> bool;
/// Decides whether the service is cut off. \p servers: number of its servers. \return whether it is from now on
auto detectCut(Reachability &reach, std::size_t servers, TimePoint now) -> bool;
/// Whether servers should be probed now. Each call that returns true counts as the start of a round of probes.
auto takeProbeRound(Reachability &reach, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
