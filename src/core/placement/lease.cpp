#include "core/placement/lease.h"

#include <algorithm>

namespace auburnspread::placement
{

namespace
{

auto extend(Lease &lease, const LeaseOptions &options, TimePoint now) -> void
{
    lease.validUntil = std::max(lease.validUntil, lease.pending->sentAt + options.duration);
    lease.nextCallAt = now + options.renewInterval;
    lease.pending.reset();
}

} // namespace

auto mayOrder(const Lease &lease, const LeaseOptions &options, TimePoint now) -> bool
{
    return lease.fence.has_value() && now < ordersEndAt(lease, options);
}

auto ordersEndAt(const Lease &lease, const LeaseOptions &options) -> TimePoint
{
    return lease.validUntil - options.safetyMargin;
}

auto hasExpired(const Lease &lease, TimePoint now) -> bool
{
    return lease.fence.has_value() && now >= lease.validUntil;
}

auto dropLease(Lease &lease, TimePoint now) -> void
{
    lease = Lease{ .nextCallAt = now };
}

auto grantLease(Lease &lease, const LeaseOptions &options, FencingNumber fence, TimePoint now) -> bool
{
    const bool isNewTenure = !lease.fence.has_value();
    if (isNewTenure) {
        lease.heldSince = now;
    }
    lease.fence = fence;
    extend(lease, options, now);
    return isNewTenure;
}

auto renewLease(Lease &lease, const LeaseOptions &options, TimePoint now) -> void
{
    extend(lease, options, now);
}

} // namespace auburnspread::placement
