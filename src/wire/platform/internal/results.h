/// \file
/// What an HTTP exchange with the service proves.

#pragma once

#include "wire/platform/store.h"

#include <string>

namespace auburnspread::platform::detail
{

auto outcomeOf(const http::Result &result) -> CallOutcome;

/// \p peer: address of the service, for the failure.
auto toWriteResult(const http::Result &result, const std::string &peer) -> WriteResult;
auto toReadResult(const http::Result &result, const std::string &peer) -> ReadResult;
auto toVmResult(const http::Result &result, const std::string &peer) -> VmResult;
auto toCreatedSession(const http::Result &result, const std::string &peer) -> SessionResult;
auto toRenewedSession(const http::Result &result, const std::string &peer, const std::string &id) -> SessionResult;

} // namespace auburnspread::platform::detail
