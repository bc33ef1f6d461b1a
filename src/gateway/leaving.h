/// \file
/// How an entry leaves: when it refuses what is new, and when it ends. Pure.
///
/// Failure: an entry ends while callers still know its address. Symptom: connections refused, and requests cut that came on
/// kept ones. Callers keep their list of entries for some seconds, and their connections until an answer closes them. So the
/// entry serves on for as long as any may come, and refuses what could not end before the process does.

#pragma once

#include "core/base/time.h"

namespace auburnspread::gateway
{

/// Callers ask again for addresses after this time; some keep an answer three times as long.
constexpr Duration AddressKeep = std::chrono::seconds(1);

struct Leaving {
    TimePoint since;
    TimePoint lastBusyAt;
    bool refuses = false; ///< what is new
};

enum class LeavingStep {
    ServeOn,
    RefuseNew, ///< from now on; told once
    End,
};

auto beginLeaving(TimePoint now) -> Leaving;

/// \p isBusy: requests or attempts are under way; \p leavingTime: from the beginning to the end at the latest.
auto stepLeaving(Leaving &leaving, bool isBusy, Duration leavingTime, TimePoint now) -> LeavingStep;

} // namespace auburnspread::gateway
