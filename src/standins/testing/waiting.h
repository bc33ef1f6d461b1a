/// \file
/// Waiting for a condition in tests instead of sleeping.

#pragma once

#include "runtime/task/eventloop.h"

#include <functional>

namespace auburnspread::standins
{

/// Runs \p loop until \p condition holds; false if it does not within a generous bound.
auto runUntil(task::EventLoop &loop, const std::function<bool()> &condition) -> bool;

/// Calls \p condition, which makes calls of its own, until it holds; false if it does not within the same bound.
auto pollUntil(const std::function<bool()> &condition) -> bool;

} // namespace auburnspread::standins
