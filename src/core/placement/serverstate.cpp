#include "core/placement/serverstate.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace auburnspread::placement
{

namespace
{

constexpr auto Roles = std::to_array<NamedValue<Role>>({
    { Role::Serving, "serving" },
    { Role::Idle, "idle" },
    { Role::Unknown, "unknown" },
});

} // namespace

auto roleName(Role role) -> std::string_view
{
    return findName(Roles, role);
}

auto roleFromName(std::string_view name) -> Role
{
    return findValue(Roles, name).value_or(Role::Unknown);
}

auto variantsOf(const std::vector<configuration::ServedModel> &models) -> Variants
{
    Variants variants;
    for (const auto &served : models) {
        variants.insert({ served.model, served.version, "" });
        for (const auto &adapter : served.adapters) {
            variants.insert({ served.model, served.version, adapter });
        }
    }
    return variants;
}

auto servedModelsOf(const Variants &variants) -> std::vector<configuration::ServedModel>
{
    std::vector<configuration::ServedModel> models;
    for (const auto &variant : variants) {
        const bool isNew = models.empty() || models.back().model != variant.model || models.back().version != variant.version;
        if (isNew) {
            models.push_back({ .model = variant.model, .version = variant.version, .adapters = {} });
        }
        if (!variant.adapter.empty()) {
            models.back().adapters.push_back(variant.adapter);
        }
    }
    return models;
}

auto wantedState(const configuration::BackendServer &server) -> ServerState
{
    return { .role = server.models.empty() ? Role::Idle : Role::Serving, .variants = variantsOf(server.models) };
}

auto keptDuring(const ServerState &from, const ServerState &to) -> Variants
{
    Variants kept;
    if (from.role != Role::Serving || to.role != Role::Serving) {
        return kept;
    }
    std::set_intersection(from.variants.begin(), from.variants.end(), to.variants.begin(), to.variants.end(), std::inserter(kept, kept.end()));
    return kept;
}

auto needsWeights(const ServerState &from, const ServerState &to) -> bool
{
    return !std::includes(from.variants.begin(), from.variants.end(), to.variants.begin(), to.variants.end());
}

auto unionOf(const ServerState &from, const ServerState &to) -> ServerState
{
    auto both = from;
    both.variants.insert(to.variants.begin(), to.variants.end());
    return both;
}

auto describe(const ServerState &state) -> std::string
{
    std::string text(roleName(state.role));
    for (const auto &[model, version, adapter] : state.variants) {
        text += ' ';
        text += model;
        text += ':';
        text += version;
        if (!adapter.empty()) {
            text += ':';
            text += adapter;
        }
    }
    return text;
}

} // namespace auburnspread::placement
