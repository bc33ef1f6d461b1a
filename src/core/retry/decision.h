/// \file
/// Whether a request may be retried after a failed attempt. This is the only place that defines when a retry is safe.

#pragma once

#include "core/base/failure.h"
#include "core/base/reason.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::retry
{

/// State of a request whose attempt has failed and that has no other attempt in flight.
struct FailedRequest {
    Failure failure{};
    bool repeatable = false;  ///< the request may run more than once
    bool resumable = false;   ///< the response has offsets at which another attempt can continue it
    bool answerBegun = false; ///< the caller has received a part of the response
    std::uint32_t retriesMade = 0;
    TimePoint deadline;
};

/// Returns the reason why the request may not be retried, or nothing if it may. A retry continues at the end of the part
/// of the response that was forwarded. The retry budget is not checked here: it is charged only for retries that are
/// otherwise allowed.
auto findRetryObstacle(const FailedRequest &failed, TimePoint now) -> std::optional<Reason>;

} // namespace auburnspread::retry
