#include "standins/delayedcalls.h"

#include <utility>

namespace auburnspread::standins
{

DelayedCalls::DelayedCalls(task::EventLoop &loop)
    : loop_(loop)
{
}

auto DelayedCalls::callAfter(Duration delay, std::function<void()> call) -> void
{
    if (delay <= Duration::zero()) {
        call();
        return;
    }
    const auto id = ++lastId_;
    timers_[id] = loop_.after(delay, [this, id, call = std::move(call)]() {
        timers_.erase(id);
        call();
    });
}

} // namespace auburnspread::standins
