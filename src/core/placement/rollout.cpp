#include "core/placement/rollout.h"

#include <algorithm>

namespace auburnspread::placement
{

namespace
{

auto versionsOf(const configuration::Document &document, const configuration::ModelGrant &grant) -> std::set<std::string>
{
    if (!grant.versions.empty()) {
        return { grant.versions.begin(), grant.versions.end() };
    }
    const auto model = std::ranges::find(document.models, grant.model, &configuration::Model::name);
    return model == document.models.end() ? std::set<std::string>{} : std::set<std::string>{ model->versions.begin(), model->versions.end() };
}

auto adaptersOf(const configuration::Document &document, const configuration::ModelGrant &grant) -> std::vector<std::string>
{
    if (!grant.adapters.empty()) {
        return grant.adapters;
    }
    const auto model = std::ranges::find(document.models, grant.model, &configuration::Model::name);
    return model == document.models.end() ? std::vector<std::string>{} : model->adapters;
}

auto servesModel(const Variants *variants, const std::string &model) -> bool
{
    return variants != nullptr && std::ranges::any_of(*variants, [&](const Variant &variant) { return variant.model == model; });
}

auto modelsOf(const Variants *variants) -> std::vector<std::string>
{
    std::vector<std::string> models;
    if (variants == nullptr) {
        return models;
    }
    for (const auto &variant : *variants) {
        if (models.empty() || models.back() != variant.model) {
            models.push_back(variant.model);
        }
    }
    return models;
}

auto addNeed(Needs &needs, const Need &need) -> void
{
    auto &ofModel = needs[need.model];
    if (std::ranges::find(ofModel, need) == ofModel.end()) {
        ofModel.push_back(need);
    }
}

auto describe(const Need &need) -> std::string
{
    return need.adapter.empty() ? need.model : need.model + " with adapter " + need.adapter;
}

/// A need that only this backend server satisfies and that it would not satisfy while it changes.
auto findUncovered(const Coverage &coverage, const ServerSituation &server, const Variants &kept) -> const Need *
{
    const std::uint32_t self = server.secured ? 1 : 0;
    for (const auto &model : modelsOf(server.usable)) {
        const auto found = coverage.models.find(model);
        if (found == coverage.models.end()) {
            continue;
        }
        for (const auto &[need, servers] : found->second.needs) {
            const bool interrupted = satisfies(*server.usable, *need) && !satisfies(kept, *need);
            if (interrupted && servers <= self) {
                return need;
            }
        }
    }
    return nullptr;
}

/// A model that this backend server would stop serving for a while, of which too many are unavailable already.
struct Overdrawn {
    std::string model;
    bool replacedInPlace = false; ///< the server is to serve another version of it, rather than other models
};

auto findOverdrawn(const RolloutOptions &options, const Coverage &coverage, const ServerSituation &server, const Variants &kept) -> std::optional<Overdrawn>
{
    constexpr std::uint32_t Percent = 100;
    for (const auto &model : modelsOf(server.usable)) {
        const auto found = coverage.models.find(model);
        if (found == coverage.models.end() || servesModel(&kept, model)) {
            continue;
        }
        const bool staysWanted = servesModel(&server.wanted->variants, model);
        const auto self = server.secured || !staysWanted ? 0U : 1U;
        const auto unavailable = found->second.unavailable - self;
        const auto allowed = std::max<std::uint32_t>(1, found->second.wanted * options.unavailablePercent / Percent);
        if (unavailable >= allowed && found->second.wanted > 0) {
            return Overdrawn{ .model = model, .replacedInPlace = staysWanted };
        }
    }
    return std::nullopt;
}

auto countNeeds(Coverage &coverage, const ServerSituation &server) -> void
{
    for (const auto &model : modelsOf(server.usable)) {
        const auto found = coverage.models.find(model);
        if (found == coverage.models.end()) {
            continue;
        }
        for (auto &[need, servers] : found->second.needs) {
            servers += satisfies(*server.usable, *need) ? 1 : 0;
        }
    }
}

auto holdForRollout(const Coverage &coverage, const std::string &model) -> RolloutChoice
{
    const auto &counts = coverage.models.at(model);
    return { .heldFor = Decision::HeldForRollout,
             .detail
             = std::to_string(counts.unavailable) + " of " + std::to_string(counts.wanted) + " backend servers of " + model + " are unavailable already" };
}

/// The wanted state beside the present one, if that adds anything. Nothing is taken away by it.
auto additionOf(const ServerSituation &server) -> std::optional<ServerState>
{
    auto both = unionOf(*server.current, *server.wanted);
    if (server.wanted->role != Role::Serving || both == *server.current) {
        return std::nullopt;
    }
    return both;
}

} // namespace

auto needsOf(const configuration::Document &document) -> Needs
{
    Needs needs;
    for (const auto &requestClass : document.classes) {
        for (const auto &grant : requestClass.models) {
            const auto versions = versionsOf(document, grant);
            addNeed(needs, { grant.model, versions, "" });
            for (const auto &adapter : adaptersOf(document, grant)) {
                addNeed(needs, { grant.model, versions, adapter });
            }
        }
    }
    return needs;
}

auto satisfies(const Variants &variants, const Need &need) -> bool
{
    return std::ranges::any_of(need.versions, [&](const std::string &version) { return variants.contains({ need.model, version, need.adapter }); });
}

auto coverageOf(const Needs &needs, const std::vector<ServerSituation> &servers) -> Coverage
{
    Coverage coverage;
    for (const auto &[model, ofModel] : needs) {
        auto &counts = coverage.models[model];
        for (const auto &need : ofModel) {
            counts.needs.push_back({ .need = &need });
        }
    }
    for (const auto &server : servers) {
        for (const auto &model : modelsOf(&server.wanted->variants)) {
            auto &counts = coverage.models[model];
            ++counts.wanted;
            counts.unavailable += server.secured && servesModel(server.usable, model) ? 0 : 1;
        }
        if (server.secured) {
            countNeeds(coverage, server);
        }
    }
    return coverage;
}

auto chooseTarget(const RolloutOptions &options, const Coverage &coverage, const ServerSituation &server) -> RolloutChoice
{
    if (*server.current == *server.wanted) {
        return { .heldFor = Decision::Converged, .detail = describe(*server.wanted) };
    }
    const auto kept = keptDuring(*server.current, *server.wanted);
    const auto overdrawn = findOverdrawn(options, coverage, server, kept);
    if (overdrawn && overdrawn->replacedInPlace) {
        return holdForRollout(coverage, overdrawn->model);
    }
    // What a model's only backend server, or one of too few, is to load goes beside what it has; the old goes once the
    // new is read back. A replacement in place would leave callers without the model while weights load.
    const auto *uncovered = findUncovered(coverage, server, kept);
    if (overdrawn || uncovered != nullptr) {
        if (auto both = additionOf(server)) {
            return { .target = std::move(both) };
        }
    }
    if (uncovered != nullptr) {
        return { .heldFor = Decision::HeldForCoverage, .detail = "no other backend server serves " + describe(*uncovered) };
    }
    if (overdrawn) {
        return holdForRollout(coverage, overdrawn->model);
    }
    return { .target = *server.wanted };
}

} // namespace auburnspread::placement
