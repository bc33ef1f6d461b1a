/// \file
/// Decides from the answers of a backend server, one by one, whether the server itself is faulty.
///
/// The load pattern behind this: in a burst, one server answers every request with an error at once. It therefore always has capacity,
/// attracts the requests that wait at all entries, and fails them. Each answer shifts the odds between two hypotheses: the server is
/// faulty, or the errors are caused by the requests, some of which fail at every server. A few errors in a row decide it, and so do many
/// errors among successful answers.
///
/// Errors before a response begins come at once, but a stream that succeeds ends seconds later. An entry that has just started would see
/// mostly errors and suspect sound servers. Therefore an error before the beginning is compared with the responses that have begun, and
/// a broken stream with the streams that have ended.

#pragma once

namespace auburnspread::passthrough
{

/// Share of a route's requests that fail at any server.
struct BaselineErrorRate {
    double rate = 0.1; ///< prior before any answer; updated by each answer of a server that is not suspected
};

/// Log odds that a server is faulty, at least 0.
struct ErrorEvidence {
    double logOdds = 0;
};

/// Evidence from attempts that failed before their response began, and from streams that broke after that.
struct ServerEvidence {
    ErrorEvidence beginnings;
    ErrorEvidence streams;
};

/// Usual error rates of a route before and after the beginning of a response.
struct RouteErrorRates {
    BaselineErrorRate beginnings;
    BaselineErrorRate streams;
};

auto recordAnswer(ErrorEvidence &evidence, BaselineErrorRate &baseline, bool isError) -> void;

/// Records that a stream has begun; its end is recorded as well, with \p hasBegun.
auto recordBeginning(ServerEvidence &evidence, RouteErrorRates &baseline) -> void;
/// Records the end of an attempt. \p hasBegun: whether \c recordBeginning was called for it
auto recordEnd(ServerEvidence &evidence, RouteErrorRates &baseline, bool hasBegun, bool isError) -> void;

/// Whether the evidence suffices to stop using the server.
/// @{
auto isConclusive(const ErrorEvidence &evidence) -> bool;
auto isConclusive(const ServerEvidence &evidence) -> bool;
/// @}
/// Whether the evidence suffices to limit the server to one request at a time.
/// @{
auto isSuspected(const ErrorEvidence &evidence) -> bool;
auto isSuspected(const ServerEvidence &evidence) -> bool;
/// @}
/// Raises the evidence so far that the next error, before or after the beginning of a response, is conclusive.
auto markStronglySuspected(ServerEvidence &evidence) -> void;

} // namespace auburnspread::passthrough
