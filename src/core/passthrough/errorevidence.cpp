#include "core/passthrough/errorevidence.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Part of a bad server's answers that are errors.
constexpr double FaultyServerErrorRate = 0.7;
/// However seldom requests fail, one error alone says little.
constexpr double MinBaselineRate = 0.02;
constexpr double MaxBaselineRate = 0.5;
/// Odds of ten thousand to one.
constexpr double ConclusiveLogOdds = 9.2;
constexpr double SuspectedLogOdds = ConclusiveLogOdds / 2;
constexpr double StrongLogOdds = ConclusiveLogOdds - 0.3;
/// Of one answer in the average of the errors of a route: the last fifty count.
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

auto isConclusive(const ErrorEvidence &evidence) -> bool
{
    return evidence.logOdds >= ConclusiveLogOdds;
}

auto isSuspected(const ErrorEvidence &evidence) -> bool
{
    return evidence.logOdds >= SuspectedLogOdds;
}

auto markStronglySuspected(ErrorEvidence &evidence) -> void
{
    evidence.logOdds = StrongLogOdds;
}

} // namespace auburnspread::passthrough
