/// \file
/// How long the requests of a route took lately, and whether one that arrives now may take longer than a given time.
///
/// Those that have ended are no fair sample: the short ones end first, and the long ones of the same time still run. What is asked is whether
/// requests take longer than a certain time, and that is known of each request once this time has passed since its arrival, whether it
/// has ended or not. Only requests of which it is known are counted.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <map>

namespace auburnspread::passthrough
{

/// Requests of a route to one service in the last minute.
struct AnswerTimes {
    struct Slice {
        std::uint32_t answered = 0; ///< requests that arrived in this slice and got their whole response
        Duration longest{};         ///< from the arrival of a request to its end in this slice, whether it was answered or not
        bool hasRunOut = false;     ///< a request ran out of time in this slice: nobody knows how much longer it would have taken
    };
    std::map<TimePoint, Slice> slices; ///< by the beginning of the slice
};

enum class AnswerEnd {
    Whole,     ///< the request got its whole response
    Early,     ///< it is known only that it would not have taken less time
    OutOfTime, ///< as Early, because its time limit has passed; requests with a longer one may take any time
};

/// Records the end of a request.
auto recordAnswerTime(AnswerTimes &times, TimePoint arrived, AnswerEnd end, TimePoint now) -> void;

struct KnownAnswerTimes {
    Duration longest{};         ///< of all that have ended, also of those that arrived lately
    std::uint32_t requests = 0; ///< number of answered ones that arrived so long ago that longer ones would be known
    TimePoint since;            ///< arrival of the first of them
    bool hasRunOut = false;     ///< a request ran out of time, so that there may be longer ones
};

/// \p limit: time since the arrival after which it is known of a request whether it takes longer
auto knownAnswerTimes(const AnswerTimes &times, Duration limit, TimePoint now) -> KnownAnswerTimes;

/// Whether nothing was recorded within the last minute.
auto isOutdated(const AnswerTimes &times, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
