/// \file
/// Decides from the answers of a backend server, one by one, whether the server itself is faulty.
///
/// The load pattern behind this: in a burst, one server answers every request with an error at once. It therefore always has capacity,
/// attracts the requests that wait at all entries, and fails them. Each answer shifts the odds between two hypotheses: the server is
/// faulty, or the errors are caused by the requests, some of which fail at every server. A few errors in a row decide it, and so do many
/// errors among successful answers.

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

auto recordAnswer(ErrorEvidence &evidence, BaselineErrorRate &baseline, bool isError) -> void;

/// Whether the evidence suffices to stop using the server.
auto isConclusive(const ErrorEvidence &evidence) -> bool;
/// Whether the evidence suffices to limit the server to one request at a time.
auto isSuspected(const ErrorEvidence &evidence) -> bool;
/// Raises the evidence so far that the next error is conclusive.
auto markStronglySuspected(ErrorEvidence &evidence) -> void;

} // namespace auburnspread::passthrough
