/// \file
/// Whether a request whose attempt failed may be tried again. The conditions under which a retry is safe stand
/// here and nowhere else.

#pragma once

#include "core/base/failure.h"
#include "core/base/reason.h"
#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::retry
{

/// What is known when an attempt has failed and no other one is under way.
struct Failed {
    Failure failure{};
    bool repeatable = false;
    bool resumable = false;   ///< whether an answer of this kind has offsets at which it can be continued
    bool answerBegun = false; ///< the caller has received a part of this answer
    std::uint32_t retriesMade = 0;
    TimePoint deadline;
};

/// Why no further attempt may be made, or nothing. A further attempt goes on where the relayed part of the answer ends.
/// The budget is not asked here: it is only charged for a retry that is otherwise allowed.
auto whyNoRetry(const Failed &failed, TimePoint now) -> std::optional<Reason>;

} // namespace auburnspread::retry
