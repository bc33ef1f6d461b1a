#include "core/passthrough/internal/arriving.h"

#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/forwarding.h"
#include "core/passthrough/internal/resuming.h"
#include "core/passthrough/internal/suspicion.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace auburnspread::passthrough::detail
{

namespace
{

struct RouteMatch {
    const Route *route = nullptr;
    const Workspace *workspace = nullptr; ///< null: the route needs no key
};

/// An entry that is cut off from the store, or does not have the newest configuration yet, does not know new routes and keys. It must not
/// answer a valid request with 404 or 401, which the caller takes as final.
/// \return \p reason if the configuration is up to date, otherwise the reason that leads to status 503
auto reasonUnlessOutdated(const RouterState &state, Reason reason) -> Reason
{
    return isConfigurationFresh(state, state.now) && !state.outdatedSince ? reason : Reason::StaleConfiguration;
}

auto authorize(const RouterState &state, const RequestArrived &call, RouteMatch &found) -> std::optional<Reason>
{
    if (state.closing) {
        return Reason::Draining;
    }
    if (!state.table) {
        return Reason::NoConfiguration;
    }
    // An entry that can't confirm its configuration may still have the newest one and continues to serve routes that need no key. An
    // entry that knows of a newer configuration does not: the old routes could lead a request to a service that it must no longer reach.
    if (isConfigurationOverdue(state, state.now)) {
        return Reason::StaleConfiguration;
    }
    found.route = state.table->findRoute(call.host, call.path);
    if (found.route == nullptr) {
        return reasonUnlessOutdated(state, Reason::UnknownRoute);
    }
    if (!state.table->configuration().checksKeys || !found.route->needsKey) {
        return std::nullopt;
    }
    if (!isConfigurationFresh(state, state.now)) {
        return Reason::StaleConfiguration;
    }
    found.workspace = state.table->findWorkspace(call.key);
    return found.workspace == nullptr ? std::optional(reasonUnlessOutdated(state, Reason::UnknownKey)) : std::nullopt;
}

/// Distributes requests over the route's services by weight, in the order of their arrival.
auto chooseService(const Route &route, std::uint64_t order) -> std::string
{
    std::uint64_t total = 0;
    for (const auto &share : route.shares) {
        total += share.weight;
    }
    if (total == 0) {
        return route.shares.empty() ? std::string() : route.shares.front().service;
    }
    constexpr std::uint64_t Stride = 0x9e3779b97f4a7c15ULL; // spreads successive arrivals evenly over the weights
    auto turn = (order * Stride) % total;
    for (const auto &share : route.shares) {
        if (turn < share.weight) {
            return share.service;
        }
        turn -= share.weight;
    }
    return route.shares.back().service;
}

/// Whether a request that is accepted now may still be running when the entry exits, which would cut its response off. Only its time limit bounds
/// how long it runs: servers may slow down after any shorter responses before it.
auto mayOutlastEntry(const RouterState &state, const RequestArrived &call, const Route &route, Actions &actions) -> bool
{
    if (!state.leaving) {
        return false;
    }
    const auto mayUseCachedAddress = !call.forwardedSends; // other entries hear of the leaving at once
    if (mayUseCachedAddress && state.now < state.leaving->lateFrom) {
        return false;
    }
    const LateRequestJudged judged{
        .request = call.request,
        .route = route.name,
        .remaining = state.leaving->exitAt - state.now,
        .timeLimit = std::min(route.timeout, call.deadline.value_or(route.timeout)),
    };
    actions.emplace_back(judged);
    return !isAccepted(judged);
}

/// Latest time until which a request is queued. Engines that can't accept a stream within a part of its target are overloaded, and
/// its response would be late. The caller is then refused early, with the information that nothing ran, instead of waiting until it
/// gives up.
auto queueDeadlineOf(const Request &request) -> TimePoint
{
    constexpr double StreamWaitFraction = 0.5; // with 0.7, 3 % fewer requests were on time in a burst
    constexpr Duration MinStreamWait = std::chrono::milliseconds(200);
    constexpr int TimeoutDivisor = 2;
    const auto half = request.arrived + (request.deadline - request.arrived) / TimeoutDivisor;
    if (request.route->repeatability != Repeatability::Stream) {
        return half;
    }
    const auto wait = scaled(request.route->target, StreamWaitFraction);
    return std::min(half, request.arrived + std::max(wait, MinStreamWait));
}

/// Whether the caller probably retries a refused request. Such a request can't be on time any more; if it were dispatched before
/// requests that still can, no request would be on time during a long burst. A retry is recognised by its deadline, which is shorter
/// than that of first tries on this route.
auto isCallerRetry(RouterState &state, const Request &request) -> bool
{
    constexpr double FirstTryFraction = 0.95; // deadlines of first tries differ by a few milliseconds of network delay
    const auto given = request.call.deadline.value_or(request.route->timeout);
    auto &longest = state.longestDeadlines[request.route->name];
    longest = std::max(longest, given);
    return given < scaled(longest, FirstTryFraction);
}

/// Requests of callers that come back are left out: their deadlines are shorter.
auto recordDeadline(RouterState &state, const RequestArrived &call, const Route &route) -> void
{
    if (route.repeatability != Repeatability::Stream || !call.lastEventId.empty() || call.forwardedSends) {
        return;
    }
    auto &deadlines = state.callerDeadlines[route.name];
    deadlines.longest = std::max(deadlines.longest, call.deadline.value_or(route.timeout));
    deadlines.streams += 1;
}

auto refuseArrival(RouterState &state, const RequestArrived &call, Reason reason, Actions &actions) -> void
{
    actions.emplace_back(Refuse{
        .request = call.request,
        .reason = reason,
        .outcome = Outcome::NotRun,
        .status = statusOfRefusal(reason),
        .retryAfter = retryAfterOf(state, reason, Duration::zero()),
        .informationAge = state.now - state.confirmedAt,
    });
}

/// Priority of a request, 0 is the most urgent: by the route's tier, then by the workspace's tier.
auto rankOf(const Route &route, const Workspace *workspace) -> int
{
    constexpr int WorkspaceTiers = 3;
    const auto ofWorkspace = workspace == nullptr ? 0 : workspace->tier.value_or(0);
    return route.tier * WorkspaceTiers + std::clamp(ofWorkspace, 0, WorkspaceTiers - 1);
}

auto admit(RouterState &state, const RequestArrived &call, const RouteMatch &match, std::string service) -> Request &
{
    const auto &route = *match.route;
    auto &request = state.requests[call.request];
    request.call = call;
    request.table = state.table;
    request.route = &route;
    request.workspace = match.workspace == nullptr ? "" : match.workspace->name;
    request.rank = rankOf(route, match.workspace);
    request.order = ++state.lastOrder;
    request.tieBreak = XXH64(&request.order, sizeof request.order, state.seed);
    request.service = std::move(service);
    request.lessUrgentTiers = state.table->lessUrgentTiers(route);
    request.hasMoreUrgentTiers = state.table->hasMoreUrgentTiers(route);
    request.arrived = state.now;
    request.deadline = state.now + std::min(route.timeout, call.deadline.value_or(route.timeout));
    request.queueDeadline = queueDeadlineOf(request);
    request.lastEventId = call.lastEventId;
    request.sends = call.forwardedSends.value_or(0);
    request.isLate = route.hasPrompt && isCallerRetry(state, request);
    request.usesModel = route.hasPrompt && state.modelledServices.contains(request.service);
    request.isShort = request.usesModel ? recordPromptLength(state.pools[request.service].promptLengths, route.name, call.prompt) : isShort(call.prompt);
    state.dueChecks.insert({ request.queueDeadline, call.request });
    state.dueChecks.insert({ request.deadline, call.request });
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
    RouteMatch match;
    if (const auto reason = authorize(state, call, match)) {
        refuseArrival(state, call, *reason, actions);
        return;
    }
    auto service = chooseService(*match.route, state.lastOrder + 1);
    if (mayOutlastEntry(state, call, *match.route, actions)) {
        refuseArrival(state, call, Reason::Draining, actions);
        return;
    }
    if (isWithheld(state, call)) {
        refuseArrival(state, call, Reason::Quarantined, actions);
        return;
    }
    auto &request = admit(state, call, match, std::move(service));
    recordDeadline(state, call, *match.route);
    if (!isCutOff(state, request.service)) {
        recordArrival(state.pools[request.service].arrivals, state.now); // a forwarded request arrives at the other entry
    }
    if (isResumption(request)) {
        resolveOrigin(state, request, actions);
        return;
    }
    enqueue(state, request);
    dispatchService(state, request.service, actions);
}

} // namespace auburnspread::passthrough::detail
