/// \file
/// The pass-through entry: one process on each VM that callers reach. It joins the callers' side, the backend servers'
/// side, the directory and the decision core on one event loop, because the VM has a part of one core.

#pragma once

#include "gateway/settings/gatewaysettings.h"
#include "runtime/task/eventloop.h"

#include <functional>
#include <memory>

namespace auburnspread::gateway
{

class Gateway
{
public:
    /// Throws if an address can't be bound.
    Gateway(task::EventLoop &loop, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto start() -> void;
    /// Takes over what of \p changed can take effect at once. \return whether that is all that differs
    auto takeSettings(const GatewaySettings &changed) -> bool;
    /// Takes part in nothing new, ends what is under way and calls \p onLeft.
    auto leave(std::function<void()> onLeft) -> void;

    [[nodiscard]] auto callerAddress() const -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::gateway
