/// \file
/// The queue's accounts, as the other files of the module need them.

#pragma once

#include "core/queueing/requestqueue.h"

namespace auburnspread::queueing::detail
{

/// Forgets the request everywhere but in its band.
auto forget(RequestQueue &queue, const WaitingRequest &request) -> void;

/// Waiting requests of the class that are not on its reserved places.
auto evictableOf(const ClassQueue &classQueue) -> std::uint32_t;

} // namespace auburnspread::queueing::detail
