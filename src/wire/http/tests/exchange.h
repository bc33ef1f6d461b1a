/// \file
/// What the HTTP tests share: one exchange run to its end on a loop, and waiting for a condition.

#pragma once

#include "wire/http/client.h"

#include <optional>

namespace auburnspread::http::tests
{

/// Runs the loop until \p isDone, at most for \p bound; whether it came true.
template <typename Condition>
auto runUntil(task::EventLoop &loop, Condition isDone, Duration bound = std::chrono::seconds(20)) -> bool
{
    const auto check = loop.every(std::chrono::milliseconds(1), [&]() {
        if (isDone()) {
            loop.stop();
        }
    });
    const auto limit = loop.after(bound, [&]() { loop.stop(); });
    loop.run();
    return isDone();
}

/// Fetches and waits for the result.
inline auto fetch(task::EventLoop &loop, Client &client, const Request &request) -> Result
{
    std::optional<Result> result;
    client.fetch(request, [&](Result got) { result = std::move(got); });
    runUntil(loop, [&]() { return result.has_value(); });
    return result.value_or(Error{ .text = "test: no result in time" });
}

} // namespace auburnspread::http::tests
