#include "core/membership/internal/lease.h"

#include "core/membership/internal/gossip.h"

#include <algorithm>
#include <utility>

namespace auburnspread::membership::detail
{

namespace
{

constexpr Duration AnswerTimeout = std::chrono::seconds(15);
constexpr Duration FirstBackoff = std::chrono::seconds(1);
constexpr Duration LongestBackoff = std::chrono::seconds(10);
constexpr int RenewalsPerLease = 3;

/// Refutations raise the version alone; they are the peers' matter and not worth a write.
auto isRegistered(const MembershipState &state) -> bool
{
    const auto &registered = state.lease.registered;
    return state.lease.held && registered.incarnation == state.self.incarnation && registered.state == state.self.state;
}

} // namespace

auto jitter(MembershipState &state, Duration mean) -> Duration
{
    std::uniform_int_distribution<Duration::rep> distribution(mean.count() / 2, mean.count() + mean.count() / 2);
    return Duration(distribution(state.random));
}

auto tickLease(MembershipState &state, TimePoint now, Actions &actions) -> void
{
    auto &lease = state.lease;
    if (state.superseded) {
        return; // the registration under this name is another process's
    }
    const bool changed = !isRegistered(state) && !lease.asked && lease.backoff == Duration::zero();
    if (now < lease.nextAt && !changed) {
        return;
    }
    lease.asked = true;
    lease.nextAt = now + AnswerTimeout;
    if (isRegistered(state)) {
        lease.asking.reset();
        actions.push_back(RenewWanted{});
        return;
    }
    lease.asking = state.self;
    actions.push_back(RegisterWanted{ .record = state.self, .leaseTime = state.options.leaseTime });
}

auto settleLease(MembershipState &state, PlatformResult result, TimePoint now, Actions &actions) -> void
{
    auto &lease = state.lease;
    lease.asked = false;
    state.platformReachable = result != PlatformResult::Unavailable;
    if (result == PlatformResult::Unavailable) {
        lease.backoff = std::clamp(lease.backoff * 2, FirstBackoff, LongestBackoff);
        lease.nextAt = now + jitter(state, lease.backoff);
        return;
    }
    lease.backoff = Duration::zero();
    const bool paused = std::exchange(lease.pausedSince, false);
    if (result == PlatformResult::Done) {
        lease.held = true;
        lease.registered = lease.asking.value_or(lease.registered);
        lease.nextAt = now + jitter(state, state.options.leaseTime / RenewalsPerLease);
        return;
    }
    lease.held = false;
    lease.nextAt = now;
    // A lease that lapsed because the platform was out says nothing about this process, and its peers kept it
    // for live. After a pause they may have replaced it, so it comes back as a new incarnation.
    if (paused && state.self.state != MemberState::Leaving) {
        rejoin(state, state.self.incarnation + 1, actions);
    }
}

auto noticePause(MembershipState &state) -> void
{
    state.lease.pausedSince = true;
    state.lease.nextAt = {};
    state.lease.asked = false;
}

} // namespace auburnspread::membership::detail
