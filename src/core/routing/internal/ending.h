/// \file
/// How a request ends: each gets exactly one final action, and its attempts and places are given back.

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

/// Ends a request whose answer was relayed whole. The request is gone afterwards.
auto complete(RouterState &state, Request &request, std::uint32_t tokens, TimePoint now, Actions &actions) -> void;

/// Gives the attempt's slot back. The attempt is gone afterwards; whatever still arrives from it is late.
auto releaseAttempt(RouterState &state, AttemptId attempt) -> void;

/// Releases the attempt and has its connection closed.
auto cancelAttempt(RouterState &state, Request &request, AttemptId attempt, Actions &actions) -> void;

} // namespace auburnspread::routing
