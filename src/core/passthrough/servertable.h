/// \file
/// This entry's view of the backend servers: the registered list, the attempts that this entry has in flight, the load that
/// other entries report, and the health of each server as its response times and failures show it.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/passthrough/brittleness.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/enginecache.h"
#include "core/passthrough/enginespeed.h"
#include "core/passthrough/errorevidence.h"
#include "core/passthrough/events.h"
#include "core/passthrough/serverlimit.h"
#include "core/passthrough/servernotice.h"

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

/// The load that one or several entries put on a backend server.
struct ServerLoad {
    std::uint32_t inFlight = 0;      ///< requests in flight
    std::uint32_t unreadTokens = 0;  ///< prompt tokens of requests that have not produced a first byte
    std::uint32_t heldTokens = 0;    ///< tokens of engine memory reserved for prompts and answers
    std::uint32_t waitingTokens = 0; ///< prompt tokens of requests queued at the entries for this server
    std::uint32_t shortPrompts = 0;  ///< requests in flight that have a short prompt
    std::uint32_t sentLately = 0;    ///< requests sent within the rate limit window, completed ones included; 0 without a rate limit
};

/// The load that one request adds to a server.
struct RequestLoad {
    std::uint32_t unreadTokens = 0; ///< prompt tokens that the server has to process
    std::uint32_t heldTokens = 0;   ///< tokens of engine memory, for the prompt and the answer
    bool isShort = false;           ///< whether the prompt is short
};

/// What this entry knows of one backend server.
struct ServerState {
    Server record;
    std::uint64_t hash = 0; ///< hash of the id, for rendezvous hashing
    /// Set while the server is missing from a list that may be incomplete after a registry outage: the server is removed if
    /// it is not listed again by this time.
    std::optional<TimePoint> returnDeadline;

    ServerLoad ownLoad;       ///< attempts of this entry
    ServerLoad peerLoad;      ///< load reported by the other entries
    ServerLoad reportedLoad;  ///< \c ownLoad as of this entry's last report
    bool hasPeerLoad = false; ///< whether ServerTable::serversWithPeerLoad contains this server

    TimePoint lastSentAt;                   ///< time of this entry's last send
    std::optional<TimePoint> responseDueAt; ///< the server counts as unresponsive if it sends nothing by then; not set: no response is due
    TimePoint suspendedUntil;               ///< no new requests before, after failed connections
    TimePoint silentUntil;                  ///< no new requests before, unless the server sends something: an attempt on it is silent
    TimePoint lastHeardAt;                  ///< when the server last sent something to this entry
    TimePoint busySince;                    ///< since when it has had requests of this entry in flight
    std::uint32_t consecutiveFailures = 0;  ///< failures in a row that suggest an unreachable or crashed server
    double failureRate = 0;                 ///< moving average of this entry's failures, 0 to 1, as of \c failureRateAt
    TimePoint failureRateAt;
    ServerEvidence errorEvidence;
    TimePoint ejectedUntil;      ///< no new requests before, because the server answers with errors; see ejection.h
    TimePoint ownEjectionUntil;  ///< end of the ejection that this entry reports to its peers
    TimePoint peerEjectionUntil; ///< end of the latest ejection that peers reported
    double slowness = 1;         ///< moving average of the ratio of observed to expected time to the first byte

    SpeedSamples ownSpeed;    ///< from this entry's attempts
    double relativeDelay = 1; ///< from the samples of all entries, see enginespeed.h

    ServerLimit limit;
    Brittleness brittleness;
    StatedAvailability stated; ///< what the server has stated in its answers to this entry

    EngineCache cache;
    RecentlySentParts ownSentParts;    ///< prompt parts sent by this entry
    RecentlySentParts peerSentParts;   ///< prompt parts sent by entries that report to this one directly
    RecentlySentParts domainSentParts; ///< prompt parts sent by entries of other failure domains, as reported by their hubs
};

