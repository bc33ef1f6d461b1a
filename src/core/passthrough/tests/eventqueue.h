/// \file
/// Test harness: actions in virtual time, in the order of their time and, at the same time, of their scheduling.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnspread::passthrough::tests
{

class EventQueue
{
public:
    explicit EventQueue(TimePoint start)
        : now_(start)
    {
    }

    [[nodiscard]] auto now() const -> TimePoint
    {
        return now_;
    }
    auto after(Duration delay, std::function<void()> action) -> void
    {
        queue_.push({ .at = now_ + delay, .order = ++lastOrder_, .action = std::move(action) });
    }
    auto every(Duration interval, const std::function<void()> &action) -> void
    {
        after(interval, [this, interval, action]() {
            action();
            every(interval, action);
        });
    }
    auto runUntil(TimePoint end) -> void
    {
        while (!queue_.empty() && queue_.top().at <= end) {
            const auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.action();
        }
    }

private:
    struct Scheduled {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        auto operator<(const Scheduled &other) const -> bool
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    TimePoint now_;
    std::uint64_t lastOrder_ = 0;
    std::priority_queue<Scheduled> queue_;
};

} // namespace auburnspread::passthrough::tests
