#include "core/passthrough/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Converts the host name to lower case and removes the port, which does not affect routing.
auto normalizeHost(std::string_view host) -> std::string
{
    std::string normal(host.substr(0, host.find(':')));
    std::transform(normal.begin(), normal.end(), normal.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return normal;
}

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto &route : configuration_.routes) {
        routesByHost_[normalizeHost(route.host)].push_back(&route);
        for (const auto &share : route.shares) {
            tiers_[share.service].insert(route.tier);
        }
    }
    for (auto &[host, routes] : routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const auto &workspace : configuration_.workspaces) {
        for (const auto &key : workspace.keys) {
            workspacesByKey_[key] = &workspace;
        }
    }
    for (const auto &service : configuration_.services) {
        services_[service.name] = &service;
    }
}

auto RouteTable::findRoute(std::string_view host, std::string_view path) const -> const Route *
{
    const auto found = routesByHost_.find(normalizeHost(host));
    if (found == routesByHost_.end()) {
        return nullptr;
    }
    const auto plainPath = path.substr(0, path.find('?'));
    const auto begins = [&](const Route *route) { return plainPath.starts_with(route->prefix); };
    const auto match = std::find_if(found->second.begin(), found->second.end(), begins);
    return match == found->second.end() ? nullptr : *match;
}

auto RouteTable::findWorkspace(std::string_view key) const -> const Workspace *
{
    const auto found = workspacesByKey_.find(key);
    return found == workspacesByKey_.end() ? nullptr : found->second;
}

auto RouteTable::findService(std::string_view name) const -> const Service *
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

auto RouteTable::lessUrgentTiers(const Route &route) const -> int
{
    std::set<int> tiers;
    for (const auto &share : route.shares) {
        const auto &ofService = tiers_.at(share.service);
        tiers.insert(ofService.upper_bound(route.tier), ofService.end());
    }
    return static_cast<int>(tiers.size());
}

auto RouteTable::hasMoreUrgentTiers(const Route &route) const -> bool
{
    const auto isMoreUrgent = [&](const Share &share) { return *tiers_.at(share.service).begin() < route.tier; };
    return std::any_of(route.shares.begin(), route.shares.end(), isMoreUrgent);
}

auto RouteTable::configuration() const -> const Configuration &
{
    return configuration_;
}

} // namespace auburnspread::passthrough
