#include "core/routing/internal/choosing.h"

#include <algorithm>
#include <string_view>

namespace auburnspread::routing
{

namespace
{

/// What a request must or would rather avoid.
struct Avoided {
    std::vector<ServerIndex> servers;
    std::vector<std::string_view> failureDomains;
};

auto avoidedBy(RouterState &state, const Request &request) -> Avoided
{
    Avoided avoided;
    for (const auto &tried : request.tried) {
        // By name: a server that left the document and came back is another index, and no other server.
        if (const auto server = balancing::findServer(*state.balancing, tried.name)) {
            avoided.servers.push_back(*server);
        }
        avoided.failureDomains.emplace_back(tried.failureDomain);
    }
    for (const auto id : request.attempts) {
        const auto &attempt = state.attempts.at(id);
        avoided.servers.push_back(attempt.server);
        if (attempt.isSilent) {
            avoided.failureDomains.emplace_back(attempt.failureDomain);
        }
    }
    if (resumeOffsetOf(request) > 0) {
        const auto &cannotResume = routeOf(state, request.route).cannotResume;
        avoided.servers.insert(avoided.servers.end(), cannotResume.begin(), cannotResume.end());
    }
    return avoided;
}

auto isUsable(const balancing::ServerView &server) -> bool
{
    return server.inDocument && !server.leaving && server.health != balancing::Health::Ejected;
}

auto contains(const std::vector<ServerIndex> &servers, ServerIndex server) -> bool
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

/// The named server, if it has a free slot.
auto takeOnly(RouterState &state, const std::string &name) -> std::optional<ServerIndex>
{
    const auto server = balancing::findServer(*state.balancing, name);
    if (!server) {
        return std::nullopt;
    }
    const auto view = balancing::viewServer(*state.balancing, *server);
    return isUsable(view) && view.inFlight < view.limit ? server : std::nullopt;
}

} // namespace

auto queryOf(const Route &route) -> balancing::Query
{
    if (route.key.kind == CallKind::Service) {
        return { .service = route.key.name };
    }
    return { .model = route.key.name, .version = route.key.version, .adapter = route.key.adapter };
}

auto attemptQuery(RouterState &state, const Request &request, bool alone) -> balancing::Query
{
    auto query = queryOf(routeOf(state, request.route));
    query.prefixHash = request.call.prefixHash;
    query.tier = request.requestClass->definition.tier;
    query.quietOnly = alone;
    return query;
}

auto chooseServer(RouterState &state, const Request &request, const Constraint &constraint) -> std::optional<ServerIndex>
{
    const auto avoided = avoidedBy(state, request);
    if (!constraint.onlyServer.empty()) {
        const auto only = takeOnly(state, constraint.onlyServer);
        return only && !contains(avoided.servers, *only) ? only : std::nullopt;
    }
    auto query = attemptQuery(state, request, constraint.quietOnly);
    query.avoidServers = avoided.servers;
    query.avoidFailureDomains = avoided.failureDomains;
    return balancing::chooseServer(*state.balancing, query, state.now);
}

auto canEverRun(RouterState &state, const Request &request) -> bool
{
    const auto &route = routeOf(state, request.route);
    const auto usable = balancing::countServers(*state.balancing, queryOf(route));
    if (request.tried.empty() && request.attempts.empty() && request.relayed == 0) {
        return usable > 0;
    }
    const auto avoided = avoidedBy(state, request).servers;
    return std::any_of(route.servers.begin(), route.servers.end(), [&](ServerIndex server) {
        return !contains(avoided, server) && isUsable(balancing::viewServer(*state.balancing, server));
    });
}

auto freeSlots(RouterState &state, RouteId route) -> std::uint32_t
{
    return balancing::freeSlots(*state.balancing, queryOf(routeOf(state, route)));
}

} // namespace auburnspread::routing
