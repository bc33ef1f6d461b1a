/// \file
/// Which entry does what only one may do: `(state, event, now) -> actions`. Pure.
///
/// The leader holds a key of the platform's store under a lease. The store's revision of that write is the leader's fencing token: each
/// write has another one, and they only grow, so no two terms share one. \p now must come from a clock that counts the time in which the
/// VM was suspended.
///
/// Failure: a leader is suspended, its lease ends, another entry leads, and the first one wakes and goes on. Symptom: two entries give
/// orders by turns. A leader acts only while its lease surely runs, counted from before it was asked for, and after a term it rests
/// for longer than anybody needs to notice the next one.

#pragma once

#include "core/base/pendingcall.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::leadership
{

struct Options {
    std::string entry;
    std::uint64_t incarnation = 0; ///< differs between the starts of one entry
    /// Of the lease: how long nobody leads after a leader was lost.
    Duration lifetime = std::chrono::seconds(3);
    /// After a term until this entry may lead again.
    Duration rest = std::chrono::seconds(6);
};

/// What the key holds.
struct Claim {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t attempt = 0; ///< of that incarnation to lead

    auto operator==(const Claim &) const -> bool = default;
};

/// \name Events
/// @{

/// Whether this entry may lead at all: it reads the store, serves, and is not leaving.
struct EligibilityChanged {
    bool isEligible = false;
};
/// The key was read; an answer to ReadClaim or WatchClaim.
struct ClaimRead {
    std::uint64_t call = 0;
    std::optional<Claim> claim;      ///< not set: nobody leads
    std::uint64_t claimRevision = 0; ///< of the write
    std::uint64_t storeRevision = 0; ///< where a watch goes on
};
struct LeaseTaken {
    std::uint64_t call = 0;
    std::uint64_t lease = 0;
    Duration lifetime{};
};
struct ClaimWritten {
    std::uint64_t call = 0;
    std::uint64_t revision = 0;
};
struct LeaseRenewed {
    std::uint64_t call = 0;
};
/// How a call ended that did not succeed.
enum class CallFailure {
    Refused, ///< nothing was done
    Lost,    ///< the lease, or the history of a watch, is gone, or the condition of a write did not hold
    Unknown, ///< it may have been executed, or may be later
};
struct CallFailed {
    std::uint64_t call = 0;
    CallFailure failure = CallFailure::Unknown;
};
/// Somebody has acted with a greater token.
struct TokenRefused {
    std::uint64_t token = 0;
};
struct Tick {
};
using Event = std::variant<EligibilityChanged, ClaimRead, LeaseTaken, ClaimWritten, LeaseRenewed, CallFailed, TokenRefused, Tick>;
/// @}

/// \name Actions. Each call is answered by an event with its number, or by CallFailed.
/// @{
struct ReadClaim {
    std::uint64_t call = 0;
};
/// Answered when the key changes after \p revision, or after some seconds without a change.
struct WatchClaim {
    std::uint64_t call = 0;
    std::uint64_t revision = 0;
};
struct TakeLease {
    std::uint64_t call = 0;
    Duration lifetime{};
};
/// Writes the key if it does not exist.
struct WriteClaim {
    std::uint64_t call = 0;
    Claim claim;
    std::uint64_t lease = 0;
};
struct RenewLease {
    std::uint64_t call = 0;
    std::uint64_t lease = 0;
};
/// Its answer is not waited for.
struct EndLease {
    std::uint64_t lease = 0;
};
struct TermBegun {
    std::uint64_t token = 0;
};
enum class TermEnd {
    Leaving,      ///< the entry may not lead any more
    LeaseEnded,   ///< it could not be renewed in time
    TokenRefused, ///< another entry has led since
};
auto termEndName(TermEnd reason) -> std::string_view;
struct TermEnded {
    std::uint64_t token = 0;
    TermEnd reason = TermEnd::LeaseEnded;
};
using Action = std::variant<ReadClaim, WatchClaim, TakeLease, WriteClaim, RenewLease, EndLease, TermBegun, TermEnded>;
using Actions = std::vector<Action>;
/// @}

enum class Phase {
    Idle,    ///< not eligible, or resting
    Reading, ///< who leads
    Watching,
    TakingLease,
    Writing,
    Leading,
};

struct State {
    Options options;
    bool isEligible = false;
    Phase phase = Phase::Idle;
    TimePoint idleUntil; ///< while Idle

    PendingCall pending;
    TimePoint askedAt; ///< of the call under way
    std::uint64_t attempts = 0;
    std::uint64_t watchedFrom = 0; ///< revision of the store

    std::uint64_t lease = 0; ///< 0: none
    Duration leaseLifetime{};
    TimePoint leaseUntil; ///< surely runs until then
    TimePoint renewAt;
    std::uint64_t token = 0; ///< while leading
};

auto makeState(Options options) -> State;

auto step(State &state, const Event &event, TimePoint now) -> Actions;

/// The token by which this entry may act at this moment; nothing: it does not lead.
auto currentToken(const State &state, TimePoint now) -> std::optional<std::uint64_t>;

} // namespace auburnspread::leadership
