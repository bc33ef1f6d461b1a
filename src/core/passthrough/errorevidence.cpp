#include "core/passthrough/errorevidence.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Assumed share of errors among a faulty server's answers.
constexpr double FaultyServerErrorRate = 0.7;
/// Bounds of the baseline. However rarely requests of a route fail, a single error is only weak evidence.
constexpr double MinBaselineRate = 0.02;
constexpr double MaxBaselineRate = 0.5;
/// Natural logarithm of odds of about ten thousand to one.
constexpr double ConclusiveLogOdds = 9.2;
constexpr double SuspectedLogOdds = ConclusiveLogOdds / 2;
constexpr double StrongLogOdds = ConclusiveLogOdds - 0.3;
/// Weight of one answer in a route's baseline error rate: it covers about the last fifty.
constexpr double AnswerWeight = 0.02;

} // namespace

auto recordAnswer(ErrorEvidence &evidence, BaselineErrorRate &baseline, bool isError) -> void
{
    const auto rate = std::clamp(baseline.rate, MinBaselineRate, MaxBaselineRate);
    const auto shift = isError ? std::log(FaultyServerErrorRate / rate) : std::log((1 - FaultyServerErrorRate) / (1 - rate));
    evidence.logOdds = std::max(0.0, evidence.logOdds + shift);
    if (!isSuspected(evidence)) {
        baseline.rate += AnswerWeight * ((isError ? 1 : 0) - baseline.rate);
    }
}

auto recordBeginning(ServerEvidence &evidence, RouteErrorRates &baseline) -> void
{
    recordAnswer(evidence.beginnings, baseline.beginnings, false);
}

auto recordEnd(ServerEvidence &evidence, RouteErrorRates &baseline, bool hasBegun, bool isError) -> void
{
    if (!hasBegun) {
        recordAnswer(evidence.beginnings, baseline.beginnings, isError);
    }
    if (hasBegun || !isError) {
        recordAnswer(evidence.streams, baseline.streams, isError);
    }
}

auto isConclusive(const ErrorEvidence &evidence) -> bool
{
    return evidence.logOdds >= ConclusiveLogOdds;
}

auto isConclusive(const ServerEvidence &evidence) -> bool
{
    return isConclusive(evidence.beginnings) || isConclusive(evidence.streams);
}

auto isSuspected(const ErrorEvidence &evidence) -> bool
{
    return evidence.logOdds >= SuspectedLogOdds;
}

auto isSuspected(const ServerEvidence &evidence) -> bool
{
    return isSuspected(evidence.beginnings) || isSuspected(evidence.streams);
}

auto markStronglySuspected(ServerEvidence &evidence) -> void
{
    evidence.beginnings.logOdds = StrongLogOdds;
    evidence.streams.logOdds = StrongLogOdds;
}

} // namespace auburnspread::passthrough
