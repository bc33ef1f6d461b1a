#include "core/passthrough/internal/forwarding.h"

#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/silence.h"

#include <algorithm>
#include <array>

namespace auburnspread::passthrough
{

namespace
{

constexpr auto ForwardCauses = std::to_array<NamedValue<ForwardCause>>({
    { ForwardCause::ServiceCutOff, "service-cut-off" },
    { ForwardCause::FailedConnections, "failed-connections" },
});

} // namespace

auto forwardCauseName(ForwardCause cause) -> std::string_view
{
    return findName(ForwardCauses, cause);
}

namespace detail
{

namespace
{

/// Connections that must fail for a request before it is forwarded although the service does not count as cut off. Old connections may
/// still work while new ones fail.
constexpr std::uint32_t MinFailedConnections = 2;
/// Entries that are asked in vain before the request is handled here.
constexpr std::size_t MaxPeersTried = 3;
/// Servers that one round of probes tries to reach.
constexpr std::size_t ServersPerProbeRound = 3;

auto serversOf(const RouterState &state, const std::string &service) -> const std::vector<ServerPointer> &
{
    static const std::vector<ServerPointer> none;
    const auto found = state.servers.byService.find(service);
    return found == state.servers.byService.end() ? none : found->second.all;
}

auto reportChange(const RouterState &state, const std::string &service, const Reachability &reach, std::size_t failedServers, Actions &actions) -> void
{
    ReachabilityChanged change{
        .service = service,
        .isReachable = !reach.isCutOff,
        .failedServers = failedServers,
        .silentFor = state.now - reach.firstFailureAt,
    };
    for (const auto &server : serversOf(state, service)) {
        change.servers.push_back(server->record.id);
    }
    actions.emplace_back(std::move(change));
}

/// Probes servers that have not failed yet first: any of them that responds proves that the service is reachable.
auto probe(RouterState &state, const std::string &service, const Reachability &reach, Actions &actions) -> void
{
    const auto &servers = serversOf(state, service);
    const auto first = servers.empty() ? 0 : state.lastOrder++ % servers.size();
    std::vector<ServerPointer> chosen;
    for (const auto hasFailed : { false, true }) {
        for (std::size_t i = 0; i < servers.size() && chosen.size() < ServersPerProbeRound; ++i) {
            const auto &server = servers[(first + i) % servers.size()];
            if (reach.failures.contains(server->record.id) == hasFailed) {
                chosen.push_back(server);
            }
        }
    }
    for (const auto &server : chosen) {
        actions.emplace_back(ProbeServer{ .server = server->record.id, .address = server->record.address });
    }
}

/// An entry that has lost the path to one service may have lost that to the others too, which have little traffic to show it.
auto probeOtherServices(RouterState &state, const std::string &service, Actions &actions) -> void
{
    for (const auto &[other, group] : state.servers.byService) {
        auto &reach = state.reachability[other];
        if (other != service && !reach.isCutOff) {
            reach.probedAt = state.now;
            probe(state, other, reach, actions);
        }
    }
}

auto review(RouterState &state, const std::string &service, Reachability &reach, Actions &actions) -> void
{
    if (detectCut(reach, serversOf(state, service).size(), state.now)) {
        reportChange(state, service, reach, reach.failures.size(), actions);
        probeOtherServices(state, service, actions);
        dispatchService(state, service, actions);
    }
}

auto causeToForward(const RouterState &state, const Request &request) -> std::optional<ForwardCause>
{
    if (request.call.forwardedSends || request.peersTried.size() >= MaxPeersTried) {
        return std::nullopt;
    }
    if (isCutOff(state, request.service)) {
        return ForwardCause::ServiceCutOff;
    }
    return request.failedConnections >= MinFailedConnections ? std::optional(ForwardCause::FailedConnections) : std::nullopt;
}

/// Whether another entry may be able to serve a request that was refused for this reason.
auto concernsEntryOnly(Reason reason) -> bool
{
    constexpr std::array Reasons = { Reason::ServersUnreachable, Reason::BackendFailed, Reason::Draining, Reason::NoConfiguration, Reason::StaleConfiguration };
    return std::find(Reasons.begin(), Reasons.end(), reason) != Reasons.end();
}

/// Removes a forwarding that has ended from its request. \return whether the request has other attempts that may serve it
auto leaveForwardingToOthers(const RouterState &state, Request &request, AttemptId attempt, const std::string &peer) -> bool
{
    request.peersTried.push_back(peer);
    return leaveToOthers(state, request, attempt);
}

auto retryElsewhere(RouterState &state, Request &request, Actions &actions) -> void
{
    enqueue(state, request);
    dispatchService(state, request.service, actions);
}

} // namespace

auto isCutOff(const RouterState &state, const std::string &service) -> bool
{
    const auto found = state.reachability.find(service);
    return found != state.reachability.end() && found->second.isCutOff;
}

auto notePathSuccess(RouterState &state, const std::string &service, Actions &actions) -> void
{
    const auto found = state.reachability.find(service);
    if (found == state.reachability.end()) {
        return;
    }
    const auto failedServers = found->second.failures.size();
    if (recordPathSuccess(found->second)) {
        reportChange(state, service, found->second, failedServers, actions);
    }
}

auto notePathFailure(RouterState &state, const std::string &service, const std::string &server, Actions &actions) -> void
{
    auto &reach = state.reachability[service];
    recordPathFailure(reach, server, state.now);
    review(state, service, reach, actions);
}

auto handleServerProbed(RouterState &state, const ServerProbed &event, Actions &actions) -> void
{
    const auto server = findServer(state.servers, event.server);
    if (!server) {
        return;
    }
    const auto service = server->record.service;
    if (event.isReachable) {
        notePathSuccess(state, service, actions);
    } else {
        notePathFailure(state, service, event.server, actions);
    }
}

auto reviewReachability(RouterState &state, Actions &actions) -> void
{
    for (auto &[service, reach] : state.reachability) {
        if (reach.failures.empty()) {
            continue;
        }
        review(state, service, reach, actions);
        if (takeProbeRound(reach, state.now)) {
            probe(state, service, reach, actions);
        }
    }
}

auto tryForward(RouterState &state, Request &request, Actions &actions) -> bool
{
    const auto cause = causeToForward(state, request);
    if (!cause) {
        return false;
    }
    auto *peer = choosePeer(state.peers, request.service, request.peersTried, request.tieBreak + request.peersTried.size(), state.now);
    if (peer == nullptr) {
        return false;
    }
    const auto &reach = state.reachability[request.service];
    const auto id = AttemptId{ ++state.lastAttempt };
    leaveQueue(state, request);
    request.stage = Stage::Running;
    request.attempts.push_back(id);
    request.lastPeer = peer->address;
    peer->inFlight += 1;
    state.forwardings[id] = { .request = request.call.request, .peer = peer->address };
    actions.emplace_back(Forward{
        .request = request.call.request,
        .attempt = id,
        .peer = peer->address,
        .remaining = request.deadline - state.now,
        .sends = request.sends,
        .lastEventId = request.lastEventId,
        .isStream = request.route->repeatability == Repeatability::Stream,
        .isAtMostOnce = request.route->repeatability == Repeatability::AtMostOnce,
        .origin = request.origin,
        .service = request.service,
        .cause = *cause,
        .failedServers = reach.failures.size(),
        .silentFor = reach.failures.empty() ? Duration::zero() : state.now - reach.firstFailureAt,
    });
    return true;
}

auto isForwarding(const RouterState &state, AttemptId attempt) -> bool
{
    return state.forwardings.contains(attempt);
}

auto useUpAttempts(Request &request) -> void
{
    request.sends = std::max(request.sends, request.route->attempts);
}

auto closeForwarding(RouterState &state, AttemptId attempt) -> Forwarding
{
    auto forwarding = std::move(state.forwardings.extract(attempt).mapped());
    auto *peer = findPeer(state.peers, forwarding.peer);
    if (peer != nullptr && peer->inFlight > 0) {
        peer->inFlight -= 1;
    }
    return forwarding;
}

auto handleForwardStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void
{
    const auto &forwarding = state.forwardings.at(event.attempt);
    const auto found = state.requests.find(forwarding.request);
    if (found != state.requests.end() && event.isForwarded) {
        recordAble(state.peers, forwarding.peer, found->second.service);
        found->second.answerBegun = true;
        found->second.mayHaveRun = true;
        preferAttempt(state, found->second, event.attempt, actions);
    }
}

auto handleForwardAnswered(RouterState &state, const AttemptAnswered &event, Actions &actions) -> void
{
    auto &request = state.requests.at(state.forwardings.at(event.attempt).request);
    const auto isError = event.status >= FirstErrorStatus;
    if (!isError) {
        preferAttempt(state, request, event.attempt, actions);
    }
    const auto forwarding = closeForwarding(state, event.attempt);
    recordAble(state.peers, forwarding.peer, request.service);
    if (isError) {
        request.mayHaveRun = true;
        useUpAttempts(request);
        if (leaveForwardingToOthers(state, request, event.attempt, forwarding.peer)) {
            return;
        }
    }
    actions.emplace_back(Deliver{ .request = forwarding.request, .attempt = event.attempt, .status = event.status });
    removeAndDispatch(state, request, actions);
}

auto handleForwardFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void
{
    auto &request = state.requests.at(state.forwardings.at(event.attempt).request);
    preferAttempt(state, request, event.attempt, actions);
    closeForwarding(state, event.attempt);
    actions.emplace_back(Complete{ .request = request.call.request });
    removeAndDispatch(state, request, actions);
}

auto handleForwardFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void
{
    const auto forwarding = closeForwarding(state, event.attempt);
    auto &request = state.requests.at(forwarding.request);
    if (provesNotStarted(event.failure)) {
        avoidPeer(state.peers, forwarding.peer, state.now);
    }
    request.mayHaveRun = request.mayHaveRun || !provesNotStarted(event.failure);
    request.answerBegun = request.answerBegun || event.answerBegun;
    if (!provesNotStarted(event.failure)) {
        useUpAttempts(request);
    }
    if (leaveForwardingToOthers(state, request, event.attempt, forwarding.peer)) {
        return;
    }
    if (provesNotStarted(event.failure) && !request.callerGone) {
        retryElsewhere(state, request, actions);
        return;
    }
    const auto service = request.service;
    endWithoutAnswer(state, request, request.answerBegun ? Reason::StreamBroken : Reason::BackendFailed, actions);
    dispatchService(state, service, actions);
}

auto handleForwardRefused(RouterState &state, const ForwardRefused &event, Actions &actions) -> void
{
    const auto forwarding = closeForwarding(state, event.attempt);
    auto &request = state.requests.at(forwarding.request);
    const auto isNotRun = event.outcome == Outcome::NotRun;
    const auto isUnable = isNotRun && event.reason && concernsEntryOnly(*event.reason);
    if (isUnable) {
        recordUnable(state.peers, forwarding.peer, request.service, state.now);
    }
    if (!isNotRun) {
        useUpAttempts(request);
    }
    request.mayHaveRun = request.mayHaveRun || !isNotRun;
    if (leaveForwardingToOthers(state, request, event.attempt, forwarding.peer)) {
        return;
    }
    if (isUnable && !request.callerGone) {
        retryElsewhere(state, request, actions);
        return;
    }
    if (request.answerBegun || (isNotRun && request.mayHaveRun)) {
        // the response denies an execution of which this entry knows, or comes after the beginning of another one
        const auto service = request.service;
        endWithoutAnswer(state, request, event.reason.value_or(Reason::BackendFailed), actions);
        dispatchService(state, service, actions);
        return;
    }
    actions.emplace_back(Deliver{ .request = forwarding.request, .attempt = event.attempt, .status = event.status });
    removeAndDispatch(state, request, actions);
}

} // namespace detail

} // namespace auburnspread::passthrough
