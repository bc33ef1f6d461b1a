/// \file
/// Recognises a request that its caller sends again after the first try was given up.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace auburnspread::retry
{

struct RepeatsOptions {
    Duration memory = std::chrono::seconds(30); ///< later, an equal request counts as a new one
    std::size_t capacity = 10000;
};

/// Requests given up lately, by workspace and fingerprint. Equal requests that were answered are none of them: callers
/// of one workspace may well ask the same thing twice.
struct Repeats {
    RepeatsOptions options;
    std::unordered_map<std::uint64_t, TimePoint> givenUp;
    struct Remembered {
        std::uint64_t key = 0;
        TimePoint at;
    };
    std::deque<Remembered> order; ///< oldest first
};

/// \p workspace: any number that stands for it.
auto noteGivenUp(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> void;

/// Whether an equal request of the workspace was given up lately; it is forgotten thereby.
auto takeRepeat(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> bool;

} // namespace auburnspread::retry
