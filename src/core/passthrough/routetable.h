/// \file
/// Finds the route of a request and the workspace of a key.

#pragma once

#include "core/passthrough/configuration.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnspread::passthrough
{

/// Indexes one configuration; the routes and workspaces live as long as the table.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);

    /// The route of the host whose prefix is the longest that begins the path, or nothing. The port of \p host and the
    /// query of \p path do not count.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const -> const Route *;
    [[nodiscard]] auto findWorkspace(std::string_view key) const -> const Workspace *;
    [[nodiscard]] auto findService(std::string_view name) const -> const Service *;
    /// How many tiers less urgent than that of \p route the routes to its services have.
    [[nodiscard]] auto lessUrgentTiers(const Route &route) const -> int;
    /// Whether routes to its services have more urgent tiers.
    [[nodiscard]] auto hasMoreUrgentTiers(const Route &route) const -> bool;
    [[nodiscard]] auto configuration() const -> const Configuration &;

private:
    Configuration configuration_;
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_; ///< longest prefix first
    std::unordered_map<std::string_view, const Workspace *> workspacesByKey_;
    std::unordered_map<std::string_view, const Service *> services_;
    std::unordered_map<std::string_view, std::set<int>> tiers_; ///< of the routes to a service
};

} // namespace auburnspread::passthrough
