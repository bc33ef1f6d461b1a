/// \file
/// The backend servers as this entry knows them: the registered list, its own attempts in flight, what other entries
/// report, and what own timings and failures say about each server's health.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/enginecache.h"
#include "core/passthrough/errorevidence.h"
#include "core/passthrough/events.h"
#include "core/passthrough/serverlimit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnspread::passthrough
{

/// What some entries have on a backend server.
struct ServerLoad {
    std::uint32_t inFlight = 0;      ///< requests
    std::uint32_t unreadTokens = 0;  ///< of prompts whose answer has not begun
    std::uint32_t heldTokens = 0;    ///< of memory, prompts and answers
    std::uint32_t waitingTokens = 0; ///< of prompts that wait at the entries for this server
    std::uint32_t shortPrompts = 0;  ///< of the requests, those with a short prompt
    std::uint32_t sentLately = 0;    ///< requests, also those that have ended, to a server with a limit
};

/// What one request puts on a server.
struct RequestLoad {
    std::uint32_t unreadTokens = 0;
    std::uint32_t heldTokens = 0;
    bool isShort = false;
};

/// One backend server.
struct ServerState {
    Server record;
    std::uint64_t hash = 0;                  ///< of the id, for rendezvous hashing
    std::optional<TimePoint> returnDeadline; ///< absent from a list that may not be complete yet: is back by then, or gone

    ServerLoad ownLoad;       ///< attempts of this entry
    ServerLoad peerLoad;      ///< as the other entries reported
    ServerLoad reportedLoad;  ///< own work as of the last report
    bool hasPeerLoad = false; ///< stands in ServerTable::serversWithPeerLoad

    TimePoint lastSentAt;
    std::optional<TimePoint> responseDueAt; ///< if nothing is heard by then, the server counts as silent; not set: nothing is due
    TimePoint suspendedUntil;               ///< no work before
    std::uint32_t consecutiveFailures = 0;  ///< of the kind that says the server is unreachable or dead
    double failureRate = 0;                 ///< moving average of own failures, 0 to 1, as of failureRateAt
    TimePoint failureRateAt;
    ErrorEvidence errorEvidence;
    TimePoint ejectedUntil;      ///< no work before, because of its errors; see ejection.h
    TimePoint ownEjectionUntil;  ///< as this entry tells others
    TimePoint peerEjectionUntil; ///< as others told
    double slowness = 1;         ///< moving average of observed to expected time to the first byte

    ServerLimit limit;

    EngineCache cache;
    RecentlySentParts ownSentParts;    ///< by this entry
    RecentlySentParts peerSentParts;   ///< by entries that told this one themselves
    RecentlySentParts domainSentParts; ///< by entries of other failure domains, as their hubs told
};

using ServerPointer = std::shared_ptr<ServerState>;

/// The servers of one service.
struct ServerGroup {
    std::vector<ServerPointer> all;
    /// \c all, dealt by hash into parts of equal size, more or less; one part where they are few.
    ///
    /// Failure: each placement looks at thousands of servers. Symptom: an entry's core is busy with choosing. A session belongs to one
    /// part, so its engines stay the same, and a placement costs the same however many servers there are.
    std::vector<std::vector<ServerPointer>> shards;
};

/// A server that left the list is in none of these; its attempts keep its state until they end.
struct ServerTable {
    std::map<std::string, ServerPointer, std::less<>> byId;
    std::unordered_map<std::string, ServerGroup> byService;
    TimePoint listAsOf;            ///< as of when the list was told
    bool hasLapsedServers = false; ///< servers are kept that are absent from the list; see ServerState::returnDeadline
    struct ReceivedReport {
        PeerReported report;
        TimePoint receivedAt;
    };
    std::map<std::string, ServerPointer> reportableServers;     ///< by this entry: there is something to tell of them
    std::vector<ServerPointer> serversWithPeerLoad;             ///< as they told
    std::string failureDomain;                                  ///< of this entry
    std::uint64_t seed = 0;                                     ///< differs between entries
    std::map<std::string, ReceivedReport> entryReports;         ///< reports of entries, by name
    std::map<std::string, ReceivedReport> domainReports;        ///< sums of the other failure domains, by name
    std::optional<ReceivedReport> fleetReport;                  ///< of all entries, as one of them summed them up
    std::map<std::string, double> ownArrivalRates;              ///< a second, by service, as last told
    bool usesFleetReport = false;                               ///< it holds more entries than told this one themselves
    std::uint64_t reportCount = 0;                              ///< that were taken in; tells apart what was known before and after one
    std::unordered_map<std::string, std::uint64_t> cacheTokens; ///< memory of an engine, by service
    std::uint64_t ownNameHash = 0;                              ///< of this entry's name
    std::vector<std::uint64_t> entryNameHashes;                 ///< of the names of all entries; empty: not known
    std::vector<ServerPointer> changedLimits;                   ///< of which nobody was told yet
    std::uint32_t limitedServers = 0;
};

/// Takes a new list over, or what changed in it. What is known of servers that stay is kept.
/// @{
auto applyServerList(ServerTable &table, const ServersListed &list, TimePoint now) -> void;
auto applyServerChanges(ServerTable &table, const ServersChanged &change, TimePoint now) -> void;
/// @}
/// Drops servers that stayed absent after an outage of the registry.
auto removeLapsedServers(ServerTable &table, TimePoint now) -> void;

/// The part of a service's servers to which this key belongs, and the one that is tried where that one is full.
/// @{
auto shardForKey(const ServerGroup &group, std::uint64_t key) -> std::size_t;
auto fallbackShardForKey(const ServerGroup &group, std::uint64_t key) -> std::size_t;
/// @}

auto findServer(const ServerTable &table, std::string_view id) -> ServerPointer;

/// The entries that are alive; none: not known.
auto setEntryNames(ServerTable &table, const std::vector<std::string> &names) -> void;

/// \name Rates at which servers take requests
/// @{
/// An answer of the server said so. \p sentAt: of its request
auto recordLimitStatement(ServerTable &table, ServerState &server, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> void;
/// Other entries told so, in a report of this scope.
auto applyPeerLimit(ServerTable &table, ServerState &server, const LimitStatement &statement, ReportScope scope) -> void;
/// What to tell of the server in a report of this scope; nothing if nothing was said lately.
auto limitForReport(const ServerState &server, ReportScope scope, TimePoint now) -> std::optional<PeerReported::Limit>;
/// @}

/// There is something to tell of the server.
auto markReportable(ServerTable &table, const ServerState &server) -> void;

/// \name What own attempts show
/// @{
/// \p expected: time to the first byte
auto recordSend(ServerTable &table, ServerState &server, const RequestLoad &load, Duration expected, TimePoint now) -> void;
auto recordActivity(ServerState &server) -> void;
/// The prompt was read: its first byte of answer is here, or the attempt ended.
auto recordPromptRead(ServerState &server, const RequestLoad &load) -> void;
/// \return observed to expected, within bounds
auto recordFirstByteTime(ServerState &server, Duration observed, Duration expected) -> double;
auto recordSuccess(ServerState &server, TimePoint now) -> void;
auto recordFailure(ServerState &server, Failure failure, TimePoint now) -> void;
auto recordAttemptEnd(ServerState &server, const RequestLoad &load) -> void;
/// @}

/// Of all entries, as far as known here.
auto totalLoad(const ServerState &server) -> ServerLoad;

/// Moving average of own failures; it fades with time, so that a server which failed is tried again.
auto currentFailureRate(const ServerState &server, TimePoint now) -> double;

/// Whether new work may go there.
auto isUsable(const ServerState &server, TimePoint now) -> bool;
/// Whether several sends have got no sign of life for too long.
auto isUnresponsive(const ServerState &server, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
