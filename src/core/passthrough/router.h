/// \file
/// The decision core of the pass-through face: `(state, event, now) -> actions`. No socket, clock, thread, log or global.
///
/// \p now must come from a clock that also counts the time in which the VM was suspended: a withdrawn key's time runs on.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/actions.h"
#include "core/passthrough/events.h"
#include "core/passthrough/retrybudget.h"

#include <cstdint>
#include <memory>
#include <string>

namespace auburnspread::passthrough
{

struct RouterOptions {
    std::string entry; ///< this entry's name
    std::string failureDomain;
    RetryBounds retries;
    Duration keyFreshness = std::chrono::milliseconds(4500);    ///< a configuration confirmed longer ago admits no key
    Duration overduePatience = std::chrono::milliseconds(1200); ///< a newer one heard of longer ago admits no request
};

struct RouterState;

struct RouterStateDeleter {
    auto operator()(RouterState *state) const -> void;
};
using RouterStatePointer = std::unique_ptr<RouterState, RouterStateDeleter>;

auto makeRouter(RouterOptions options) -> RouterStatePointer;

/// Takes one event in at \p now, never earlier than the last one.
auto step(RouterState &state, const Event &event, TimePoint now) -> Actions;

/// From now on the bounds in \p options hold, also for requests that wait; the names in it don't count.
auto changeBounds(RouterState &state, const RouterOptions &options) -> void;

/// What this entry has in flight, for the other entries.
auto takeReport(RouterState &state) -> PeerReported;
/// What the entries of this one's failure domain, or all, have in flight, as far as they reported to this one.
auto takeSum(const RouterState &state, ReportScope scope) -> PeerReported;

/// What the servers of a service have to do, of all entries.
struct ServiceLoad {
    std::uint32_t servers = 0; ///< that get new work
    std::uint32_t slots = 0;   ///< of these
    std::uint32_t requests = 0;
    std::uint64_t unreadTokens = 0; ///< of prompts, those that wait at the entries included
    double tokensPerMs = 1;         ///< that one server reads
};
auto loadOfService(const RouterState &state, const std::string &service, TimePoint now) -> ServiceLoad;

/// What an operator sees.
struct RouterStatus {
    std::uint64_t configurationVersion = 0; ///< 0: none yet
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t servers = 0;
    std::uint32_t limitedServers = 0; ///< of these, with a limit on their requests
    std::uint32_t entries = 1;
    Duration configurationAge{}; ///< since it was last confirmed
};
auto statusOf(const RouterState &state, TimePoint now) -> RouterStatus;

/// Whether the configuration was confirmed lately enough to admit keys, and no newer one is overdue.
auto isFresh(const RouterState &state, TimePoint now) -> bool;

/// Whether the entry has known of a newer configuration for so long that the one it has must not be in force any more.
auto isOverdue(const RouterState &state, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
