#include "core/routing/internal/hedging.h"

#include "core/routing/internal/choosing.h"
#include "core/routing/internal/placing.h"
#include "core/routing/internal/suspects.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

/// Of a route's slots, one in this many must be free, and at least LeastFree.
constexpr std::uint32_t SparePart = 4;
constexpr std::uint32_t LeastFree = 2;

auto hasSpareCapacity(RouterState &state, RouteId route) -> bool
{
    const auto query = queryOf(routeOf(state, route));
    const auto needed = std::max(LeastFree, balancing::slotsOf(*state.balancing, query) / SparePart);
    return queueing::waitingOn(state.queue, route) == 0 && freeSlots(state, route) >= needed;
}

/// The only copy that runs is this request's own attempt, or equal requests are known to be harmless.
auto isUnsuspected(const RouterState &state, const Request &request) -> bool
{
    const auto verdict = decideSuspect(state, request).verdict;
    return verdict == quarantine::Verdict::Run || verdict == quarantine::Verdict::RunOnServer;
}

} // namespace

auto scheduleHedge(RouterState &state, Request &request) -> void
{
    const auto &definition = request.requestClass->definition;
    const auto isFirst = request.attempts.size() == 1 && request.retries == 0 && !request.hedgeAt;
    if (!definition.hedge || !request.repeatable || !isFirst || state.options.policy != Policy::Standard) {
        return;
    }
    const auto patience = admission::slowFirstToken(estimatesOf(request)).value_or(definition.firstTokenTarget / 2);
    request.hedgeAt = state.now + patience;
    state.timers.insert({ *request.hedgeAt, request.call.request, TimerKind::Hedge });
}

auto onHedgeDue(RouterState &state, Request &request, Actions &actions) -> void
{
    if (request.stage != Stage::Placed || request.attempts.size() != 1 || request.firstTokenAt || !hasSpareCapacity(state, request.route)
        || !isUnsuspected(state, request)) {
        return;
    }
    const auto server = chooseServer(state, request, {});
    if (server && retry::takeRetry(request.requestClass->retryBudget, state.now)) {
        place(state, request, { .server = *server }, actions);
    }
}

} // namespace auburnspread::routing
