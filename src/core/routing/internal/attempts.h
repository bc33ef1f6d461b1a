/// \file
/// What happens to attempts on backend servers. An event of an attempt that is not live changes nothing but the waste
/// account: its answer may be late or crossed, and nobody may get it.

#pragma once

#include "core/routing/internal/state.h"

namespace auburnspread::routing
{

auto onStarted(RouterState &state, const AttemptStarted &event, Actions &actions) -> void;
auto onProgress(RouterState &state, const AttemptProgress &event, Actions &actions) -> void;
auto onFinished(RouterState &state, const AttemptFinished &event, Actions &actions) -> void;
auto onFailed(RouterState &state, const AttemptFailed &event, Actions &actions) -> void;
auto onClaimSettled(RouterState &state, const ClaimSettled &event, Actions &actions) -> void;

} // namespace auburnspread::routing
