#include "standins/engine/wantedstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace auburnspread::standins
{

namespace
{

struct ModelReference {
    std::string_view model;
    std::string_view version;
    std::string_view adapter;
};

auto takeUntil(std::string_view &text, char separator) -> std::string_view
{
    const auto end = std::min(text.find(separator), text.size());
    const auto part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

auto parseReference(std::string_view text) -> ModelReference
{
    ModelReference reference;
    reference.model = takeUntil(text, ':');
    reference.version = takeUntil(text, ':');
    reference.adapter = text;
    return reference;
}

auto findModel(std::vector<ServedModel> &models, std::string_view model, std::string_view version) -> ServedModel *
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const auto &entry) { return entry.model == model && entry.version == version; });
    return found == models.end() ? nullptr : &*found;
}

auto matches(const ServedModel &model, const ModelReference &reference) -> bool
{
    if (!model.loaded || model.model != reference.model) {
        return false;
    }
    if (!reference.version.empty() && model.version != reference.version) {
        return false;
    }
    return reference.adapter.empty() || model.adapters.contains(std::string(reference.adapter));
}

} // namespace

auto parseModels(std::string_view text) -> std::vector<ServedModel>
{
    std::vector<ServedModel> models;
    while (!text.empty()) {
        const auto reference = parseReference(takeUntil(text, ','));
        if (reference.model.empty() || reference.version.empty()) {
            throw std::invalid_argument("a model is name:version or name:version:adapter");
        }
        auto *model = findModel(models, reference.model, reference.version);
        if (model == nullptr) {
            model = &models.emplace_back(
                ServedModel{ .model = std::string(reference.model), .version = std::string(reference.version), .adapters = {}, .loaded = true });
        }
        if (!reference.adapter.empty()) {
            model->adapters.emplace(reference.adapter);
        }
    }
    return models;
}

auto applyOrder(WantedState &state, const nlohmann::json &order) -> void
{
    std::vector<ServedModel> models;
    for (const auto &entry : order.at("models")) {
        ServedModel model{ .model = entry.at("model").get<std::string>(), .version = entry.at("version").get<std::string>() };
        if (entry.contains("adapters")) {
            entry.at("adapters").get_to(model.adapters);
        }
        const auto *before = findModel(state.models, model.model, model.version);
        model.loaded = before != nullptr && before->loaded;
        model.loading = before != nullptr && before->loading;
        models.push_back(std::move(model));
    }
    order.at("fence").get_to(state.fence);
    order.at("role").get_to(state.role);
    state.models = std::move(models);
    state.anyModel = false;
}

auto markLoaded(WantedState &state, std::string_view model, std::string_view version) -> void
{
    if (auto *wanted = findModel(state.models, model, version)) {
        wanted->loaded = true;
    }
}

auto serves(const WantedState &state, std::string_view model) -> bool
{
    if (state.role != "serving") {
        return false;
    }
    if (state.anyModel) {
        return true;
    }
    const auto reference = parseReference(model);
    return std::any_of(state.models.begin(), state.models.end(), [&](const auto &entry) { return matches(entry, reference); });
}

auto toJson(const WantedState &state) -> nlohmann::json
{
    auto loaded = nlohmann::json::array();
    auto loading = nlohmann::json::array();
    for (const auto &model : state.models) {
        auto &list = model.loaded ? loaded : loading;
        list.push_back({ { "model", model.model }, { "version", model.version }, { "adapters", model.adapters } });
    }
    return { { "fence", state.fence }, { "role", state.role }, { "models", loaded }, { "loading", loading } };
}

} // namespace auburnspread::standins
