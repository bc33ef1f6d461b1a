/// \file
/// The one process at a time that orders backend servers to load models, adapters and versions or to change role:
/// `(state, event, now) -> actions`.
///
/// Why two holders' orders cannot take effect in the wrong order:
/// - A fencing number stands for one holder and one version of the document. It is the lock key's ModifyIndex after a
///   write that succeeds only while this process's session holds the key, so it rises over holders and over versions.
/// - After each takeover the document is read from the platform's service before the first order, so a new holder's
///   wanted state is never older than its predecessor's.
/// - A backend server that checks refuses what was decided earlier, however late it arrives. Until it has been told a
///   number of this tenure an order of the last holder may still reach it: so each gets an order for the state that it
///   has, and none is relied on to serve a model before it reported that number back.
/// - One that does not check is left alone until the last holder's lease and its longest order are over, then read,
///   ordered, read back, and read again at intervals: an order that arrives later still is seen and overwritten.
///
/// While the platform's service is out there is no lease and there are no orders; backend servers keep what they have.

#pragma once

#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/placement/actions.h"
#include "core/placement/events.h"
#include "core/placement/lease.h"
#include "core/placement/rollout.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburnspread::placement
{

struct PlacerOptions {
    LeaseOptions lease;
    RolloutOptions rollout;
    std::uint32_t concurrentLoads = 2;  ///< backend servers that may load weights at once: the weight store is rate-limited
    std::uint32_t concurrentReads = 16; ///< reads of backend servers under way at once
    std::uint32_t concurrentOrders = 16;
    /// The longest time that an order can be under way: the adapter closes the connection by then, and the network
    /// delivers nothing of it later. A new holder waits this long for backend servers that do not check.
    Duration orderTime = std::chrono::seconds(10);
    Duration readTimeout = std::chrono::seconds(5);
    Duration readInterval = std::chrono::seconds(10);      ///< between two reads of a backend server that has its wanted state
    Duration readSpacing = std::chrono::milliseconds(200); ///< mean time between any two such reads: bounds the traffic of many backend servers
    Duration readBackInterval = std::chrono::seconds(1);   ///< after an order, until it is confirmed
    Duration passInterval = std::chrono::seconds(1);       ///< between passes over all backend servers when nothing changes
    Duration loadTime = std::chrono::minutes(15);          ///< a backend server that loads for longer has failed its order
    Duration backoffFirst = std::chrono::seconds(2);       ///< after a failed order; doubles
    Duration backoffLongest = std::chrono::minutes(2);
    std::uint64_t seed = 1;
};

struct Order {
    PendingCall call;
    ServerState state;
    Variants kept; ///< what stays usable while it takes effect, by the last report
    bool needsWeights = false;
    bool settled = false; ///< its answer came, or its time passed; it is now to be read back
};

struct ServerView {
    std::optional<ServerReport> report;
    TimePoint reportAskedAt; ///< when the read that gave the report was sent
    std::optional<PendingCall> read;
    TimePoint nextReadAt;
    std::optional<Order> order;
    FencingNumber requiredFence = 0; ///< an order of unknown outcome can take effect until the backend server knows this number
    std::uint32_t failures = 0;
    TimePoint nextOrderAt;
};

/// A line that was logged last about a backend server.
struct Explained {
    Decision decision{};
    std::string detail;

    auto operator==(const Explained &) const -> bool = default;
};

struct PlacerState {
    PlacerOptions options;
    Lease lease;
    std::shared_ptr<const configuration::AdoptedDocument> document;
    FencingNumber tenureFence = 0;  ///< the first number of this tenure: predecessors' are smaller
    bool documentConfirmed = false; ///< read from the platform's service since this tenure began
    Needs needs;
    std::map<std::string, ServerState> wanted;      ///< by backend server, of the document
    std::optional<std::uint64_t> fenceVersion;      ///< the version that the fencing number stands for; absent: none yet
    std::optional<std::uint64_t> fenceVersionAsked; ///< the version that the pending write of the lock key is for
    std::optional<PendingCall> documentCall;
    TimePoint nextDocumentReadAt;
    std::map<std::string, ServerView> servers;
    std::set<std::string> leaving; ///< backend servers whose VM leaves
    bool changed = true;           ///< since the last pass over all backend servers
    TimePoint nextPassAt;          ///< of a pass without a change: backoffs and waits end
    std::map<std::string, Explained> explained;
    std::uint64_t lastCall = 0;
    std::uint64_t random = 1;
    bool stopping = false;
    bool stopped = false;
};

auto makePlacer(const PlacerOptions &options) -> PlacerState;

/// Takes one event in at \p now (never earlier than the last one) and returns what is to be done, in order.
auto step(PlacerState &state, const Event &event, TimePoint now) -> Actions;

/// What an operator sees of the placer.
struct PlacerStatus {
    struct ServerStatus {
        std::string backend;
        std::string state; ///< as read last; empty: not known
        std::string wanted;
        std::string decision; ///< the last one
        std::string detail;
        std::uint32_t failures = 0;
    };
    bool holdsLease = false;
    FencingNumber fence = 0;
    std::uint64_t version = 0;
    std::uint32_t converged = 0; ///< backend servers in their wanted state
    std::vector<ServerStatus> servers;
};

auto statusOf(const PlacerState &state, TimePoint now) -> PlacerStatus;

} // namespace auburnspread::placement
