#include "core/placement/decision.h"

#include <array>

namespace auburnspread::placement
{

namespace
{

constexpr auto Decisions = std::to_array<NamedValue<Decision>>({
    { Decision::LeaseAcquired, "lease-acquired" },
    { Decision::LeaseHeldElsewhere, "lease-held-elsewhere" },
    { Decision::LeaseExpired, "lease-expired" },
    { Decision::LeaseLost, "lease-lost" },
    { Decision::Superseded, "superseded" },
    { Decision::DocumentTaken, "document-taken" },
    { Decision::DocumentOlder, "document-older" },
    { Decision::DocumentMissing, "document-missing" },
    { Decision::OrderSent, "order-sent" },
    { Decision::OrderAccepted, "order-accepted" },
    { Decision::OrderFailed, "order-failed" },
    { Decision::OrderUnknown, "order-unknown" },
    { Decision::OrderNotTaken, "order-not-taken" },
    { Decision::OrderConfirmed, "order-confirmed" },
    { Decision::ReadFailed, "read-failed" },
    { Decision::HeldForOldLease, "held-for-old-lease" },
    { Decision::HeldForCoverage, "held-for-coverage" },
    { Decision::HeldForRollout, "held-for-rollout" },
    { Decision::HeldForLoads, "held-for-loads" },
    { Decision::HeldForBackoff, "held-for-backoff" },
    { Decision::Loading, "loading" },
    { Decision::Converged, "converged" },
});

} // namespace

auto decisionTable() -> std::span<const NamedValue<Decision>>
{
    return Decisions;
}

auto decisionName(Decision decision) -> std::string_view
{
    return findName(Decisions, decision);
}

} // namespace auburnspread::placement
