/// \file
/// Recognises requests that a caller sends again after the entry gave up on the first one.

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
    Duration memory = std::chrono::seconds(30); ///< after this time, an equal request counts as new
    std::size_t capacity = 10000;
};

/// Recently given up requests, by workspace and fingerprint. Answered requests are not recorded, because callers of one
/// workspace may legitimately send equal requests.
struct Repeats {
    RepeatsOptions options;
    std::unordered_map<std::uint64_t, TimePoint> givenUp;
    struct GivenUpRequest {
        std::uint64_t key = 0;
        TimePoint at;
    };
    std::deque<GivenUpRequest> order; ///< oldest first
};

/// Records that a request was given up. \p workspace is any number that identifies the workspace.
auto recordGivenUp(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> void;

/// Returns whether an equal request of the workspace was given up recently, and removes that record.
auto takeRepeat(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> bool;

} // namespace auburnspread::retry
