#include "core/configuration/validation.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace auburnspread::configuration
{

namespace
{

using Names = std::set<std::string_view>;

auto itemPath(std::string_view list, std::size_t index) -> std::string
{
    return std::string(list) + "/" + std::to_string(index);
}

auto inQuotes(std::string_view name) -> std::string
{
    return "\"" + std::string(name) + "\"";
}

/// What a model offers, and what the backend servers carry of it.
struct ModelUse {
    const Model *model = nullptr;
    std::set<std::string_view> servedVersions;
    std::set<std::string_view> servedAdapters;
    std::uint64_t concurrency = 0; ///< of the backend servers that carry it
};

class Validator
{
public:
    explicit Validator(const Document &document)
        : document_(document)
    {
    }

    auto run() -> std::vector<Problem>
    {
        collectNames();
        checkModels();
        checkBackendServers();
        checkServices();
        checkClasses();
        checkFloors();
        checkWorkspaces();
        return std::move(problems_);
    }

private:
    auto report(std::string path, std::string text) -> void
    {
        problems_.push_back({ .path = std::move(path), .text = std::move(text) });
    }

    template <typename Item>
    auto collect(const std::vector<Item> &items, std::string_view list, Names &names) -> void
    {
        for (std::size_t index = 0; index < items.size(); ++index) {
            if (!names.insert(items[index].name).second) {
                report(itemPath(list, index) + "/name", inQuotes(items[index].name) + " stands twice; names must differ");
            }
        }
    }

    auto collectNames() -> void
    {
        collect(document_.failureDomains, "/failure_domains", failureDomains_);
        collect(document_.models, "/models", models_);
        collect(document_.classes, "/classes", classes_);
        auto workspaces = Names();
        collect(document_.workspaces, "/workspaces", workspaces);
        auto services = Names();
        collect(document_.services, "/services", services);
        requireItem(document_.failureDomains.empty(), "/failure_domains");
        requireItem(document_.classes.empty(), "/classes");
        requireItem(document_.workspaces.empty(), "/workspaces");
    }

    auto requireItem(bool empty, std::string_view path) -> void
    {
        if (empty) {
            report(std::string(path), "expected at least one item");
        }
    }

    auto checkUnique(const std::vector<std::string> &names, const std::string &path) -> void
    {
        auto seen = Names();
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (!seen.insert(names[index]).second) {
                report(itemPath(path, index), inQuotes(names[index]) + " stands twice");
            }
        }
    }

    auto checkReference(const Names &names, const std::string &name, const std::string &path, std::string_view kind) -> bool
    {
        const auto known = names.contains(name);
        // An empty name was reported when it was read.
        if (!known && !name.empty()) {
            report(path, "no " + std::string(kind) + " is named " + inQuotes(name));
        }
        return known;
    }

    /// Each of \p names must be one that the model offers.
    auto checkOffered(const std::vector<std::string> &names, const std::vector<std::string> &offered, const std::string &path, const std::string &what) -> void
    {
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (std::ranges::find(offered, names[index]) == offered.end()) {
                report(itemPath(path, index), what + " has no " + inQuotes(names[index]));
            }
        }
    }

    auto checkModels() -> void
    {
        for (std::size_t index = 0; index < document_.models.size(); ++index) {
            const auto &model = document_.models[index];
            const auto path = itemPath("/models", index);
            requireItem(model.versions.empty(), path + "/versions");
            checkUnique(model.versions, path + "/versions");
            checkUnique(model.adapters, path + "/adapters");
            uses_[model.name].model = &model;
        }
    }

    /// Engines and plain services share one space of names and addresses: orders such as drain go by name, and two
    /// servers at one address would be counted as two capacities.
    template <typename Server>
    auto checkServer(const Server &server, const std::string &path) -> void
    {
        if (!server.name.empty() && !serverNames_.insert(server.name).second) {
            report(path + "/name", inQuotes(server.name) + " names two servers; names must differ");
        }
        if (!server.address.empty() && !addresses_.insert(server.address).second) {
            report(path + "/address", inQuotes(server.address) + " is the address of another server too");
        }
        checkReference(failureDomains_, server.failureDomain, path + "/failure_domain", "failure domain");
    }

    auto checkBackendServers() -> void
    {
        for (std::size_t index = 0; index < document_.backendServers.size(); ++index) {
            const auto &server = document_.backendServers[index];
            const auto path = itemPath("/backend_servers", index);
            checkServer(server, path);
            checkServedModels(server, path + "/models");
        }
    }

    auto checkServedModels(const BackendServer &server, const std::string &path) -> void
    {
        auto seen = std::set<std::pair<std::string_view, std::string_view>>();
        auto counted = Names();
        for (std::size_t index = 0; index < server.models.size(); ++index) {
            const auto &served = server.models[index];
            const auto servedPath = itemPath(path, index);
            if (!seen.emplace(served.model, served.version).second) {
                report(servedPath, inQuotes(served.model) + " in version " + inQuotes(served.version) + " stands twice");
            }
            checkUnique(served.adapters, servedPath + "/adapters");
            if (!checkReference(models_, served.model, servedPath + "/model", "model")) {
                continue;
            }
            recordServedModel(served, servedPath);
            if (counted.insert(served.model).second) {
                uses_[served.model].concurrency += server.concurrency;
            }
        }
    }

    auto recordServedModel(const ServedModel &served, const std::string &path) -> void
    {
        auto &use = uses_[served.model];
        const auto &versions = use.model->versions;
        if (!served.version.empty() && std::ranges::find(versions, served.version) == versions.end()) {
            report(path + "/version", "model " + inQuotes(served.model) + " has no version " + inQuotes(served.version));
        }
        checkOffered(served.adapters, use.model->adapters, path + "/adapters", "the adapter list of model " + inQuotes(served.model));
        use.servedVersions.insert(served.version);
        use.servedAdapters.insert(served.adapters.begin(), served.adapters.end());
    }

    auto checkServices() -> void
    {
        for (std::size_t index = 0; index < document_.services.size(); ++index) {
            const auto &service = document_.services[index];
            const auto path = itemPath("/services", index);
            requireItem(service.servers.empty(), path + "/servers");
            for (std::size_t server = 0; server < service.servers.size(); ++server) {
                checkServer(service.servers[server], itemPath(path + "/servers", server));
            }
            checkCalls(service, path + "/calls");
        }
    }

    auto checkCalls(const Service &service, const std::string &path) -> void
    {
        auto seen = std::set<std::pair<std::string_view, std::string_view>>();
        for (std::size_t index = 0; index < service.calls.size(); ++index) {
            const auto &call = service.calls[index];
            if (!seen.emplace(call.method, call.pathPrefix).second) {
                report(itemPath(path, index), call.method + " " + inQuotes(call.pathPrefix) + " stands twice");
            }
        }
    }

    auto checkClasses() -> void
    {
        for (std::size_t index = 0; index < document_.classes.size(); ++index) {
            const auto &requestClass = document_.classes[index];
            const auto path = itemPath("/classes", index);
            if (requestClass.firstTokenTarget > requestClass.answerTarget) {
                report(path + "/first_token_ms", "exceeds answer_ms, the target for the whole answer");
            }
            if (requestClass.starvationBound > requestClass.answerTarget) {
                report(path + "/starvation_bound_ms", "exceeds answer_ms: no request would wait that long");
            }
            checkGrants(requestClass, path + "/models");
        }
    }

    auto checkGrants(const RequestClass &requestClass, const std::string &path) -> void
    {
        auto seen = Names();
        for (std::size_t index = 0; index < requestClass.models.size(); ++index) {
            const auto &grant = requestClass.models[index];
            const auto grantPath = itemPath(path, index);
            if (!seen.insert(grant.model).second) {
                report(grantPath + "/model", inQuotes(grant.model) + " stands twice");
            }
            checkUnique(grant.versions, grantPath + "/versions");
            checkUnique(grant.adapters, grantPath + "/adapters");
            if (checkReference(models_, grant.model, grantPath + "/model", "model")) {
                checkGrant(grant, grantPath);
            }
        }
    }

    auto checkGrant(const ModelGrant &grant, const std::string &path) -> void
    {
        const auto &use = uses_[grant.model];
        const auto name = inQuotes(grant.model);
        checkOffered(grant.versions, use.model->versions, path + "/versions", "the version list of model " + name);
        checkOffered(grant.adapters, use.model->adapters, path + "/adapters", "the adapter list of model " + name);
        if (use.servedVersions.empty()) {
            report(path + "/model", "no backend server serves model " + name);
            return;
        }
        checkServed(grant.versions, use.servedVersions, path + "/versions", "no backend server serves model " + name + " in version ");
        checkServed(grant.adapters, use.servedAdapters, path + "/adapters", "no backend server serves model " + name + " with adapter ");
        const auto *const fallback = use.model->versions.empty() ? nullptr : &use.model->versions.front();
        if (grant.versions.empty() && fallback != nullptr && !use.servedVersions.contains(*fallback)) {
            report(path + "/model", "no backend server serves model " + name + " in its default version " + inQuotes(*fallback));
        }
    }

    auto checkServed(const std::vector<std::string> &names, const Names &served, const std::string &path, const std::string &text) -> void
    {
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (!served.contains(names[index])) {
                report(itemPath(path, index), text + inQuotes(names[index]));
            }
        }
    }

    /// Floor slots are taken out of a model's concurrency. If the classes of one model asked for more than it has,
    /// starved requests of low tiers could take all of it from the higher ones.
    auto checkFloors() -> void
    {
        auto floors = std::map<std::string_view, std::uint64_t>();
        for (std::size_t index = 0; index < document_.classes.size(); ++index) {
            const auto &requestClass = document_.classes[index];
            for (const auto &grant : requestClass.models) {
                const auto &use = uses_[grant.model];
                floors[grant.model] += requestClass.floorSlots;
                if (use.concurrency > 0 && floors[grant.model] > use.concurrency) {
                    report(itemPath("/classes", index) + "/floor_slots",
                           "with the classes before it " + std::to_string(floors[grant.model]) + " floor slots on model " + inQuotes(grant.model)
                               + ", whose backend servers take " + std::to_string(use.concurrency) + " requests");
                }
            }
        }
    }

    auto checkWorkspaces() -> void
    {
        for (std::size_t index = 0; index < document_.workspaces.size(); ++index) {
            const auto &workspace = document_.workspaces[index];
            const auto path = itemPath("/workspaces", index);
            requireItem(workspace.classes.empty(), path + "/classes");
            checkUnique(workspace.classes, path + "/classes");
            for (std::size_t used = 0; used < workspace.classes.size(); ++used) {
                checkReference(classes_, workspace.classes[used], itemPath(path + "/classes", used), "class");
            }
            checkRate(workspace.requestsPerSecond, workspace.requestBurst, path, "requests_per_second", "request_burst");
            checkRate(workspace.tokensPerSecond, workspace.tokenBurst, path, "tokens_per_second", "token_burst");
        }
    }

    /// A rate without a burst would let nothing pass; a burst without a rate limits nothing.
    auto checkRate(std::uint32_t rate, std::uint32_t burst, const std::string &path, const std::string &rateKey, const std::string &burstKey) -> void
    {
        if (rate > 0 && burst == 0) {
            report(path + "/" + burstKey, "expected at least 1, because " + rateKey + " is set");
        }
        if (rate == 0 && burst > 0) {
            report(path + "/" + burstKey, "has no effect without " + rateKey);
        }
    }

    const Document &document_;
    std::vector<Problem> problems_;
    Names failureDomains_;
    Names models_;
    Names classes_;
    Names serverNames_;
    Names addresses_;
    std::map<std::string_view, ModelUse> uses_;
};

} // namespace

auto validateReferences(const Document &document) -> std::vector<Problem>
{
    return Validator(document).run();
}

} // namespace auburnspread::configuration
