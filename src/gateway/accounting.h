/// \file
/// Log lines and metrics of the pass-through entry: one line for each decision that touches a request or changes what
/// the entry believes. docs/OPERATIONS.md shows how to get from a request's id to the cause of its failure.

#pragma once

#include "core/base/time.h"
#include "core/ordering/ordering.h"
#include "core/passthrough/actions.h"
#include "core/passthrough/router.h"
#include "gateway/upstream.h"
#include "runtime/metrics/reasoncounters.h"
#include "runtime/metrics/registry.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

/// What a line about a request names.
struct RequestLabels {
    std::string_view request; ///< the caller's id of its attempt
    std::uint64_t configurationVersion = 0;
    Duration configurationAge{};
    Duration serversAge{}; ///< of the list of backend servers
};

class Accounting
{
public:
    Accounting();

    /// \name Requests
    /// @{
    auto sent(const RequestLabels &labels, const passthrough::Send &order) -> void;
    auto attemptFailed(const RequestLabels &labels, std::string_view server, const AttemptFailure &failure, Duration since) -> void;
    auto refused(const RequestLabels &labels, const passthrough::Refuse &refusal) -> void;
    auto refusedInput(std::string_view step, std::string_view detail) -> void;
    auto answered(const RequestLabels &labels, std::string_view server, int status, Duration firstByte, Duration whole) -> void;
    auto brokenOff(const RequestLabels &labels, const passthrough::Break &end) -> void;
    auto callerGone(const RequestLabels &labels, Duration since) -> void;
    /// @}

    /// \name Beliefs
    /// @{
    /// Another entry has a newer configuration, of this revision of the store.
    auto configurationOffered(std::uint64_t revision) -> void;
    /// A part of a newer configuration did not come from another entry.
    auto documentPartFailed(std::string_view peer, std::string_view detail) -> void;
    auto configurationAdopted(std::uint64_t version, std::size_t bytes, std::size_t routes, std::size_t workspaces) -> void;
    auto serversChanged(std::string_view change, std::string_view server, std::string_view service) -> void;
    auto entriesChanged(std::size_t entries) -> void;
    auto dependencyReachable(std::string_view peer, bool reachable, std::string_view call, std::string_view detail) -> void;
    auto roleChanged(bool readsStore, std::size_t readers) -> void;
    auto inputInvalid(std::string_view source, std::string_view detail) -> void;
    auto cacheListed(const passthrough::CacheListed &listed) -> void;
    auto cacheNotListed(std::string_view server, std::string_view detail) -> void;
    auto crashCounted(const passthrough::TellCrashes &crashes) -> void;
    /// A backend server takes requests at another rate.
    auto serverLimitChanged(const passthrough::LimitChanged &change) -> void;
    auto readinessChanged(bool ready, std::string_view reason) -> void;
    /// @}

    /// \name What one entry does for all
    /// @{
    /// \p reason: why a term ended
    auto leadershipChanged(bool leads, std::uint64_t token, std::string_view reason) -> void;
    auto usageReported(std::int64_t window, std::string_view outcome, std::uint64_t requests) -> void;
    auto serversOrdered(const ordering::Order &order, std::string_view outcome, double neededServers) -> void;
    /// @}

    /// The metrics page, with the router's state and the number of calls to the store.
    auto metricsPage(const passthrough::RouterStatus &status, std::uint64_t storeCalls) -> std::string;

private:
    metrics::Registry registry_;
    metrics::EnumCounters<Reason> refusals_;
    metrics::EnumCounters<Failure> failures_;
    metrics::EnumCounters<Failure> retries_;
    metrics::Counter &sends_;
    metrics::Counter &answers_;
    metrics::Counter &breaks_;
    metrics::Counter &gone_;
    metrics::Histogram &firstByte_;
    metrics::Histogram &whole_;
    metrics::Gauge &waiting_;
    metrics::Gauge &inFlight_;
    metrics::Gauge &servers_;
    metrics::Gauge &limitedServers_;
    metrics::Gauge &entries_;
    metrics::Gauge &version_;
    metrics::Gauge &age_;
    metrics::Counter &invalidInputs_;
    metrics::Counter &documentPartFailures_;
    metrics::Gauge &storeCalls_;
    metrics::Gauge &token_;
    metrics::Counter &usageReports_;
    metrics::Counter &serverOrders_;
};

} // namespace auburnspread::gateway