using ServerPointer = std::shared_ptr<ServerState>;

/// The servers of one service.
struct ServerGroup {
    std::vector<ServerPointer> all;
    std::vector<SoftwareVersion> versions; ///< of these servers, each once
    /// \c all, split by hash into shards of roughly equal size; a small group has a single shard.
    ///
    /// Failure: each placement compares thousands of servers. Symptom: choosing servers takes up the entry's whole core. With shards
    /// the cost of a placement is bounded, and a session always maps to the same shard and thus to the same engines.
    std::vector<std::vector<ServerPointer>> shards;
};

/// A server that left the list.
struct RemovedServer {
    ServerPointer server;
    TimePoint removedAt;
};

/// All known servers. A server that left the list is removed from all indexes; attempts in flight on it keep its state alive
/// until they end.
struct ServerTable {
    std::map<std::string, ServerPointer, std::less<>> byId;
    std::unordered_map<std::string, ServerGroup> byService;
    /// Servers that left the list recently, by id. A registration that lapses or is unreadable for a moment comes back, and the server
    /// then keeps its state; otherwise a server that has stated that it is leaving would get requests again.
    std::map<std::string, RemovedServer, std::less<>> removed;
    TimePoint listAsOf;            ///< time as of which the server list is current
    bool hasLapsedServers = false; ///< whether any server is missing from the list but kept; see ServerState::returnDeadline
    /// The latest report of an entry, a failure domain or the fleet.
    struct ReceivedReport {
        PeerReported report;
        TimePoint receivedAt;
    };
    std::map<std::string, ServerPointer> reportableServers; ///< servers that the next report of this entry has to consider, by id
    std::vector<ServerPointer> serversWithPeerLoad;         ///< servers named in the reports of other entries
    std::string failureDomain;                              ///< failure domain of this entry
    std::uint64_t seed = 0;                                 ///< seed for hash-based draws, different at each entry
    std::map<std::string, ReceivedReport> entryReports;     ///< latest report of each entry, by name
    std::map<std::string, ReceivedReport> domainReports;    ///< latest aggregate of each other failure domain, by name
    std::optional<ReceivedReport> fleetReport;              ///< aggregate over all entries, computed by one of them
    /// The latest samples of the engines' speed that were reported in one scope.
    struct ReceivedSpeeds {
        std::string failureDomain; ///< of the sender
        std::map<std::string, SpeedSamples> byServer;
        TimePoint receivedAt;
    };
    std::map<std::string, ReceivedSpeeds> entrySpeeds;          ///< by entry
    std::map<std::string, ReceivedSpeeds> domainSpeeds;         ///< sums of other failure domains, by name
    std::optional<ReceivedSpeeds> fleetSpeeds;                  ///< sum over all entries
    TimePoint delaysUpdatedAt;                                  ///< when ServerState::relativeDelay was last computed
    std::map<std::string, double> ownArrivalRates;              ///< this entry's requests per second, by service, as last reported
    bool usesFleetReport = false;                               ///< whether \c fleetReport covers more entries than the other reports together
    std::uint64_t reportCount = 0;                              ///< reports applied so far; shows whether anything changed since a decision
    std::unordered_map<std::string, std::uint64_t> cacheTokens; ///< memory of an engine in tokens, by service
    std::uint64_t ownNameHash = 0;                              ///< hash of this entry's name
    std::vector<std::uint64_t> entryNameHashes;                 ///< hashes of the names of all live entries; empty: not known
    std::vector<ServerPointer> changedLimits;                   ///< servers whose rate limit change has not been announced yet
    std::uint32_t limitedServers = 0;                           ///< number of servers with a rate limit
};

/// Applies a complete server list, or the changes since the last one. Servers that remain keep their state.
/// @{
auto applyServerList(ServerTable &table, const ServersListed &list, TimePoint now) -> void;
auto applyServerChanges(ServerTable &table, const ServersChanged &change, TimePoint now) -> void;
/// @}
/// Removes servers that have not returned to the list in time after a registry outage, and forgets those that left it long ago.
auto removeLapsedServers(ServerTable &table, TimePoint now) -> void;

