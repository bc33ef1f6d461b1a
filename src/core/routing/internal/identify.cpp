#include "core/routing/internal/identify.h"

#include "core/routing/internal/catalog.h"

#include <algorithm>

namespace auburnspread::routing
{

namespace
{

using configuration::ModelGrant;

auto contains(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// An empty list grants all that the model has.
auto isGranted(const std::vector<std::string> &granted, const std::string &name) -> bool
{
    return granted.empty() || contains(granted, name);
}

auto findGrant(const configuration::RequestClass &definition, const std::string &model) -> const ModelGrant *
{
    const auto place = std::find_if(definition.models.begin(), definition.models.end(), [&](const auto &grant) { return grant.model == model; });
    return place == definition.models.end() ? nullptr : &*place;
}

auto defaultVersion(const configuration::Model &model, const ModelGrant &grant) -> std::string
{
    for (const auto &version : model.versions) {
        if (isGranted(grant.versions, version)) {
            return version;
        }
    }
    return {};
}

auto identifyModel(RouterState &state, const RequestArrived &call, const configuration::RequestClass &definition) -> std::variant<RouteKey, Reason>
{
    const auto &grants = definition.models;
    if (call.model.empty() && grants.empty()) {
        return Reason::UnknownModel;
    }
    const auto &name = call.model.empty() ? grants.front().model : call.model;
    const auto model = state.models.find(name);
    if (model == state.models.end()) {
        return Reason::UnknownModel;
    }
    const auto *grant = findGrant(definition, name);
    if (grant == nullptr) {
        return Reason::ForbiddenVersion;
    }
    const auto version = call.version.empty() ? defaultVersion(*model->second, *grant) : call.version;
    if (!contains(model->second->versions, version) || !isGranted(grant->versions, version)) {
        return Reason::ForbiddenVersion;
    }
    if (!call.adapter.empty() && (!contains(model->second->adapters, call.adapter) || !isGranted(grant->adapters, call.adapter))) {
        return Reason::ForbiddenVersion;
    }
    return RouteKey{ .kind = CallKind::Chat, .name = name, .version = version, .adapter = call.adapter };
}

auto startsWith(const std::string &text, const std::string &prefix) -> bool
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

/// The longest matching prefix decides; a call that no entry matches is not repeatable.
auto tableSaysRepeatable(const configuration::Service &service, const RequestArrived &call) -> bool
{
    const configuration::ServiceCall *best = nullptr;
    for (const auto &entry : service.calls) {
        if (entry.method != call.method || !startsWith(call.path, entry.pathPrefix)) {
            continue;
        }
        if (best == nullptr || entry.pathPrefix.size() > best->pathPrefix.size()) {
            best = &entry;
        }
    }
    return best != nullptr && best->repeatable;
}

} // namespace

auto identify(RouterState &state, const RequestArrived &call) -> std::variant<Identified, Reason>
{
    if (!state.adopted) {
        return Reason::NoConfiguration;
    }
    const auto workspace = state.workspaces.find(call.workspace);
    if (workspace == state.workspaces.end() || !workspace->second.inDocument) {
        return Reason::UnknownWorkspace;
    }
    const auto requestClass = state.classes.find(call.requestClass);
    if (requestClass == state.classes.end() || !requestClass->second.inDocument) {
        return Reason::UnknownClass;
    }
    if (!contains(workspace->second.definition.classes, call.requestClass)) {
        return Reason::ForbiddenClass;
    }
    Identified identified{ .requestClass = &requestClass->second, .workspace = &workspace->second };
    if (call.kind == CallKind::Service) {
        const auto service = state.services.find(call.service);
        if (service == state.services.end()) {
            return Reason::UnknownService;
        }
        identified.route = findRoute(state, { .kind = CallKind::Service, .name = call.service });
        // The operators' table says what a repeat would do; a caller may only be stricter.
        identified.repeatable = tableSaysRepeatable(*service->second, call) && call.repeatable.value_or(true);
        return identified;
    }
    const auto route = identifyModel(state, call, requestClass->second.definition);
    if (const auto *reason = std::get_if<Reason>(&route)) {
        return *reason;
    }
    identified.route = findRoute(state, std::get<RouteKey>(route));
    identified.repeatable = call.repeatable.value_or(requestClass->second.definition.repeatable);
    return identified;
}

} // namespace auburnspread::routing
