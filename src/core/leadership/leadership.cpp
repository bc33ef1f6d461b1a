#include "core/leadership/leadership.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnspread::leadership
{

namespace
{

/// A leader stops acting this share of the lease's lifetime before its end, so that messages in transit arrive before the lease ends.
constexpr double LeaseSafetyShare = 0.2;
/// Renewals within the lifetime of a lease, so that one lost call does not end a term.
constexpr int RenewalsPerLease = 3;
/// Retries of a failed renewal within the lifetime of a lease.
constexpr int RetriesPerLease = 8;
/// Delay after a failed call, before the claim is read again.
constexpr Duration RetryDelay = std::chrono::milliseconds(500);
/// A call without an answer for this long is cancelled.
constexpr Duration CallTimeout = std::chrono::seconds(15);

/// Bits of a fencing token that hold the store's revision; the era is above them.
constexpr int RevisionBits = 40;

constexpr auto TermEnds = std::to_array<NamedValue<TermEnd>>({
    { TermEnd::Leaving, "leaving" },
    { TermEnd::LeaseEnded, "lease-ended" },
    { TermEnd::TokenRefused, "token-refused" },
    { TermEnd::StoreRestored, "store-restored" },
});

/// Applies one event to the state of the election.
class Stepper
{
public:
    Stepper(State &state, TimePoint now, Actions &actions)
        : state_(state)
        , now_(now)
        , actions_(actions)
    {
    }

    auto operator()(const EligibilityChanged &event) -> void
    {
        if (std::exchange(state_.isEligible, event.isEligible) == event.isEligible) {
            return;
        }
        if (event.isEligible) {
            readIfDue();
            return;
        }
        stop(TermEnd::Leaving);
    }

    auto operator()(const ClaimRead &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        state_.watchRevision = std::max(state_.watchRevision, event.storeRevision);
        if (!event.claim) {
            // a write whose answer was lost may still be executed under this lease, so the same claim is written again
            state_.lease != 0 && now_ < leaseSafeUntil() ? writeClaim() : acquireLease();
        } else if (state_.lease != 0 && *event.claim == ownClaim()) {
            beginTerm(event.claimRevision);
        } else {
            releaseLease();
            watchClaim();
        }
    }

    auto operator()(const LeaseAcquired &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        state_.lease = event.lease;
        state_.leaseLifetime = event.lifetime;
        state_.leaseExpiresAt = state_.callStartedAt + event.lifetime;
        state_.attempts += 1;
        writeClaim();
    }

    auto operator()(const ClaimWritten &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        event.revision.era < state_.era ? readClaim() : beginTerm(event.revision);
    }

    auto operator()(const LeaseRenewed &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        state_.leaseExpiresAt = state_.callStartedAt + state_.leaseLifetime;
        state_.renewAt = now_ + state_.leaseLifetime / RenewalsPerLease;
    }

    auto operator()(const CallFailed &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        switch (state_.phase) {
        case Phase::Leading:
            event.failure == CallFailure::Lost ? stop(TermEnd::LeaseEnded) : scheduleRenewalRetry();
            break;
        case Phase::Writing:
            readClaim(); // the write may have been executed, or another entry wrote its claim first
            break;
        default:
            enterIdle(now_ + RetryDelay);
            break;
        }
    }

    auto operator()(const TokenRefused &event) -> void
    {
        if (state_.phase == Phase::Leading && event.token == state_.token) {
            stop(TermEnd::TokenRefused);
        }
    }

    /// Failure: the store comes back without the claim of a leader that does not know it yet. Symptom: another entry claims, and both act. The
    /// leader stops as soon as it sees the new era, or when its lease can't be renewed, and the others wait for as long as that lease may last.
    auto operator()(const EraObserved &event) -> void
    {
        if (event.era <= state_.era) {
            return;
        }
        const auto isRestored = std::exchange(state_.era, event.era) != 0;
        if (!isRestored) {
            return;
        }
        state_.claimNotBefore = now_ + state_.options.lifetime;
        stop(TermEnd::StoreRestored);
        state_.idleUntil = std::max(state_.idleUntil, state_.claimNotBefore);
    }

    auto operator()(const Tick & /*event*/) -> void
    {
        if (state_.phase == Phase::Leading) {
            renewOrEndTerm();
        } else if (isCallInFlight(state_.pending) && now_ - state_.callStartedAt > CallTimeout) {
            cancelCall(state_.pending);
            enterIdle(now_);
        }
        if (state_.phase == Phase::Idle && state_.isEligible && now_ >= state_.idleUntil) {
            readIfDue();
        }
    }

private:
    auto startCall() -> std::uint64_t
    {
        state_.callStartedAt = now_;
        return beginCall(state_.pending);
    }

    [[nodiscard]] auto ownClaim() const -> Claim
    {
        return { .entry = state_.options.entry, .incarnation = state_.options.incarnation, .attempt = state_.attempts };
    }

    [[nodiscard]] auto leaseSafeUntil() const -> TimePoint
    {
        return state_.leaseExpiresAt - scaled(state_.leaseLifetime, LeaseSafetyShare);
    }

    auto readIfDue() -> void
    {
        if (state_.phase == Phase::Idle && now_ >= state_.idleUntil) {
            readClaim();
        }
    }

    auto enterIdle(TimePoint until) -> void
    {
        releaseLease();
        state_.phase = Phase::Idle;
        state_.idleUntil = until;
    }

    auto readClaim() -> void
    {
        state_.phase = Phase::Reading;
        actions_.emplace_back(ReadClaim{ .call = startCall() });
    }

    auto watchClaim() -> void
    {
        state_.phase = Phase::Watching;
        actions_.emplace_back(WatchClaim{ .call = startCall(), .revision = state_.watchRevision });
    }

    auto acquireLease() -> void
    {
        releaseLease();
        state_.phase = Phase::AcquiringLease;
        actions_.emplace_back(AcquireLease{ .call = startCall(), .lifetime = state_.options.lifetime });
    }

    auto writeClaim() -> void
    {
        state_.phase = Phase::Writing;
        actions_.emplace_back(WriteClaim{ .call = startCall(), .claim = ownClaim(), .lease = state_.lease });
    }

    auto beginTerm(StoreRevision revision) -> void
    {
        state_.phase = Phase::Leading;
        state_.token = fencingTokenOf(revision);
        state_.renewAt = now_;
        actions_.emplace_back(TermBegun{ .token = state_.token });
        renewOrEndTerm();
    }

    auto renewOrEndTerm() -> void
    {
        if (now_ >= leaseSafeUntil()) {
            stop(TermEnd::LeaseEnded);
        } else if (!isCallInFlight(state_.pending) && now_ >= state_.renewAt) {
            actions_.emplace_back(RenewLease{ .call = startCall(), .lease = state_.lease });
        }
    }

    auto scheduleRenewalRetry() -> void
    {
        state_.renewAt = now_ + state_.leaseLifetime / RetriesPerLease;
    }

    auto releaseLease() -> void
    {
        if (const auto lease = std::exchange(state_.lease, 0); lease != 0) {
            actions_.emplace_back(EndLease{ .lease = lease });
        }
    }

    auto stop(TermEnd reason) -> void
    {
        cancelCall(state_.pending);
        if (state_.phase == Phase::Leading) {
            actions_.emplace_back(TermEnded{ .token = std::exchange(state_.token, 0), .reason = reason });
            enterIdle(now_ + state_.options.cooldown);
        } else {
            enterIdle(std::max(state_.idleUntil, now_));
        }
    }

    State &state_;
    TimePoint now_;
    Actions &actions_;
};

} // namespace

auto termEndName(TermEnd reason) -> std::string_view
{
    return findName(TermEnds, reason);
}

auto fencingTokenOf(StoreRevision claimRevision) -> std::uint64_t
{
    return (claimRevision.era << RevisionBits) | claimRevision.number;
}

auto claimNumberOf(std::uint64_t token) -> std::uint64_t
{
    return token & ((std::uint64_t{ 1 } << RevisionBits) - 1);
}

auto eraOf(std::uint64_t token) -> std::uint64_t
{
    return token >> RevisionBits;
}

auto makeState(Options options) -> State
{
    return { .options = std::move(options) };
}

auto step(State &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    std::visit(Stepper(state, now, actions), event);
    return actions;
}

auto currentToken(const State &state, TimePoint now) -> std::optional<std::uint64_t>
{
    const auto safeUntil = state.leaseExpiresAt - scaled(state.leaseLifetime, LeaseSafetyShare);
    const auto leads = state.phase == Phase::Leading && now < safeUntil;
    return leads ? std::optional(state.token) : std::nullopt;
}

} // namespace auburnspread::leadership
