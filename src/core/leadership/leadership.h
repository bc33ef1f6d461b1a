/// \file
/// Election of the leader, the one entry that performs the duties of the deployment: `(state, event, now) -> actions`. Has no side effects.
///
/// The leader holds a key of the platform's store, its claim, under a lease. The leader's fencing token is made of the era and the revision
/// of that write: together they are unique and increase, so no two terms share a token. \p now must come from a clock that includes the time in which
/// the VM is suspended.
///
/// A leader that is suspended until its lease has expired and another entry leads could continue when it resumes, so that two leaders act
/// alternately. A leader therefore acts only while its lease is certain to be valid, counted from the start of the call that requested or
/// renewed it. After a term, an entry waits for a cooldown that is longer than the others need to notice the next leader.

#pragma once

#include "core/base/pendingcall.h"
#include "core/base/storerevision.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::leadership
{

/// Identity of this entry and the times of the election.
struct Options {
    std::string entry;
    std::uint64_t incarnation = 0; ///< changes with each start of the entry
    /// Lifetime of the lease, and thus the longest time without a leader after the loss of one.
    Duration lifetime = std::chrono::seconds(3);
    /// Time after a term until this entry may lead again.
    Duration cooldown = std::chrono::seconds(6);
};

/// The value of the leader's key.
struct Claim {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t attempt = 0; ///< number of the incarnation's attempt to lead

    auto operator==(const Claim &) const -> bool = default;
};

/// \name Events
/// @{

/// States whether this entry may lead: it reads the store, serves requests, and is not leaving.
struct EligibilityChanged {
    bool isEligible = false;
};
/// The key was read; answers ReadClaim or WatchClaim.
struct ClaimRead {
    std::uint64_t call = 0;
    std::optional<Claim> claim;  ///< not set if there is no leader
    StoreRevision claimRevision; ///< of the write of the claim
    StoreRevision storeRevision; ///< from which a watch continues
};
struct LeaseAcquired {
    std::uint64_t call = 0;
    std::uint64_t lease = 0;
    Duration lifetime{};
};
struct ClaimWritten {
    std::uint64_t call = 0;
    StoreRevision revision;
};
struct LeaseRenewed {
    std::uint64_t call = 0;
};
/// How a call failed.
enum class CallFailure {
    Refused, ///< the call was not executed
    Lost,    ///< the lease or the history of a watch no longer exists, or the condition of a write was not met
    Unknown, ///< the call may have been executed, or may still be
};
struct CallFailed {
    std::uint64_t call = 0;
    CallFailure failure = CallFailure::Unknown;
};
/// The platform refused \p token, since another entry has acted with a higher one.
struct TokenRefused {
    std::uint64_t token = 0;
};
/// The store states this era. If it has risen, claims and leases may be lost.
struct EraObserved {
    std::uint64_t era = 0;
};
struct Tick {
};
using Event = std::variant<EligibilityChanged, ClaimRead, LeaseAcquired, ClaimWritten, LeaseRenewed, CallFailed, TokenRefused, EraObserved, Tick>;
/// @}

/// \name Actions. Each call is answered by an event with its number, or by CallFailed.
/// @{
struct ReadClaim {
    std::uint64_t call = 0;
};
/// Watches the key. Answered when the key changes after \p revision, or after some seconds without a change.
struct WatchClaim {
    std::uint64_t call = 0;
    StoreRevision revision;
};
struct AcquireLease {
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
/// Ends the lease early. The answer is ignored.
struct EndLease {
    std::uint64_t lease = 0;
};
struct TermBegun {
    std::uint64_t token = 0;
};
enum class TermEnd {
    Leaving,       ///< the entry is no longer eligible
    LeaseEnded,    ///< the lease could not be renewed in time
    TokenRefused,  ///< another entry has led since the term began
    StoreRestored, ///< the store came back from a copy, in which the claim may be missing
};
auto termEndName(TermEnd reason) -> std::string_view;
struct TermEnded {
    std::uint64_t token = 0;
    TermEnd reason = TermEnd::LeaseEnded;
};
using Action = std::variant<ReadClaim, WatchClaim, AcquireLease, WriteClaim, RenewLease, EndLease, TermBegun, TermEnded>;
using Actions = std::vector<Action>;
/// @}

enum class Phase {
    Idle,    ///< not eligible, in the cooldown, or waiting for a retry
    Reading, ///< reading the claim of the current leader
    Watching,
    AcquiringLease,
    Writing,
    Leading,
};

/// State of the election in this entry.
struct State {
    Options options;
    bool isEligible = false;
    Phase phase = Phase::Idle;
    TimePoint idleUntil; ///< end of the cooldown or retry delay in Phase::Idle

    PendingCall pending;
    TimePoint callStartedAt; ///< start of the call in flight
    std::uint64_t attempts = 0;
    StoreRevision watchRevision; ///< from which the next watch continues
    std::uint64_t era = 0;       ///< newest era that the store has stated; 0: none yet
    TimePoint claimNotBefore;    ///< until then, a leader from before the last restore of the store may still act

    std::uint64_t lease = 0; ///< id of the lease; 0 if the entry holds none
    Duration leaseLifetime{};
    TimePoint leaseExpiresAt; ///< the lease is certain to be valid until then
    TimePoint renewAt;
    std::uint64_t token = 0; ///< fencing token in Phase::Leading
};

auto makeState(Options options) -> State;

/// The fencing token of a claim written at this revision, and the number and era of that revision.
/// @{
auto fencingTokenOf(StoreRevision claimRevision) -> std::uint64_t;
auto claimNumberOf(std::uint64_t token) -> std::uint64_t;
auto eraOf(std::uint64_t token) -> std::uint64_t;
/// @}

/// Applies \p event to \p state.
/// \return the actions to perform
auto step(State &state, const Event &event, TimePoint now) -> Actions;

/// \return the fencing token with which this entry may act at \p now; nothing if it does not lead
auto currentToken(const State &state, TimePoint now) -> std::optional<std::uint64_t>;

} // namespace auburnspread::leadership
