/// \file
/// Requests that may crash backend servers, by fingerprint: when an equal one may run, and what the cell is told.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto silentAttemptsOf(const RouterState &state, const Request &request) -> std::vector<AttemptId>;

/// Whether and how the request may be dispatched now. A request without a fingerprint always may. Its silent attempts are no other copies.
auto decideSuspect(const RouterState &state, const Request &request) -> quarantine::Decision;

/// Announces to the cell that the request, if it is a suspect, is to be sent again.
auto announceOwnRetry(RouterState &state, const Request &request, Actions &actions) -> void;

/// Whether few enough equal requests are held back already.
auto mayHold(const RouterState &state, const Request &request) -> bool;

/// Keeps the request back until releaseHeld().
auto hold(RouterState &state, Request &request, Actions &actions) -> void;

/// Lets the requests of a fingerprint wait for a slot again: what they waited for has changed.
auto releaseHeld(RouterState &state, Fingerprint fingerprint, Actions &actions) -> void;

/// Releases all that the quarantine now decides on otherwise than to wait; for ticks and peers' notices.
auto reviewHeld(RouterState &state, Actions &actions) -> void;

auto tellCell(const std::vector<quarantine::Notice> &notices, Actions &actions) -> void;

auto onQuarantineHeard(RouterState &state, const QuarantineHeard &event, Actions &actions) -> void;

} // namespace auburnspread::routing
