#include "core/passthrough/internal/arriving.h"

#include "core/passthrough/internal/crashes.h"
#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/ending.h"

#include <xxhash.h>

#include <algorithm>

namespace auburnspread::passthrough::detail
{

namespace
{

struct Identified {
    const Route *route = nullptr;
    const Workspace *workspace = nullptr; ///< null: the route needs no key
};

/// Failure: an entry that is cut off from the store, or has not got the newest configuration yet, does not know a new route or key.
/// Symptom: it answers 404 or 401 to a proper request, which the caller takes for final. In doubt it answers 503 instead.
auto doubt(const RouterState &state, Reason reason) -> Reason
{
    return isFresh(state, state.now) && !state.outdatedSince ? reason : Reason::StaleConfiguration;
}

auto identify(const RouterState &state, const RequestArrived &call, Identified &found) -> std::optional<Reason>
{
    if (state.closing) {
        return Reason::Draining;
    }
    if (!state.table) {
        return Reason::NoConfiguration;
    }
    // An entry that can't confirm its configuration may still have the newest one, and goes on serving what needs no key. This one knows
    // that a newer one is in force: routed by the old one, a request could reach a service that it must not reach any more.
    if (isOverdue(state, state.now)) {
        return Reason::StaleConfiguration;
    }
    found.route = state.table->findRoute(call.host, call.path);
    if (found.route == nullptr) {
        return doubt(state, Reason::UnknownRoute);
    }
    if (!state.table->configuration().checksKeys || !found.route->needsKey) {
        return std::nullopt;
    }
    if (!isFresh(state, state.now)) {
        return Reason::StaleConfiguration;
    }
    found.workspace = state.table->findWorkspace(call.key);
    return found.workspace == nullptr ? std::optional(doubt(state, Reason::UnknownKey)) : std::nullopt;
}

/// Spreads requests over the route's services by weight; equal requests of one caller go to the same one.
auto chooseService(const Route &route, std::uint64_t order) -> std::string
{
    std::uint64_t total = 0;
    for (const auto &share : route.shares) {
        total += share.weight;
    }
    if (total == 0) {
        return route.shares.empty() ? std::string() : route.shares.front().service;
    }
    constexpr std::uint64_t Stride = 0x9e3779b97f4a7c15ULL; // successive arrivals land far from each other
    auto turn = (order * Stride) % total;
    for (const auto &share : route.shares) {
        if (turn < share.weight) {
            return share.service;
        }
        turn -= share.weight;
    }
    return route.shares.back().service;
}

/// Until when a request waits for a server. A stream that has not begun by its target is late, and engines that could not
/// take it by then are overloaded: its caller is told at once that nothing ran, instead of being kept until it gives up.
auto latestWaitOf(const Request &request) -> TimePoint
{
    constexpr double StreamPart = 0.5; // at 0.7, 3 in 100 fewer were on time in a burst
    constexpr Duration LeastStreamWait = std::chrono::milliseconds(200);
    constexpr int OtherDivisor = 2;
    const auto half = request.arrived + (request.deadline - request.arrived) / OtherDivisor;
    if (request.route->repeatability != Repeatability::Stream) {
        return half;
    }
    const auto wait = scaled(request.route->target, StreamPart);
    return std::min(half, request.arrived + std::max(wait, LeastStreamWait));
}

/// Whether its caller has waited before. Failure: a caller that was refused comes back when its answer can't be on time any
/// more, and takes the place of one whose still can. Symptom: under a lasting burst nobody is on time. A caller that comes
/// back has less time left than callers of this route have at first.
auto hasWaitedBefore(RouterState &state, const Request &request) -> bool
{
    constexpr double Usual = 0.95; // first tries differ by a few milliseconds on the way
    const auto given = request.call.deadline.value_or(request.route->timeout);
    auto &longest = state.longestDeadlines[request.route->name];
    longest = std::max(longest, given);
    return given < scaled(longest, Usual);
}

auto refuseArrival(RouterState &state, const RequestArrived &call, Reason reason, Actions &actions) -> void
{
    actions.emplace_back(Refuse{
        .request = call.request,
        .reason = reason,
        .outcome = Outcome::NotRun,
        .status = statusOfRefusal(reason),
        .retryAfter = retryAfterOf(state, reason),
        .informationAge = state.now - state.confirmedAt,
    });
}

/// Order of urgency, 0 first: the route's tier decides, and among requests of one tier that of the workspace.
auto rankOf(const Route &route, const Workspace *workspace) -> int
{
    constexpr int WorkspaceTiers = 3;
    const auto ofWorkspace = workspace == nullptr ? 0 : workspace->tier.value_or(0);
    return route.tier * WorkspaceTiers + std::clamp(ofWorkspace, 0, WorkspaceTiers - 1);
}

auto admit(RouterState &state, const RequestArrived &call, const Identified &identified) -> Request &
{
    const auto &route = *identified.route;
    auto &request = state.requests[call.request];
    request.call = call;
    request.table = state.table;
    request.route = &route;
    request.workspace = identified.workspace == nullptr ? "" : identified.workspace->name;
    request.rank = rankOf(route, identified.workspace);
    request.order = ++state.lastOrder;
    request.tieBreak = XXH64(&request.order, sizeof request.order, state.seed);
    request.service = chooseService(route, request.order);
    request.lessUrgentTiers = state.table->lessUrgentTiers(route);
    request.hasMoreUrgentTiers = state.table->hasMoreUrgentTiers(route);
    request.arrived = state.now;
    request.deadline = state.now + std::min(route.timeout, call.deadline.value_or(route.timeout));
    request.latestWait = latestWaitOf(request);
    request.lastEventId = call.lastEventId;
    request.late = route.hasPrompt && hasWaitedBefore(state, request);
    state.due.insert({ request.latestWait, call.request });
    state.due.insert({ request.deadline, call.request });
    return request;
}

} // namespace

auto isKeyValid(const RouterState &state, const Request &request) -> bool
{
    if (request.workspace.empty()) {
        return true;
    }
    const auto *workspace = state.table->findWorkspace(request.call.key);
    return workspace != nullptr && workspace->name == request.workspace;
}

auto acceptRequest(RouterState &state, const RequestArrived &call, Actions &actions) -> void
{
    Identified identified;
    if (const auto reason = identify(state, call, identified)) {
        refuseArrival(state, call, *reason, actions);
        return;
    }
    if (isWithheld(state, call.fingerprint)) {
        refuseArrival(state, call, Reason::Quarantined, actions);
        return;
    }
    auto &request = admit(state, call, identified);
    noteArrival(state.pools[request.service].arrivals, state.now);
    enqueue(state, request);
    dispatchService(state, request.service, actions);
}

} // namespace auburnspread::passthrough::detail
