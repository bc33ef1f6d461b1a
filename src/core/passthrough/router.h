/// \file
/// The decision core of the pass-through router: `(state, event, now) -> actions`. It uses no sockets, clocks, threads, logs or globals.
///
/// \p now must come from a clock that includes the time during which the VM is suspended, because a withdrawn key also expires then.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/actions.h"
#include "core/passthrough/enginemodel.h"
#include "core/passthrough/events.h"
#include "core/passthrough/retrybudget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::passthrough
{

struct RouterOptions {
    std::string entry; ///< name of this entry
    std::string failureDomain;
    RetryBounds retries;
    EngineModelMode engineModel = EngineModelMode::Auto;
    Duration keyFreshness = std::chrono::milliseconds(4500);      ///< no key is admitted if the configuration was last confirmed longer ago
    Duration outdatedTolerance = std::chrono::milliseconds(1200); ///< no request is admitted if a newer configuration has been known for longer
};

struct RouterState;

struct RouterStateDeleter {
    auto operator()(RouterState *state) const -> void;
};
using RouterStatePointer = std::unique_ptr<RouterState, RouterStateDeleter>;

auto makeRouter(RouterOptions options) -> RouterStatePointer;

/// Processes one event. A \p now before that of the previous event is raised to it.
auto step(RouterState &state, const Event &event, TimePoint now) -> Actions;

/// Applies the limits in \p options from now on, also to queued requests. The names in \p options are ignored.
auto updateOptions(RouterState &state, const RouterOptions &options) -> void;

/// Creates the load report of this entry for the other entries.
auto makeEntryReport(RouterState &state) -> PeerReported;
/// Creates an aggregate of the load reports that this entry received from its failure domain, or from all entries, with its own.
auto makeAggregateReport(const RouterState &state, ReportScope scope) -> PeerReported;

/// The samples of the engines' speed of this entry, or of the entries of a scope; nothing if no service uses the engine model.
auto makeSpeedReport(const RouterState &state, ReportScope scope) -> std::optional<PeerReported>;

/// Load of the servers of a service from all entries.
struct ServiceLoad {
    std::uint32_t servers = 0; ///< servers that accept new requests
    std::uint32_t slots = 0;   ///< request slots of these servers
    std::uint32_t requests = 0;
    std::uint64_t unreadTokens = 0; ///< tokens of prompts, including those that are queued at the entries
    double tokensPerMs = 1;         ///< prompt tokens that one server processes
};
auto loadOfService(const RouterState &state, const std::string &service, TimePoint now) -> ServiceLoad;

/// What no entry may send, because it crashes the servers that run it. See crashledger.h.
auto quarantinedSuspects(const RouterState &state, TimePoint now) -> std::vector<QuarantinedSuspect>;
/// Changes whenever what is quarantined may have changed.
auto quarantineRevision(const RouterState &state) -> std::uint64_t;

/// Where the stream began, as far as this entry knows.
auto findStreamOrigin(const RouterState &state, StreamId stream) -> std::optional<StreamOrigin>;
/// Which versions the service has had, as far as this entry knows.
auto describeVersions(const RouterState &state, const std::string &service, TimePoint now) -> std::optional<VersionReport>;

/// Whether this entry may call the backend server for purposes of its own, such as reading an engine's cache.
auto acceptsCalls(const RouterState &state, std::string_view server, TimePoint now) -> bool;

/// Number of backend servers that have requested a backoff from this entry.
auto countServersInBackoff(const RouterState &state, TimePoint now) -> std::uint32_t;

/// Status of the router for operators.
struct RouterStatus {
    std::uint64_t configurationVersion = 0; ///< 0: none yet
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t servers = 0;
    std::uint32_t limitedServers = 0; ///< servers with a rate limit
    std::uint32_t entries = 1;
    Duration configurationAge{}; ///< time since the configuration was last confirmed
};
auto statusOf(const RouterState &state, TimePoint now) -> RouterStatus;

/// Whether the configuration was confirmed recently enough to admit keys, and no newer one is overdue.
auto isConfigurationFresh(const RouterState &state, TimePoint now) -> bool;

/// Whether the entry has known of a newer configuration for so long that its own must no longer be used.
auto isConfigurationOverdue(const RouterState &state, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
