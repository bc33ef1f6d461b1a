#include "core/leadership/leadership.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnspread::leadership
{

namespace
{

/// A leader stops acting this part of the lease's time before its end: what it has just sent arrives by then.
constexpr double SafetyPart = 0.2;
/// Renewals within the time of a lease, so that one lost call does not end a term.
constexpr int RenewalsPerLease = 3;
constexpr int RetriesPerLease = 8;
/// After a call that failed.
constexpr Duration FailurePause = std::chrono::milliseconds(500);
/// A call that has no answer by then will get none.
constexpr Duration CallPatience = std::chrono::seconds(15);

constexpr auto TermEnds = std::to_array<NamedValue<TermEnd>>({
    { TermEnd::Leaving, "leaving" },
    { TermEnd::LeaseEnded, "lease-ended" },
    { TermEnd::TokenRefused, "token-refused" },
});

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
            goOn();
            return;
        }
        stop(TermEnd::Leaving);
    }

    auto operator()(const ClaimRead &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        state_.watchedFrom = std::max(state_.watchedFrom, event.storeRevision);
        if (!event.claim) {
            // a write whose answer was lost may still be executed under the lease; the same claim is written again then
            state_.lease != 0 && now_ < leaseSafeUntil() ? write() : takeLease();
        } else if (state_.lease != 0 && *event.claim == ownClaim()) {
            lead(event.claimRevision);
        } else {
            dropLease();
            watch();
        }
    }

    auto operator()(const LeaseTaken &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        state_.lease = event.lease;
        state_.leaseLifetime = event.lifetime;
        state_.leaseUntil = state_.askedAt + event.lifetime;
        state_.attempts += 1;
        write();
    }

    auto operator()(const ClaimWritten &event) -> void
    {
        if (acceptAnswer(state_.pending, event.call)) {
            lead(event.revision);
        }
    }

    auto operator()(const LeaseRenewed &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        state_.leaseUntil = state_.askedAt + state_.leaseLifetime;
        state_.renewAt = now_ + state_.leaseLifetime / RenewalsPerLease;
    }

    auto operator()(const CallFailed &event) -> void
    {
        if (!acceptAnswer(state_.pending, event.call)) {
            return;
        }
        switch (state_.phase) {
        case Phase::Leading:
            event.failure == CallFailure::Lost ? stop(TermEnd::LeaseEnded) : renewLater();
            break;
        case Phase::Writing:
            read(); // the write may have been executed, or another entry was first
            break;
        default:
            idle(now_ + FailurePause);
            break;
        }
    }

    auto operator()(const TokenRefused &event) -> void
    {
        if (state_.phase == Phase::Leading && event.token == state_.token) {
            stop(TermEnd::TokenRefused);
        }
    }

    auto operator()(const Tick & /*event*/) -> void
    {
        if (state_.phase == Phase::Leading) {
            tickLeading();
        } else if (isCallInFlight(state_.pending) && now_ - state_.askedAt > CallPatience) {
            cancelCall(state_.pending);
            idle(now_);
        }
        if (state_.phase == Phase::Idle && state_.isEligible && now_ >= state_.idleUntil) {
            goOn();
        }
    }

private:
    auto await() -> std::uint64_t
    {
        state_.askedAt = now_;
        return beginCall(state_.pending);
    }

    [[nodiscard]] auto ownClaim() const -> Claim
    {
        return { .entry = state_.options.entry, .incarnation = state_.options.incarnation, .attempt = state_.attempts };
    }

    [[nodiscard]] auto leaseSafeUntil() const -> TimePoint
    {
        return state_.leaseUntil - scaled(state_.leaseLifetime, SafetyPart);
    }

    auto goOn() -> void
    {
        if (state_.phase == Phase::Idle && now_ >= state_.idleUntil) {
            read();
        }
    }

    auto idle(TimePoint until) -> void
    {
        dropLease();
        state_.phase = Phase::Idle;
        state_.idleUntil = until;
    }

    auto read() -> void
    {
        state_.phase = Phase::Reading;
        actions_.emplace_back(ReadClaim{ .call = await() });
    }

    auto watch() -> void
    {
        state_.phase = Phase::Watching;
        actions_.emplace_back(WatchClaim{ .call = await(), .revision = state_.watchedFrom });
    }

    auto takeLease() -> void
    {
        dropLease();
        state_.phase = Phase::TakingLease;
        actions_.emplace_back(TakeLease{ .call = await(), .lifetime = state_.options.lifetime });
    }

    auto write() -> void
    {
        state_.phase = Phase::Writing;
        actions_.emplace_back(WriteClaim{ .call = await(), .claim = ownClaim(), .lease = state_.lease });
    }

    auto lead(std::uint64_t revision) -> void
    {
        state_.phase = Phase::Leading;
        state_.token = revision;
        state_.renewAt = now_;
        actions_.emplace_back(TermBegun{ .token = revision });
        tickLeading();
    }

    auto tickLeading() -> void
    {
        if (now_ >= leaseSafeUntil()) {
            stop(TermEnd::LeaseEnded);
        } else if (!isCallInFlight(state_.pending) && now_ >= state_.renewAt) {
            actions_.emplace_back(RenewLease{ .call = await(), .lease = state_.lease });
        }
    }

    auto renewLater() -> void
    {
        state_.renewAt = now_ + state_.leaseLifetime / RetriesPerLease;
    }

    auto dropLease() -> void
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
            idle(now_ + state_.options.rest);
        } else {
            idle(std::max(state_.idleUntil, now_));
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
    const auto safeUntil = state.leaseUntil - scaled(state.leaseLifetime, SafetyPart);
    const auto leads = state.phase == Phase::Leading && now < safeUntil;
    return leads ? std::optional(state.token) : std::nullopt;
}

} // namespace auburnspread::leadership
