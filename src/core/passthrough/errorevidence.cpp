#include "core/passthrough/errorevidence.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Part of a bad server's answers that are errors.
constexpr double BadErrorPart = 0.7;
/// However seldom requests fail, one error alone says little.
constexpr double LeastUsualPart = 0.02;
constexpr double MostUsualPart = 0.5;
/// Odds of ten thousand to one.
constexpr double ConvincingLogOdds = 9.2;
constexpr double SuspectedLogOdds = ConvincingLogOdds / 2;
constexpr double StrongLogOdds = ConvincingLogOdds - 0.3;
/// Of one answer in the average of the errors of a route: the last fifty count.
constexpr double AnswerWeight = 0.02;

} // namespace

auto noteAnswer(ErrorEvidence &evidence, UsualErrors &usual, bool isError) -> void
{
    const auto part = std::clamp(usual.part, LeastUsualPart, MostUsualPart);
    const auto shift = isError ? std::log(BadErrorPart / part) : std::log((1 - BadErrorPart) / (1 - part));
    evidence.logOdds = std::max(0.0, evidence.logOdds + shift);
    if (!isSuspected(evidence)) {
        usual.part += AnswerWeight * ((isError ? 1 : 0) - usual.part);
    }
}

auto isConvincing(const ErrorEvidence &evidence) -> bool
{
    return evidence.logOdds >= ConvincingLogOdds;
}

auto isSuspected(const ErrorEvidence &evidence) -> bool
{
    return evidence.logOdds >= SuspectedLogOdds;
}

auto suspectStrongly(ErrorEvidence &evidence) -> void
{
    evidence.logOdds = StrongLogOdds;
}

} // namespace auburnspread::passthrough
