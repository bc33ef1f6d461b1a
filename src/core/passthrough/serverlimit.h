/// \file
/// The rate at which a backend server in need takes requests, and how all entries together keep to it.
///
/// The server states the rate in its answers, so an entry may learn it from its own answers or from other entries. Entries tell each
/// other how many requests they sent there within the last seconds, and a request is sent only if the sum leaves room. What is told is
/// late: until then each entry that sees the room takes it. Failure: hundreds of entries see room for one request and send one each.
/// So only some entries, chosen by hash, send to such a server, more of them where the rate is greater, and each sends within a second
/// no more than its part of the rate, one request at least. However late the reports, all together send at most one and a half times
/// the rate and a few requests more.

#pragma once

#include "core/base/recentcount.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::passthrough
{

/// What an answer of the server said.
struct LimitStatement {
    std::optional<double> perSecond; ///< requests that it takes from all entries together; not set: any
    TimePoint at;                    ///< arrival of the answer
};

struct ServerLimit {
    /// By the way in which it was heard. An entry passes on what it heard from its own answers and, where it sums up, from those that
    /// it sums up: passed on by everyone, a statement would return with a later time and never be outdated.
    /// @{
    LimitStatement own;         ///< from answers to this entry
    LimitStatement fromEntries; ///< from entries, by their reports
    LimitStatement fromDomains; ///< from sums of other failure domains
    LimitStatement fromFleet;   ///< from sums of all entries
    /// @}
    std::uint32_t senderRank = 0; ///< of this entry among those that may send there, 0 first
    RecentCount ownSends;         ///< by this entry, while there was a limit
};

/// The newest statement.
auto newestStatement(const ServerLimit &limit) -> const LimitStatement &;
auto isLimited(const ServerLimit &limit) -> bool;

/// Takes an own answer in. \p sentAt: of the request. An answer without a limit ends one only if its request was sent after the limit
/// was stated: answers that overtake each other would end it for a moment.
/// \return whether the limit is another one now
auto updateOwnStatement(ServerLimit &limit, std::optional<double> perSecond, TimePoint sentAt, TimePoint now) -> bool;

/// Requests that this entry sent within the window that counts; 0 without a limit.
auto sendsWithinWindow(const ServerLimit &limit, TimePoint now) -> std::uint32_t;

/// What an entry knows of the others that keep to the limit.
struct LimitUsage {
    std::uint32_t entries = 1;  ///< alive, this one included; 0: not known
    bool peersKnown = false;    ///< most of them told what they sent
    std::uint32_t sent = 0;     ///< by all, this one included, within the window that counts
    bool leavesReserve = false; ///< the request leaves room for more urgent ones
};

/// Entries that may send to a server with this limit.
auto allowedSenders(double perSecond, std::uint32_t entries) -> std::uint32_t;

/// Whether this entry may send one more request there now. Always, without a limit.
auto maySend(const ServerLimit &limit, const LimitUsage &share, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
