/// \file
/// Sends the orders that the ordering core plans to the platform, while this entry is the leader.

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
    /// The platform declined an order with \p token, since a later term has started.
    std::function<void(std::uint64_t token)> onTokenRefused;
    /// The platform answered \p order with \p outcome, or the call failed.
    std::function<void(const ordering::Order &order, std::string_view outcome, double neededServers)> onOrderOutcome;
};

class ServerOrders
{
public:
    ServerOrders(task::EventLoop &loop, ServerOrdersOptions options, ServerOrdersCallbacks callbacks);

    /// Discards the state of the previous term; the outcomes of its orders are ignored from now on.
    auto beginTerm() -> void;
    /// Sends the orders that are due for the service of \p situation, with the fencing token \p token.
    auto update(const ordering::ServiceSituation &situation, std::uint64_t token) -> void;

    /// Number of calls to the platform's interface.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    auto send(const ordering::Order &order, std::uint64_t token, double neededServers) -> void;
    auto handleOutcome(const ordering::Order &order, std::uint64_t token, adapter::DutyOutcome outcome) -> void;

    ServerOrdersOptions options_;
    ServerOrdersCallbacks callbacks_;
    http::Client client_;
    ordering::State state_;
    std::uint64_t term_ = 0; ///< number of the term; outcomes of orders of an earlier term are ignored
    std::uint64_t calls_ = 0;
};

} // namespace auburnspread::gateway
