/// \file
/// What a backend server has loaded, or should have: a role and a set of (model, version, adapter).

#pragma once

#include "core/base/nametable.h"
#include "core/configuration/document.h"

#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace auburnspread::placement
{

enum class Role {
    Serving,
    Idle,    ///< takes no requests and has nothing loaded
    Unknown, ///< the backend server reports a role that this program does not know
};

auto roleName(Role role) -> std::string_view;
/// \c Role::Unknown for a name that is not in the table.
auto roleFromName(std::string_view name) -> Role;

/// One thing that a request can name: a model's version alone (no adapter) or with one of its adapters.
struct Variant {
    std::string model;
    std::string version;
    std::string adapter; ///< empty: the version alone

    auto operator==(const Variant &) const -> bool = default;
    auto operator<(const Variant &other) const -> bool
    {
        return std::tie(model, version, adapter) < std::tie(other.model, other.version, other.adapter);
    }
};

using Variants = std::set<Variant>;

struct ServerState {
    Role role = Role::Idle;
    Variants variants;

    auto operator==(const ServerState &) const -> bool = default;
};

auto variantsOf(const std::vector<configuration::ServedModel> &models) -> Variants;
/// The same as a list of models with their adapters, sorted: the form of an order's body.
auto servedModelsOf(const Variants &variants) -> std::vector<configuration::ServedModel>;

/// The state that the document wants \p server to have.
auto wantedState(const configuration::BackendServer &server) -> ServerState;

/// What stays usable while a backend server goes from \p from to \p to: what both have.
auto keptDuring(const ServerState &from, const ServerState &to) -> Variants;

/// Whether going from \p from to \p to reads weights from the weight store.
auto needsWeights(const ServerState &from, const ServerState &to) -> bool;

/// Everything of both: the state that loads what is new before anything is taken away.
auto unionOf(const ServerState &from, const ServerState &to) -> ServerState;

/// For logs: "quote-7b:1, quote-7b:1:tile".
auto describe(const ServerState &state) -> std::string;

} // namespace auburnspread::placement
