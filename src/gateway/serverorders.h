/// \file
/// Orders backend servers from the platform while this entry leads, as the ordering core plans.

#pragma once

#include "core/ordering/ordering.h"
#include "platform/duties.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

struct ServerOrdersOptions {
    std::string api; ///< address of the platform's interface
    std::string entry;
};

struct ServerOrdersCallbacks {
    std::function<void(std::uint64_t token)> onTokenRefused;
    std::function<void(const ordering::Order &order, std::string_view outcome, double neededServers)> onOrder;
};

class ServerOrders
{
public:
    ServerOrders(task::EventLoop &loop, ServerOrdersOptions options, ServerOrdersCallbacks callbacks);

    auto beginTerm() -> void;
    /// Orders what is due for this service.
    auto update(const ordering::ServiceSituation &situation, std::uint64_t token) -> void;

    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    auto send(const ordering::Order &order, std::uint64_t token, double neededServers) -> void;
    auto take(const ordering::Order &order, std::uint64_t token, adapter::DutyOutcome outcome) -> void;

    ServerOrdersOptions options_;
    ServerOrdersCallbacks callbacks_;
    http::Client client_;
    ordering::State state_;
    std::uint64_t term_ = 0; ///< answers to orders of an earlier one are dropped
    std::uint64_t calls_ = 0;
};

} // namespace auburnspread::gateway
