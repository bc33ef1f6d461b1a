/// \file
/// Forwards requests to another entry when this one can't reach the backend servers, and handles the responses.
///
/// The other entry treats a forwarded request like that of a caller, so keys, tiers, limits, retry budgets and deadlines apply there, once.
/// It never forwards the request again: two entries that are both cut off would otherwise pass it back and forth. This entry forwards a
/// request again only if the other one states that it did not run.

#pragma once

#include "core/passthrough/internal/state.h"

#include <string>

namespace auburnspread::passthrough::detail
{

/// \name What this entry's own attempts and probes show about the path to a service's servers
/// @{
auto notePathSuccess(RouterState &state, const std::string &service, Actions &actions) -> void;
auto notePathFailure(RouterState &state, const std::string &service, const std::string &server, Actions &actions) -> void;
auto handleServerProbed(RouterState &state, const ServerProbed &event, Actions &actions) -> void;
/// Starts the probes that are due.
auto reviewReachability(RouterState &state, Actions &actions) -> void;
auto isCutOff(const RouterState &state, const std::string &service) -> bool;
/// @}

/// Forwards a queued request if this entry can't send it to a server itself and another entry may be able to.
/// \return false if it stays in the queue
auto tryForward(RouterState &state, Request &request, Actions &actions) -> bool;

/// Whether the attempt is a forwarding, which the functions below handle.
auto isForwarding(const RouterState &state, AttemptId attempt) -> bool;
auto handleForwardStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void;
auto handleForwardAnswered(RouterState &state, const AttemptAnswered &event, Actions &actions) -> void;
auto handleForwardFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void;
auto handleForwardFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void;
auto handleForwardRefused(RouterState &state, const ForwardRefused &event, Actions &actions) -> void;
/// No further attempt is left to the request: it is not known how many servers the entry to which it was forwarded has tried.
auto useUpAttempts(Request &request) -> void;
/// Removes the forwarding without a further action.
auto closeForwarding(RouterState &state, AttemptId attempt) -> Forwarding;

} // namespace auburnspread::passthrough::detail
