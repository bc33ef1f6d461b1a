/// \file
/// The answers that the entry itself gives to requests that get none from a backend server.

#pragma once

#include "core/passthrough/actions.h"
#include "gateway/payload.h"

namespace auburnspread::gateway
{

/// Status, reason, what the caller may conclude, and when to come back.
auto makeRefusal(const passthrough::Refuse &refusal) -> WholeAnswer;

} // namespace auburnspread::gateway
