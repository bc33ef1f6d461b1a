/// \file
/// Bounds the log lines of one event name a second, so that a fault which strikes every request cannot fill the log.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::logging
{

struct Suppressed {
    std::string name;
    std::uint64_t count = 0;
};

class FloodLimit
{
public:
    explicit FloodLimit(int linesPerSecond);

    /// Whether a line of this name may be written; counted as suppressed if not.
    auto admit(std::string_view name, TimePoint now) -> bool;

    /// Counts of seconds that have ended, each once.
    auto takeEnded(TimePoint now) -> std::vector<Suppressed>;
    /// All counts, also of the second that runs.
    auto takeAll() -> std::vector<Suppressed>;

private:
    struct Window {
        TimePoint start;
        int written = 0;
        std::uint64_t suppressed = 0;
    };

    int linesPerSecond_;
    TimePoint lastSweep_;
    std::map<std::string, Window, std::less<>> windows_;
    std::vector<Suppressed> ended_;
};

} // namespace auburnspread::logging
