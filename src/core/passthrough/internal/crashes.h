/// \file
/// Quarantine of requests that crash backend servers.
///
/// A request that crashes every server that runs it, and that its caller retries at any entry, would take down one server after the
/// other. Connections that break before any part of a response are therefore counted by the request's fingerprint, over all entries.
/// A request whose count reaches the limit is no longer sent. A complete response clears the count.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

/// Counts a crash seen by this entry and reports it to the other entries.
auto recordCrash(RouterState &state, Fingerprint fingerprint, Actions &actions) -> void;
/// Combines the count of another entry with this entry's count.
auto mergeReportedCrashes(RouterState &state, const CrashesReported &report) -> void;
auto clearCrashes(RouterState &state, Fingerprint fingerprint) -> void;
/// Whether a request with this fingerprint must not be sent.
auto isQuarantined(const RouterState &state, Fingerprint fingerprint) -> bool;
auto expireCrashes(RouterState &state) -> void;

} // namespace auburnspread::passthrough::detail
