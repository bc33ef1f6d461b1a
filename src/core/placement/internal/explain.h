/// \file
/// Adds Explain actions, each only when it differs from the last one about the same backend server.

#pragma once

#include "core/placement/placer.h"

#include <string>
#include <utility>

namespace auburnspread::placement::detail
{

inline auto explain(PlacerState &state, Actions &actions, Decision decision, const std::string &backend, std::string detail) -> void
{
    const Explained now{ .decision = decision, .detail = std::move(detail) };
    auto &last = state.explained[backend];
    if (last == now) {
        return;
    }
    last = now;
    actions.emplace_back(Explain{ .decision = decision, .backend = backend, .detail = now.detail });
}

inline auto takeCall(PlacerState &state) -> CallId
{
    return CallId{ ++state.lastCall };
}

inline auto isPending(const std::optional<PendingCall> &pending, CallId call) -> bool
{
    return pending.has_value() && pending->call == call;
}

} // namespace auburnspread::placement::detail
