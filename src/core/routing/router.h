/// \file
/// The decision core of an entry: `(state, event, now) -> actions`. No socket, clock, thread, log or global inside.

#pragma once

#include "core/base/time.h"
#include "core/routing/actions.h"
#include "core/routing/events.h"

#include <cstdint>
#include <memory>
#include <string>

namespace auburnspread::routing
{

enum class Policy {
    Standard,
    Naive, ///< first come first served, round robin, retry at once up to three times; the baseline
};

struct RouterOptions {
    std::string entry; ///< this entry's name
    std::string failureDomain;
    Policy policy = Policy::Standard;
    std::uint64_t seed = 1; ///< of every random choice
};

struct RouterState;

/// The state is opaque outside the module; two routers share nothing.
struct RouterStateDeleter {
    auto operator()(RouterState *state) const -> void;
};
using RouterStatePointer = std::unique_ptr<RouterState, RouterStateDeleter>;

auto makeRouter(RouterOptions options) -> RouterStatePointer;

/// Takes one event in at \p now (never earlier than the last one) and returns what is to be done, in order.
auto step(RouterState &state, const Event &event, TimePoint now) -> Actions;

/// This entry's own report for its peers, and a reset of what counts "since the last report".
auto takeReport(RouterState &state) -> PeerReported;

/// What an operator sees of the router.
struct RouterStatus {
    struct ClassStatus {
        std::string requestClass;
        std::uint32_t waiting = 0;
        std::uint32_t inFlight = 0;
        std::uint64_t completed = 0;
        std::uint64_t onTime = 0;
        std::uint64_t refused = 0;
    };
    struct BackendStatus {
        std::string backend;
        std::uint32_t inFlight = 0;
        std::uint32_t share = 0; ///< this entry's part of the backend server's concurrency
        bool ejected = false;
        bool leaving = false;
    };
    std::uint64_t configurationVersion = 0;
    std::string configurationDigest;
    bool draining = false;
    std::vector<ClassStatus> classes;
    std::vector<BackendStatus> backends;
    std::vector<Fingerprint> quarantined;
    std::uint64_t wastedTokens = 0;
};

auto statusOf(const RouterState &state) -> RouterStatus;

} // namespace auburnspread::routing
