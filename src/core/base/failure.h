/// \file
/// The ways in which an attempt on a backend server fails. Each one is also published as a retry reason and has a counter.

#pragma once

#include "core/base/nametable.h"

#include <span>
#include <string_view>

namespace auburnspread
{

enum class Failure {
    ConnectFailed,         ///< the connection could not be established: no byte of the request was sent
    NotStarted,            ///< the backend server said that it did not start the request
    BrokenBeforeFirstByte, ///< the connection ended after the request was sent, before any answer
    BrokenStream,          ///< the connection ended in the middle of an answer
    FirstTokenTimeout,     ///< no first token within the timeout of the attempt
    ProgressTimeout,       ///< no further token within the progress timeout: the connection is silent
    BadResponse,           ///< the answer violated the protocol
    WrongAttempt,          ///< the answer carried the id of another attempt: answers were swapped or delayed
    OffsetGap,             ///< a chunk did not start at the offset at which the previous one ended
    Truncated,             ///< the answer ended without its terminator
    WrongServer,           ///< another backend server has the address now; it executed nothing
    ServerError,           ///< a complete answer with an error status
};

auto failureTable() -> std::span<const NamedValue<Failure>>;
auto failureName(Failure failure) -> std::string_view;

/// Whether the failure proves that the backend server executed no part of the request.
auto provesNotStarted(Failure failure) -> bool;

/// Whether a crash of the backend server's process would appear to the entry as this failure.
auto looksLikeCrash(Failure failure) -> bool;

} // namespace auburnspread
