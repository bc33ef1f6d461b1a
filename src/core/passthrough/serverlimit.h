/// \file
/// The rate limit that an overloaded backend server states, and how all entries together keep to it.
///
/// A server states its limit in its answers, so an entry learns it from its own answers or from the reports of other entries. Entries
/// report how many requests they sent to the server within the last seconds, and an entry sends a request only if the sum leaves room.
/// These reports are delayed, and until they arrive every entry that sees room uses it. Failure: hundreds of entries see room for one
/// request and send one each. Therefore only some entries, chosen by rendezvous hashing, may send to a limited server, more of them for
/// a higher limit, and each sends within a second at most its share of the limit, but at least one request. Regardless of how late the
/// reports are, all entries together send at most one and a half times the limit plus a few requests.

#pragma once

#include "core/base/recentcount.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::passthrough
{

/// The rate limit stated in an answer of a server.
struct LimitStatement {
    std::optional<double> perSecond; ///< requests per second from all entries together; not set: no limit
    TimePoint at;                    ///< when the answer arrived
};

/// The rate limit of one server as this entry knows it.
struct ServerLimit {
    /// The newest statement from each source. A report of this entry includes its own statements and, if the report is an aggregate,
    /// those of the entries that it covers. If every entry passed on all statements, a statement would come back with a later time
    /// and never expire.
    /// @{
    LimitStatement own;         ///< from answers to this entry
    LimitStatement fromEntries; ///< from reports of single entries
    LimitStatement fromDomains; ///< from aggregates of other failure domains
    LimitStatement fromFleet;   ///< from aggregates of all entries
    /// @}
    std::uint32_t senderRank = 0; ///< rank of this entry among those that may send to the server, starting at 0
    RecentCount ownSends;         ///< requests that this entry sent while the server had a limit
};

/// \return the newest statement from any source
auto newestStatement(const ServerLimit &limit) -> const LimitStatement &;
auto isLimited(const ServerLimit &limit) -> bool;

/// Applies the statement of an answer to this entry. \p sentAt: when the request was sent. An answer without a limit ends a limit only
/// if its request was sent after the limit was stated; otherwise, answers that arrive out of order would suspend the limit briefly.
/// \return whether the effective limit changed
auto updateOwnStatement(ServerLimit &limit, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool;

/// Requests that this entry sent within the rate limit window; 0 if the server has no limit.
auto sendsWithinWindow(const ServerLimit &limit, TimePoint now) -> std::uint32_t;

/// How the entries use a server's limit, and what kind of request is to be sent.
struct LimitUsage {
    std::uint32_t entries = 1;  ///< number of live entries, including this one; 0: not known
    bool peersKnown = false;    ///< whether most of the other entries have reported their sends
    std::uint32_t sent = 0;     ///< requests sent within the rate limit window by all known entries, including this one
    bool leavesReserve = false; ///< whether the request has to leave room for more urgent ones
};

/// Number of entries that may send to a server with this limit.
auto allowedSenders(double perSecond, std::uint32_t entries) -> std::uint32_t;

/// Whether this entry may send one more request to the server now. Always true without a limit.
auto maySend(const ServerLimit &limit, const LimitUsage &usage, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
