/// \file
/// Ejection, probation and return of servers, and what timings say of them.

#pragma once

#include "core/balancing/internal/state.h"

namespace auburnspread::balancing::detail
{

auto addSample(Average &average, Duration sample) -> void;

auto judgeAnswer(State &state, ServerIndex index, PoolIndex pool, TimePoint now) -> void;
auto judgeFailure(State &state, ServerIndex index, PoolIndex pool, Failure failure, TimePoint now) -> void;
auto judgeProbe(State &state, ServerIndex index, bool healthy, TimePoint now) -> void;

/// Ends ejections and holds that are over.
auto endEjections(State &state, TimePoint now) -> void;
auto endHolds(State &state, TimePoint now) -> void;

/// Medians of each pool, relative speed of each server, ejection of outliers.
auto compareTimings(State &state, TimePoint now) -> void;

/// Puts the server on probation: little work until it answered some.
auto beginProbation(State &state, ServerIndex index, TimePoint now) -> void;

} // namespace auburnspread::balancing::detail
