/// \file
/// Whether a backend server fails requests by itself, judged from its answers one by one.
///
/// The load that this answers: a burst in which one server answers with errors at once and so is the only one that always has room. It
/// gets whatever waits anywhere, and fails it. Each answer shifts the odds that the server is bad against the odds that its errors belong
/// to the requests, of which some fail at every server; a few errors in a row settle it, and so do many errors among good answers.

#pragma once

namespace auburnspread::passthrough
{

/// Part of a route's requests that fail wherever they go.
struct BaselineErrorRate {
    double rate = 0.1; ///< at first, nothing being known; moves with each answer of a server that is not suspected
};

/// Logarithm of the odds that a server is bad, never below 0.
struct ErrorEvidence {
    double logOdds = 0;
};

auto recordAnswer(ErrorEvidence &evidence, BaselineErrorRate &baseline, bool isError) -> void;

/// Enough to stop using the server.
auto isConclusive(const ErrorEvidence &evidence) -> bool;
/// Enough to use it carefully: one request at a time.
auto isSuspected(const ErrorEvidence &evidence) -> bool;
/// The next error convinces.
auto markStronglySuspected(ErrorEvidence &evidence) -> void;

} // namespace auburnspread::passthrough
