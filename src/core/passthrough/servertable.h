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
struct Work {
    std::uint32_t inFlight = 0;      ///< requests
    std::uint32_t unreadTokens = 0;  ///< of prompts whose answer has not begun
    std::uint32_t heldTokens = 0;    ///< of memory, prompts and answers
    std::uint32_t waitingTokens = 0; ///< of prompts that wait at the entries for this server
    std::uint32_t shortPrompts = 0;  ///< of the requests, those with a short prompt
    std::uint32_t sentLately = 0;    ///< requests, also those that have ended, to a server with a limit
};

/// What one request puts on a server.
struct Load {
    std::uint32_t unreadTokens = 0;
    std::uint32_t heldTokens = 0;
    bool isShort = false;
};

/// One backend server.
struct ServerState {
    Server record;
    std::uint64_t hash = 0;            ///< of the id, for rendezvous hashing
    std::optional<TimePoint> returnBy; ///< absent from a list that may not be complete yet: is back by then, or gone

    Work own;                    ///< attempts of this entry
    Work others;                 ///< as the other entries reported
    Work reported;               ///< own work as of the last report
    bool isUsedByOthers = false; ///< stands in ServerTable::usedByOthers

    TimePoint sentAt;
    std::optional<TimePoint> silentFrom; ///< if nothing is heard by then, the server counts as silent; not set: nothing is due
    TimePoint suspendedUntil;            ///< no work before
    std::uint32_t failuresInRow = 0;     ///< of the kind that says the server is unreachable or dead
    double failureRate = 0;              ///< moving average of own failures, 0 to 1, as of failureRateAt
    TimePoint failureRateAt;
    ErrorEvidence errors;
    TimePoint ejectedUntil;      ///< no work before, because of its errors; see ejection.h
    TimePoint ownEjectionUntil;  ///< as this entry tells others
    TimePoint toldEjectionUntil; ///< as others told
    double slowness = 1;         ///< moving average of observed to expected time to the first byte

    ServerLimit limit;

    EngineCache cache;
    RecentParts sentHere;      ///< by this entry
    RecentParts sentByPeers;   ///< by entries that told this one themselves
    RecentParts sentByDomains; ///< by entries of other failure domains, as their hubs told
};

using ServerPointer = std::shared_ptr<ServerState>;

/// The servers of one service.
struct ServerGroup {
    std::vector<ServerPointer> all;
    /// \c all, dealt by hash into parts of equal size, more or less; one part where they are few.
    ///
    /// Failure: each placement looks at thousands of servers. Symptom: an entry's core is busy with choosing. A session belongs to one
    /// part, so its engines stay the same, and a placement costs the same however many servers there are.
    std::vector<std::vector<ServerPointer>> parts;
};

/// A server that left the list is in none of these; its attempts keep its state until they end.
struct ServerTable {
    std::map<std::string, ServerPointer, std::less<>> byId;
    std::unordered_map<std::string, ServerGroup> byService;
    TimePoint listedAt;         ///< as of when the list was told
    bool awaitsReturns = false; ///< servers are kept that are absent from the list; see ServerState::returnBy
    struct PeerUse {
        PeerReported report;
        TimePoint at;
    };
    std::map<std::string, ServerPointer> used;                  ///< by this entry: there is something to tell of them
    std::vector<ServerPointer> usedByOthers;                    ///< as they told
    std::string failureDomain;                                  ///< of this entry
    std::uint64_t seed = 0;                                     ///< differs between entries
    std::map<std::string, PeerUse> peers;                       ///< reports of entries, by name
    std::map<std::string, PeerUse> domains;                     ///< sums of the other failure domains, by name
    std::optional<PeerUse> totals;                              ///< of all entries, as one of them summed them up
    std::map<std::string, double> ownArrivals;                  ///< a second, by service, as last told
    bool believesTotals = false;                                ///< it holds more entries than told this one themselves
    std::uint64_t reports = 0;                                  ///< that were taken in; tells apart what was known before and after one
    std::unordered_map<std::string, std::uint64_t> cacheTokens; ///< memory of an engine, by service
    std::uint64_t ownHash = 0;                                  ///< of this entry's name
    std::vector<std::uint64_t> entryHashes;                     ///< of the names of all entries; empty: not known
    std::vector<ServerPointer> changedLimits;                   ///< of which nobody was told yet
    std::uint32_t limitedServers = 0;
};

/// Takes a new list over, or what changed in it. What is known of servers that stay is kept.
/// @{
auto adoptServers(ServerTable &table, const ServersListed &list, TimePoint now) -> void;
auto adoptChanges(ServerTable &table, const ServersChanged &change, TimePoint now) -> void;
/// @}
/// Drops servers that stayed absent after an outage of the registry.
auto dropMissing(ServerTable &table, TimePoint now) -> void;

/// The part of a service's servers to which this key belongs, and the one that is tried where that one is full.
/// @{
auto partOf(const ServerGroup &group, std::uint64_t key) -> std::size_t;
auto secondPartOf(const ServerGroup &group, std::uint64_t key) -> std::size_t;
/// @}

auto findServer(const ServerTable &table, std::string_view id) -> ServerPointer;

/// The entries that are alive; none: not known.
auto noteEntries(ServerTable &table, const std::vector<std::string> &names) -> void;

/// \name Rates at which servers take requests
/// @{
/// An answer of the server said so. \p sentAt: of its request
auto noteLimitStated(ServerTable &table, ServerState &server, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> void;
/// Other entries told so, in a report of this scope.
auto hearLimit(ServerTable &table, ServerState &server, const LimitStatement &statement, ReportScope scope) -> void;
/// What to tell of the server in a report of this scope; nothing if nothing was said lately.
auto limitToTell(const ServerState &server, ReportScope scope, TimePoint now) -> std::optional<PeerReported::Limit>;
/// @}

/// There is something to tell of the server.
auto noteUsed(ServerTable &table, const ServerState &server) -> void;

/// \name What own attempts show
/// @{
/// \p expected: time to the first byte
auto noteSent(ServerTable &table, ServerState &server, const Load &load, Duration expected, TimePoint now) -> void;
auto noteHeard(ServerState &server) -> void;
/// The prompt was read: its first byte of answer is here, or the attempt ended.
auto noteRead(ServerState &server, const Load &load) -> void;
/// \return observed to expected, within bounds
auto noteStartTime(ServerState &server, Duration observed, Duration expected) -> double;
auto noteSucceeded(ServerState &server, TimePoint now) -> void;
auto noteFailed(ServerState &server, Failure failure, TimePoint now) -> void;
auto noteEnded(ServerState &server, const Load &load) -> void;
/// @}

/// Of all entries, as far as known here.
auto totalWork(const ServerState &server) -> Work;

/// Moving average of own failures; it fades with time, so that a server which failed is tried again.
auto failureRateOf(const ServerState &server, TimePoint now) -> double;

/// Whether new work may go there.
auto isUsable(const ServerState &server, TimePoint now) -> bool;
/// Whether several sends have got no sign of life for too long.
auto isSilent(const ServerState &server, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
