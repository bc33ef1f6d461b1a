/// \file
/// Error responses that the entry sends itself, without a response of a backend server.

#pragma once

#include "core/passthrough/actions.h"
#include "gateway/payload.h"

#include <string_view>

namespace auburnspread::gateway
{

constexpr std::string_view ReasonHeader = "Auburnspread-Reason";
constexpr std::string_view OutcomeHeader = "Auburnspread-Outcome";

/// Response with the status, the reason, the outcome (whether the request may have run) and, if set, the `Retry-After` time.
auto makeRefusalResponse(const passthrough::Refuse &refusal) -> BufferedResponse;

} // namespace auburnspread::gateway
