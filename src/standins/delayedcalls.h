/// \file
/// Calls that are made later and need no owner besides this object.

#pragma once

#include "runtime/task/eventloop.h"

#include <cstdint>
#include <functional>
#include <map>

namespace auburnspread::standins
{

class DelayedCalls
{
public:
    explicit DelayedCalls(task::EventLoop &loop);

    /// Makes \p call after \p delay, at once if there is none.
    auto callAfter(Duration delay, std::function<void()> call) -> void;

private:
    task::EventLoop &loop_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, task::Watch> timers_;
};

} // namespace auburnspread::standins
