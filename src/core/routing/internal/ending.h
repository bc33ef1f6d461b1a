/// \file
/// How attempts and requests end: each request gets exactly one final action, and all that it held is given back.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

struct Refusal {
    Reason reason{};
    std::string step;
    std::string peer;
    std::optional<Duration> retryAfter; ///< absent: the default, where a retry can help
};

/// Refuses a call that was never accepted.
auto refuseCall(const RequestArrived &call, const Refusal &refusal, Actions &actions) -> void;

/// Gives an accepted request up: cancels its attempts and answers at once. The request is gone afterwards.
auto refuse(RouterState &state, Request &request, const Refusal &refusal, Actions &actions) -> void;

/// The attempt relayed a whole answer of \p tokens: the request is completed and gone afterwards.
auto finishAttempt(RouterState &state, AttemptId attempt, std::uint32_t tokens, Actions &actions) -> void;

/// The attempt failed: its slot is free. The request goes on.
auto failAttempt(RouterState &state, AttemptId attempt, Failure failure, Actions &actions) -> void;

/// The attempt is not wanted any more: its slot is free and its connection is closed.
auto cancelAttempt(RouterState &state, AttemptId attempt, Actions &actions) -> void;

auto cancelAttempts(RouterState &state, Request &request, Actions &actions) -> void;

auto cancelOtherAttempts(RouterState &state, Request &request, AttemptId kept, Actions &actions) -> void;

} // namespace auburnspread::routing
