/// \file
/// Attempts whose backend server sends nothing.
///
/// The server may be gone, or sound and about to go on, and an entry can't tell which. So a silent attempt is not ended: the request
/// waits for a slot of another server as a retry does, if it may be sent again, and the attempt that goes on first serves it. If
/// it may not, it stays with its attempt until that ends or the deadline passes, and the question comes again with the next report. A
/// suspect, which may not run beside itself, leaves its silent attempt when another server takes it.

#pragma once

#include "core/retry/decision.h"
#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

struct FailedAttempt {
    Failure failure{};
    bool wasCommitted = false;
    bool wasSilent = false;
};

auto describeFailure(const Request &request, const FailedAttempt &failed) -> retry::FailedRequest;

/// Takes a retry out of the budget, unless one was taken that is not used yet.
auto payRetry(const RouterState &state, Request &request) -> bool;

auto onSilent(RouterState &state, const AttemptSilent &event, Actions &actions) -> void;

/// The server of the attempt sends. \return whether it was silent
auto noteActivity(RouterState &state, Attempt &attempt) -> bool;

/// The attempt goes on and serves the request: the others are cancelled, and the request waits for no further one.
auto preferAttempt(RouterState &state, Request &request, AttemptId attempt, Actions &actions) -> void;

/// Ends the attempt that has relayed, before another one does.
auto cancelCommitted(RouterState &state, Request &request, Actions &actions) -> void;

/// What an earlier attempt sent of a whole answer is dropped if \p attempt, which goes on, began it anew.
auto beginAnewIfRestarted(RouterState &state, Request &request, const Attempt &attempt) -> void;

} // namespace auburnspread::routing
