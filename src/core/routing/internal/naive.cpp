#include "core/routing/internal/naive.h"

#include "core/routing/internal/arriving.h"
#include "core/routing/internal/ending.h"
#include "core/routing/internal/placing.h"

namespace auburnspread::routing
{

namespace
{

constexpr std::uint32_t MostRetries = 3;

auto nextInTurn(RouterState &state, Route &route) -> std::optional<ServerIndex>
{
    for (std::size_t tried = 0; tried < route.servers.size(); ++tried) {
        const auto server = route.servers.at(route.turn % route.servers.size());
        route.turn += 1;
        if (!balancing::viewServer(*state.balancing, server).leaving) {
            return server;
        }
    }
    return std::nullopt;
}

auto placeNaively(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto server = nextInTurn(state, routeOf(state, request.route));
    if (!server) {
        refuse(state, request, { .reason = Reason::NoBackendServer, .step = "choose" }, actions);
        return;
    }
    place(state, request, { .server = *server }, actions);
}

} // namespace

auto acceptNaively(RouterState &state, const RequestArrived &call, const Identified &identified, Actions &actions) -> void
{
    identified.workspace->usage.open += 1;
    auto &request = admitRequest(state, call, identified);
    request.stage = Stage::Placed;
    placeNaively(state, request, actions);
}

auto retryNaively(RouterState &state, Request &request, Failure failure, Actions &actions) -> void
{
    const auto peer = request.tried.back().name;
    if (request.relayed > 0) {
        refuse(state, request, { .reason = Reason::StreamBroken, .step = "relay", .peer = peer }, actions);
        return;
    }
    if (request.retries >= MostRetries) {
        refuse(state, request, { .reason = Reason::BackendFailed, .step = "relay", .peer = peer }, actions);
        return;
    }
    request.retries += 1;
    actions.emplace_back(Retried{ .request = request.call.request, .failure = failure });
    placeNaively(state, request, actions);
}

} // namespace auburnspread::routing
