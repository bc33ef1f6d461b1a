/// \file
/// Bookkeeping of the queue that is shared by the files of the module.

#pragma once

#include "core/queueing/requestqueue.h"

namespace auburnspread::queueing::detail
{

/// Removes the request from all indexes and counters of the queue except its band.
auto forget(RequestQueue &queue, const WaitingRequest &request) -> void;

/// Number of waiting requests of the class beyond its reserved places.
auto evictableOf(const ClassQueue &classQueue) -> std::uint32_t;

} // namespace auburnspread::queueing::detail