/// Index of the shard to which \p key maps, and of the one to try when that shard has no capacity.
/// @{
auto shardForKey(const ServerGroup &group, std::uint64_t key) -> std::size_t;
auto fallbackShardForKey(const ServerGroup &group, std::uint64_t key) -> std::size_t;
/// @}

/// \return the server, or null if there is none with this id
auto findServer(const ServerTable &table, std::string_view id) -> ServerPointer;

/// Sets the names of the live entries. An empty list means that they are not known.
auto setEntryNames(ServerTable &table, const std::vector<std::string> &names) -> void;

/// \name Rate limits of servers
/// @{
/// Applies the rate limit, or its absence, stated in an answer of the server. \p sentAt: when the request was sent
auto recordLimitStatement(ServerTable &table, ServerState &server, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> void;
/// Applies what an answer of the server stated about the rejections that it bears, also to the other servers of its service.
auto recordBrittleness(ServerTable &table, ServerState &server, std::optional<double> rejectionsPerSecond, TimePoint sentAt, TimePoint now) -> void;
/// Applies a rate limit reported by other entries in a report of this scope.
auto applyPeerLimit(ServerTable &table, ServerState &server, const LimitStatement &statement, ReportScope scope) -> void;
/// \return the server's rate limit, or the recent end of one, to include in a report of this scope; nothing if there is no such news
auto limitForReport(const ServerState &server, ReportScope scope, TimePoint now) -> std::optional<PeerReported::Limit>;
/// @}

/// Has the next report of this entry consider the server.
auto markReportable(ServerTable &table, const ServerState &server) -> void;

/// \name Outcomes of this entry's attempts
/// @{
/// \p expected: expected time to the first byte
auto recordSend(ServerTable &table, ServerState &server, const RequestLoad &load, Duration expected, TimePoint now) -> void;
/// The server sent something, so it is responsive.
auto recordActivity(ServerState &server, TimePoint now) -> void;
/// The server has sent nothing on an attempt since \p silentSince, which is longer than expected. It counts as silent unless it has sent
/// something else lately.
auto recordSilence(ServerState &server, TimePoint silentSince, TimePoint now) -> void;
/// The prompt no longer counts as unread: the first byte of the answer arrived, or the attempt ended.
auto recordPromptRead(ServerState &server, const RequestLoad &load) -> void;
/// \return ratio of the observed to the expected time to the first byte, clamped
auto recordFirstByteTime(ServerState &server, Duration observed, Duration expected) -> double;
auto recordSuccess(ServerState &server, TimePoint now) -> void;
auto recordFailure(ServerState &server, Failure failure, TimePoint now) -> void;
auto recordAttemptEnd(ServerState &server, const RequestLoad &load) -> void;
/// @}

/// Load of all entries: this entry's own and the load reported by its peers.
auto totalLoad(const ServerState &server) -> ServerLoad;

/// Moving average of this entry's failures. It decays with time, so that a server that failed is tried again.
auto currentFailureRate(const ServerState &server, TimePoint now) -> double;

/// Whether the server takes new requests, by the list and by what it has stated.
auto takesRequests(const ServerState &server, TimePoint now) -> bool;
/// Whether new requests may be sent to the server.
auto isUsable(const ServerState &server, TimePoint now) -> bool;
/// \return when the first backoff of the service's servers ends, if all of those that are not leaving have requested one
auto firstBackoffEnd(const ServerTable &table, const std::string &service, TimePoint now) -> std::optional<TimePoint>;
/// Whether the server has sent something since \p at, or had nothing to send to this entry then.
auto isHeardSince(const ServerState &server, TimePoint at) -> bool;
/// Whether a response is overdue and it is not yet time to probe the server with another request.
auto isUnresponsive(const ServerState &server, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
