#include "core/base/failure.h"

#include <array>

namespace auburnspread
{

namespace
{

constexpr auto Failures = std::to_array<NamedValue<Failure>>({
    { Failure::ConnectFailed, "connect-failed" },
    { Failure::NotStarted, "not-started" },
    { Failure::BrokenBeforeFirstByte, "broken-before-first-byte" },
    { Failure::BrokenStream, "broken-stream" },
    { Failure::FirstTokenTimeout, "first-token-timeout" },
    { Failure::ProgressTimeout, "progress-timeout" },
    { Failure::BadResponse, "bad-response" },
    { Failure::WrongAttempt, "wrong-attempt" },
    { Failure::OffsetGap, "offset-gap" },
    { Failure::Truncated, "truncated" },
    { Failure::WrongServer, "wrong-server" },
    { Failure::ServerError, "server-error" },
});

} // namespace

auto failureTable() -> std::span<const NamedValue<Failure>>
{
    return Failures;
}

auto failureName(Failure failure) -> std::string_view
{
    return findName(Failures, failure);
}

auto provesNotStarted(Failure failure) -> bool
{
    return failure == Failure::ConnectFailed || failure == Failure::NotStarted || failure == Failure::WrongServer;
}

auto looksLikeCrash(Failure failure) -> bool
{
    return failure == Failure::BrokenBeforeFirstByte || failure == Failure::BrokenStream;
}

} // namespace auburnspread
