/// \file
/// Lookup of the route of a request and of the workspace of a key.

#pragma once

#include "core/passthrough/configuration.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnspread::passthrough
{

/// Index of one configuration. Returned routes, workspaces and services are valid as long as the table exists.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);

    /// Finds the route of the host with the longest prefix that matches the path. The port of \p host and the query of
    /// \p path are ignored.
    /// \return null if no route matches
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const -> const Route *;
    [[nodiscard]] auto findWorkspace(std::string_view key) const -> const Workspace *;
    [[nodiscard]] auto findService(std::string_view name) const -> const Service *;
    /// Number of different less urgent tiers among the routes that share a service with \p route.
    [[nodiscard]] auto lessUrgentTiers(const Route &route) const -> int;
    /// Whether a route that shares a service with \p route has a more urgent tier.
    [[nodiscard]] auto hasMoreUrgentTiers(const Route &route) const -> bool;
    [[nodiscard]] auto configuration() const -> const Configuration &;

private:
    Configuration configuration_;
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_; ///< longest prefix first
    std::unordered_map<std::string_view, const Workspace *> workspacesByKey_;
    std::unordered_map<std::string_view, const Service *> services_;
    std::unordered_map<std::string_view, std::set<int>> tiers_; ///< tiers of the routes to a service
};

} // namespace auburnspread::passthrough
