#include "standins/testing/waiting.h"

namespace auburnspread::standins
{

namespace
{

constexpr auto Bound = std::chrono::seconds(30);
constexpr auto CheckInterval = std::chrono::milliseconds(1);

} // namespace

auto runUntil(task::EventLoop &loop, const std::function<bool()> &condition) -> bool
{
    bool holds = condition();
    if (holds) {
        return true;
    }
    const auto check = loop.every(CheckInterval, [&]() {
        holds = condition();
        if (holds) {
            loop.stop();
        }
    });
    const auto bound = loop.after(Bound, [&]() { loop.stop(); });
    loop.run();
    return holds;
}

auto pollUntil(const std::function<bool()> &condition) -> bool
{
    const auto end = task::monotonicNow() + Bound;
    while (!condition()) {
        if (task::monotonicNow() > end) {
            return false;
        }
    }
    return true;
}

} // namespace auburnspread::standins
