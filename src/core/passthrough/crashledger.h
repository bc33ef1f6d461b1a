/// \file
/// Quarantine of requests that crash backend servers, by fingerprint.
///
/// A request that crashes every server that runs it, and that its caller repeats at any entry, would take down one server after the
/// other. The ledger holds the servers whose connection broke while they ran a request, as seen by this entry and the others. A request
/// with too many of them is not sent any more.
///
/// Connections break for other reasons too. A completed response shows that the request is sound. A server that is still listed when a
/// crashed one would have left the list has not crashed.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburnspread::passthrough
{

/// A connection that broke while its server ran a request.
struct CrashIncident {
    std::string server; ///< server id; each start of a server has another one
    TimePoint at;
    bool hadEvents = false; ///< events of the response had arrived

    auto operator==(const CrashIncident &) const -> bool = default;
};

struct QuarantinedRequest {
    Fingerprint fingerprint{};
    TimePoint at; ///< time of the last incident

    auto operator==(const QuarantinedRequest &) const -> bool = default;
};

struct CrashLedger {
    std::unordered_map<Fingerprint, std::vector<CrashIncident>> incidents; ///< one for each server
    std::unordered_map<Fingerprint, TimePoint> listed;                     ///< quarantined according to another entry; time of the last incident
    std::unordered_set<Fingerprint> completed;                             ///< requests that completed recently
    std::deque<Fingerprint> completionOrder;                               ///< oldest first
    std::uint64_t revision = 0;                                            ///< changes whenever the quarantined requests may have changed
    TimePoint checkedAt;                                                   ///< when the incidents were last checked against the list of servers
};

/// Records incidents of a request, of this entry or another one. Those of servers that are already recorded change nothing.
/// \return whether any of them is new
auto recordIncidents(CrashLedger &ledger, Fingerprint fingerprint, const std::vector<CrashIncident> &incidents) -> bool;
/// Records that a server completed the request. \return whether incidents of it had been recorded
auto recordCompletion(CrashLedger &ledger, Fingerprint fingerprint) -> bool;
/// Replaces the requests that are quarantined according to another entry.
auto setListedRequests(CrashLedger &ledger, const std::vector<QuarantinedRequest> &requests) -> void;

/// Whether a request with this fingerprint must not be sent.
auto isQuarantined(const CrashLedger &ledger, Fingerprint fingerprint, TimePoint now) -> bool;
auto incidentsOf(const CrashLedger &ledger, Fingerprint fingerprint) -> std::vector<CrashIncident>;
/// The quarantined requests, sorted by fingerprint; the newest ones if there are very many.
auto quarantinedRequests(const CrashLedger &ledger, TimePoint now) -> std::vector<QuarantinedRequest>;

/// Drops incidents that are too old, and those of servers that did not crash. Call it periodically.
/// \param isListed whether a server is in the list of backend servers
/// \param listAsOf time as of which that list is current
auto reviewIncidents(CrashLedger &ledger, const std::function<bool(std::string_view server)> &isListed, TimePoint listAsOf, TimePoint now) -> void;

} // namespace auburnspread::passthrough
