/// \file
/// How an attempt on a backend server fails. Each failure is also a published retry reason with a counter.

#pragma once

#include "core/base/nametable.h"

#include <span>
#include <string_view>

namespace auburnspread
{

enum class Failure {
    ConnectFailed,         ///< the connection was never made: no byte of the request left
    NotStarted,            ///< the backend server said that it did not start the request
    BrokenBeforeFirstByte, ///< the connection ended after the request was sent, before any answer
    BrokenStream,          ///< the connection ended in the middle of an answer
    FirstTokenTimeout,     ///< no first token within the attempt's time
    ProgressTimeout,       ///< no further token within the progress time: the connection went silent
    BadResponse,           ///< the answer was not what the protocol allows
    WrongAttempt,          ///< the answer carried another attempt's id: crossed or late
    OffsetGap,             ///< a chunk did not continue where the last one ended
    Truncated,             ///< the answer ended without its terminator
    WrongServer,           ///< another backend server has the address now; it ran nothing
    ServerError,           ///< a complete answer with an error status
};

auto failureTable() -> std::span<const NamedValue<Failure>>;
auto failureName(Failure failure) -> std::string_view;

/// Whether this failure proves that the backend server executed nothing of the request.
auto provesNotStarted(Failure failure) -> bool;

/// Whether this failure is what a crash of the backend server's process looks like from here.
auto looksLikeCrash(Failure failure) -> bool;

} // namespace auburnspread
