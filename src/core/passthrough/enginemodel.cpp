#include "core/passthrough/enginemodel.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

/// The fixed limits allow this much work ahead of each request.
constexpr Duration MinTargetOfFixedLimits = std::chrono::milliseconds(300);

auto sendsTo(const Route &route, const std::string &service) -> bool
{
    return std::any_of(route.shares.begin(), route.shares.end(), [&service](const Share &share) { return share.service == service; });
}

} // namespace

auto usesEngineModel(const Configuration &configuration, const std::string &service, EngineModelMode mode) -> bool
{
    if (mode != EngineModelMode::Auto) {
        return mode == EngineModelMode::On;
    }
    const auto isUrgent = [&service](const Route &route) { return route.hasPrompt && route.target < MinTargetOfFixedLimits && sendsTo(route, service); };
    return std::any_of(configuration.routes.begin(), configuration.routes.end(), isUrgent);
}

} // namespace auburnspread::passthrough
