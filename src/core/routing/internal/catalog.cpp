#include "core/routing/internal/catalog.h"

#include "core/routing/internal/ending.h"
#include "core/routing/internal/identify.h"
#include "core/routing/internal/waiting.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

using configuration::BackendServer;
using configuration::Document;
using configuration::ServedModel;

auto serves(const ServedModel &served, const RouteKey &key) -> bool
{
    if (served.model != key.name || served.version != key.version) {
        return false;
    }
    return key.adapter.empty() || std::find(served.adapters.begin(), served.adapters.end(), key.adapter) != served.adapters.end();
}

auto fits(const BackendServer &server, const RouteKey &key) -> bool
{
    return std::any_of(server.models.begin(), server.models.end(), [&](const auto &served) { return serves(served, key); });
}

auto connect(RouterState &state, RouteId route, const std::string &name, bool canResume) -> void
{
    const auto server = balancing::findServer(*state.balancing, name);
    if (!server) {
        return;
    }
    routeOf(state, route).servers.push_back(*server);
    state.routesOfServer[*server].push_back(route);
    if (!canResume) {
        routeOf(state, route).cannotResume.push_back(*server);
    }
}

auto connectService(RouterState &state, RouteId route, const std::string &name) -> void
{
    const auto service = state.services.find(name);
    if (service == state.services.end()) {
        return;
    }
    for (const auto &server : service->second->servers) {
        connect(state, route, server.name, false);
    }
}

/// Finds the backend servers that fit; once for each route and document.
auto connectRoute(RouterState &state, RouteId route) -> void
{
    const auto key = routeOf(state, route).key;
    if (key.kind == CallKind::Service) {
        connectService(state, route, key.name);
        return;
    }
    for (const auto &server : state.adopted->document.backendServers) {
        if (fits(server, key)) {
            connect(state, route, server.name, server.canResume);
        }
    }
}

auto reconnectRoutes(RouterState &state) -> void
{
    state.routesOfServer.clear();
    for (std::size_t index = 0; index < state.routes.size(); ++index) {
        state.routes.at(index).servers.clear();
        state.routes.at(index).cannotResume.clear();
        connectRoute(state, static_cast<RouteId>(index));
    }
}

auto adoptClasses(RouterState &state, const Document &document) -> void
{
    for (auto &[name, requestClass] : state.classes) {
        requestClass.inDocument = false;
    }
    for (const auto &definition : document.classes) {
        const auto [place, isNew] = state.classes.try_emplace(definition.name);
        auto &requestClass = place->second;
        if (isNew) {
            state.lastClass += 1;
            requestClass.id = static_cast<ClassId>(state.lastClass);
            state.classesById[requestClass.id] = &requestClass;
        }
        requestClass.definition = definition;
        requestClass.inDocument = true;
        queueing::setClass(
            state.queue,
            requestClass.id,
            { .tier = definition.tier, .weight = definition.weight, .reservedPlaces = definition.floorSlots, .starvationBound = definition.starvationBound });
    }
}

auto tiersOf(const RouterState &state, const configuration::Workspace &workspace) -> limits::TierSet
{
    limits::TierSet tiers = 0;
    for (const auto &name : workspace.classes) {
        const auto requestClass = state.classes.find(name);
        if (requestClass != state.classes.end()) {
            tiers = limits::addTier(tiers, requestClass->second.definition.tier);
        }
    }
    return tiers;
}

auto adoptWorkspaces(RouterState &state, const Document &document) -> void
{
    for (auto &[name, workspace] : state.workspaces) {
        workspace.inDocument = false;
    }
    for (const auto &definition : document.workspaces) {
        const auto [place, isNew] = state.workspaces.try_emplace(definition.name);
        auto &workspace = place->second;
        if (isNew) {
            state.lastWorkspace += 1;
            workspace.id = static_cast<WorkspaceId>(state.lastWorkspace);
        }
        workspace.definition = definition;
        workspace.tiers = tiersOf(state, definition);
        workspace.inDocument = true;
    }
    const auto isGone = [](const WorkspaceState &workspace) { return !workspace.inDocument && workspace.usage.open == 0; };
    std::erase_if(state.activeWorkspaces, [&](const auto &entry) { return isGone(*entry.second); });
    std::erase_if(state.workspaces, [&](const auto &entry) { return isGone(entry.second); });
}

auto adoptNames(RouterState &state, const Document &document) -> void
{
    state.models.clear();
    for (const auto &model : document.models) {
        state.models.emplace(model.name, &model);
    }
    state.services.clear();
    for (const auto &service : document.services) {
        state.services.emplace(service.name, &service);
    }
}

/// What waits is taken out before the change and goes back in, in order of arrival, after it.
auto takeOutWaiting(RouterState &state) -> std::vector<RequestId>
{
    std::vector<std::pair<std::uint64_t, RequestId>> waiting;
    for (auto &[id, request] : state.requests) {
        if (request.stage != Stage::Placed && !stayWithAttempts(state, request)) {
            waiting.emplace_back(request.order, id);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    std::vector<RequestId> ids;
    for (const auto &[order, id] : waiting) {
        leaveWaiting(state, state.requests.at(id));
        ids.push_back(id);
    }
    return ids;
}

auto checkAgain(RouterState &state, RequestId id, Actions &actions) -> void
{
    auto &request = state.requests.at(id);
    auto identified = identify(state, request.call);
    if (const auto *reason = std::get_if<Reason>(&identified)) {
        refuse(state, request, { .reason = *reason, .step = "configure" }, actions);
        return;
    }
    request.route = std::get<Identified>(identified).route;
    waitForSlot(state, request, actions);
}

} // namespace

auto findRoute(RouterState &state, const RouteKey &key) -> RouteId
{
    const auto [place, isNew] = state.routeIds.try_emplace(key, static_cast<RouteId>(state.routes.size()));
    if (isNew) {
        state.routes.push_back({ .key = key });
        connectRoute(state, place->second);
    }
    return place->second;
}

auto adoptConfiguration(RouterState &state, const ConfigurationAdopted &event, Actions &actions) -> void
{
    if (!event.configuration || (state.adopted && event.configuration->version <= state.adopted->version)) {
        return;
    }
    const auto waiting = takeOutWaiting(state);
    state.adopted = event.configuration;
    const auto &document = state.adopted->document;
    adoptNames(state, document);
    adoptClasses(state, document);
    adoptWorkspaces(state, document);
    balancing::adopt(*state.balancing, document, state.now);
    quarantine::setLimits(state.quarantine, document.limits.quarantineExpiry, document.limits.quarantineEntries);
    reconnectRoutes(state);
    for (const auto id : waiting) {
        checkAgain(state, id, actions);
    }
}

} // namespace auburnspread::routing
