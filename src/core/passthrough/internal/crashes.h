/// \file
/// Requests that break the backend servers that run them.
///
/// Failure: a request crashes each server that begins it, and its caller sends it again and again, to any entry. Symptom:
/// one server after the other goes down. Connections that broke before any answer are counted by the request's
/// fingerprint, over all entries; at the bound it is not sent any more. A whole answer clears the count.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

auto noteCrash(RouterState &state, Fingerprint fingerprint, Actions &actions) -> void;
auto hearCrashes(RouterState &state, const CrashesHeard &heard) -> void;
auto clearCrashes(RouterState &state, Fingerprint fingerprint) -> void;
auto isWithheld(const RouterState &state, Fingerprint fingerprint) -> bool;
auto expireCrashes(RouterState &state) -> void;

} // namespace auburnspread::passthrough::detail
