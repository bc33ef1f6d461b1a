/// \file
/// Error responses that the entry sends itself, without a response of a backend server.

#pragma once

#include "core/passthrough/actions.h"
#include "gateway/payload.h"

namespace auburnspread::gateway
{

/// Response with the status, the reason, the outcome (whether the request may have run) and, if set, the `Retry-After` time.
auto makeRefusalResponse(const passthrough::Refuse &refusal) -> BufferedResponse;

} // namespace auburnspread::gateway
