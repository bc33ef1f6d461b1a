#include "runtime/logging/floodlimit.h"

#include <chrono>
#include <utility>

namespace auburnspread::logging
{

namespace
{

constexpr Duration WindowLength = std::chrono::seconds(1);

} // namespace

FloodLimit::FloodLimit(int linesPerSecond)
    : linesPerSecond_(linesPerSecond)
{
}

auto FloodLimit::admit(std::string_view name, TimePoint now) -> bool
{
    auto found = windows_.find(name);
    if (found == windows_.end()) {
        found = windows_.emplace(std::string(name), Window{ .start = now }).first;
    }
    auto &window = found->second;
    if (now - window.start >= WindowLength) {
        if (window.suppressed > 0) {
            ended_.push_back({ .name = found->first, .count = window.suppressed });
        }
        window = Window{ .start = now };
    }
    if (window.written >= linesPerSecond_) {
        ++window.suppressed;
        return false;
    }
    ++window.written;
    return true;
}

auto FloodLimit::takeEnded(TimePoint now) -> std::vector<Suppressed>
{
    if (now - lastSweep_ >= WindowLength) {
        lastSweep_ = now;
        for (auto &[name, window] : windows_) {
            if (window.suppressed > 0 && now - window.start >= WindowLength) {
                ended_.push_back({ .name = name, .count = std::exchange(window.suppressed, 0) });
            }
        }
    }
    return std::exchange(ended_, {});
}

auto FloodLimit::takeAll() -> std::vector<Suppressed>
{
    auto taken = std::exchange(ended_, {});
    for (auto &[name, window] : windows_) {
        if (window.suppressed > 0) {
            taken.push_back({ .name = name, .count = std::exchange(window.suppressed, 0) });
        }
    }
    return taken;
}

} // namespace auburnspread::logging
