/// \file
/// The calls to backend servers: reading what they have and ordering what they should have.

#pragma once

#include "core/placement/actions.h"
#include "core/placement/events.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <functional>
#include <vector>

namespace auburnspread::placer
{

struct BackendCallsOptions {
    Duration readTimeout{};
    Duration orderTime{}; ///< after it nothing of an order may be under way
};

class BackendCalls
{
public:
    using OnEvent = std::function<void(const placement::Event &event)>;

    /// \p onEvent gets ServerRead, ServerReadFailed and OrderSettled, later and on the loop.
    BackendCalls(task::EventLoop &loop, BackendCallsOptions options, OnEvent onEvent);

    auto read(const placement::ReadServer &action) -> void;
    auto order(const placement::SendOrder &action) -> void;

private:
    auto reportLateOrders() -> void;

    task::EventLoop &loop_;
    http::Client client_;
    BackendCallsOptions options_;
    OnEvent onEvent_;
    std::vector<placement::OrderSettled> lateOrders_; ///< whose time was over before they left; reported from the loop
    task::Watch report_;
};

} // namespace auburnspread::placer
