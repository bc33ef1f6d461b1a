/// \file
/// What an engine was ordered to serve: its role, models, versions and adapters, and the fencing number of the order.

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::standins
{

struct ServedModel {
    std::string model;
    std::string version;
    std::set<std::string> adapters;
    bool loaded = false;
    bool loading = false; ///< its weights have been asked for; a repeated order does not ask again
};

struct WantedState {
    std::uint64_t fence = 0;
    std::string role = "serving";
    bool anyModel = true; ///< no list of models was given yet: every model is served
    std::vector<ServedModel> models;
};

/// Reads `name:version`, `name:version:adapter`, ... separated by commas; all are loaded.
/// \throws std::invalid_argument
auto parseModels(std::string_view text) -> std::vector<ServedModel>;

/// Takes an order over. Models that are loaded already stay so; the others are to be loaded.
/// \throws nlohmann::json::exception if a member lacks or has the wrong type.
auto applyOrder(WantedState &state, const nlohmann::json &order) -> void;

/// Marks a model loaded, if it is still wanted.
auto markLoaded(WantedState &state, std::string_view model, std::string_view version) -> void;

/// Whether a request for \p model (`name`, `name:version` or `name:version:adapter`) can run.
auto serves(const WantedState &state, std::string_view model) -> bool;

auto toJson(const WantedState &state) -> nlohmann::json;

} // namespace auburnspread::standins
