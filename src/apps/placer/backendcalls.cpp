#include "apps/placer/backendcalls.h"

#include "apps/placer/ordercodec.h"

#include <utility>
#include <variant>

namespace auburnspread::placer
{

namespace
{

using placement::OrderResult;
using placement::OrderSettled;

constexpr auto OrdersPath = "/orders";
constexpr int Conflict = 409;
constexpr int Success = 2;
constexpr int StatusClass = 100;

auto settledBy(const placement::SendOrder &action, const http::Result &result) -> OrderSettled
{
    OrderSettled settled{ .call = action.call, .backend = action.backend, .result = OrderResult::Unknown };
    if (const auto *error = std::get_if<http::Error>(&result)) {
        settled.result = http::provesNotSent(*error) ? OrderResult::NotSent : OrderResult::Unknown;
        return settled;
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status / StatusClass == Success) {
        settled.result = OrderResult::Accepted;
    } else if (response.status == Conflict) {
        settled.result = OrderResult::OldFence;
        settled.currentFence = decodeCurrentFence(response.body);
    } else {
        settled.result = OrderResult::Refused;
    }
    return settled;
}

} // namespace

BackendCalls::BackendCalls(task::EventLoop &loop, BackendCallsOptions options, OnEvent onEvent)
    : loop_(loop)
    , client_(loop)
    , options_(options)
    , onEvent_(std::move(onEvent))
{
}

auto BackendCalls::read(const placement::ReadServer &action) -> void
{
    const http::Request request{ .method = http::Method::Get, .address = action.address, .path = OrdersPath, .timeout = options_.readTimeout };
    client_.fetch(request, [this, action](const http::Result &result) {
        const auto *response = std::get_if<http::Response>(&result);
        auto report = response != nullptr && response->status / StatusClass == Success ? decodeReport(response->body) : std::nullopt;
        if (report) {
            onEvent_(placement::ServerRead{ .call = action.call, .backend = action.backend, .report = std::move(*report) });
        } else {
            onEvent_(placement::ServerReadFailed{ .call = action.call, .backend = action.backend });
        }
    });
}

auto BackendCalls::order(const placement::SendOrder &action) -> void
{
    // The last look at the clock before the order leaves: the process may have been paused since it was decided, and
    // another may hold the lease by now.
    if (task::monotonicNow() >= action.sendBefore) {
        lateOrders_.push_back({ .call = action.call, .backend = action.backend, .result = OrderResult::NotSent });
        report_ = loop_.after(Duration(0), [this]() { reportLateOrders(); });
        return;
    }
    const http::Request request{ .method = http::Method::Put,
                                 .address = action.address,
                                 .path = OrdersPath,
                                 .headers = { { "Content-Type", "application/json" } },
                                 .body = encodeOrder(action),
                                 .timeout = options_.orderTime };
    client_.fetch(request, [this, action](const http::Result &result) { onEvent_(settledBy(action, result)); });
}

auto BackendCalls::reportLateOrders() -> void
{
    for (const auto &settled : std::exchange(lateOrders_, {})) {
        onEvent_(settled);
    }
}

} // namespace auburnspread::placer
