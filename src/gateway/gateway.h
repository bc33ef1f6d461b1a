/// \file
/// The pass-through entry: the HTTP proxy process that runs on each VM. It connects the server side (callers), the client
/// side (backend servers), the shared directory and the routing core on a single event loop, because the VM has only a
/// fraction of one processor core.

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
    /// \throws std::runtime_error if an address can't be bound.
    Gateway(task::EventLoop &loop, GatewaySettings settings);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    auto start() -> void;
    /// Applies the settings of \p changed that can be reloaded at run time. \return false if any other setting differs, which
    /// then needs a restart
    auto applySettings(const GatewaySettings &changed) -> bool;
    /// Starts a graceful shutdown: leaves the fleet, completes the requests in flight and then calls \p onDrained.
    auto drain(std::function<void()> onDrained) -> void;

    /// Bound address of the listener for callers.
    [[nodiscard]] auto callerAddress() const -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::gateway
