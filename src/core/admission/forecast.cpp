#include "core/admission/forecast.h"

#include <algorithm>

namespace auburnspread::admission
{

namespace
{

constexpr double GoodCase = 0.25;
constexpr double BadCase = 0.95;
constexpr double Typical = 0.5;
constexpr std::uint32_t UnknownAnswerTokens = 200;
constexpr double PaceWeight = 0.1;      ///< of a new interval in the moving average
constexpr double MostSpareWeight = 0.1; ///< of one dispatch, however long ago the one before it was
constexpr double LeastSpare = 0.01;

auto toDuration(double microseconds) -> Duration
{
    return Duration(static_cast<Duration::rep>(microseconds));
}

auto toDouble(Duration duration) -> double
{
    return static_cast<double>(duration.count());
}

/// How the last forecasts compare with what came: requests that went ahead later, or gave up, are not foreseen.
auto waitCorrection(const Estimates &estimates) -> double
{
    constexpr double Percent = 100;
    constexpr double Least = 0.25;
    constexpr double Most = 4;
    return std::clamp(quantile(estimates.waitRatio, GoodCase).value_or(Percent) / Percent, Least, Most);
}

/// Waiting time until \p requests more left the queue.
auto timeToLeave(const Estimates &estimates, double requests, TimePoint now) -> double
{
    if (estimates.pace.interval == Duration::zero()) {
        return 0;
    }
    // A queue that has not moved for longer than usual is stuck: its past pace says nothing about now.
    const auto interval = std::max(estimates.pace.interval, now - estimates.pace.since);
    return toDouble(interval) * requests;
}

auto answerTime(const Estimates &estimates, double part) -> Duration
{
    const auto length = quantile(estimates.tokens, part).value_or(0);
    const auto pace = quantile(estimates.tokenPace, part).value_or(0);
    return toDuration(quantile(estimates.firstToken, part).value_or(0) + length * pace);
}

} // namespace

auto noteQueueBegun(Estimates &estimates, TimePoint now) -> void
{
    estimates.pace.since = now;
}

auto noteLeftQueue(Estimates &estimates, Duration waited, Duration forecast, TimePoint now) -> void
{
    auto &pace = estimates.pace;
    const auto interval = now - pace.since;
    const auto average = pace.interval == Duration::zero() ? toDouble(interval) : (1 - PaceWeight) * toDouble(pace.interval) + PaceWeight * toDouble(interval);
    pace.interval = toDuration(average);
    pace.since = now;
    if (forecast > Duration::zero()) {
        observe(estimates.waitRatio, 100.0 * toDouble(waited) / toDouble(forecast));
    }
}

auto noteSpare(Estimates &estimates, bool isSpare, Duration horizon, TimePoint now) -> void
{
    auto &spare = estimates.spare;
    const auto passed = std::clamp(toDouble(now - spare.since) / std::max(toDouble(horizon), 1.0), 0.0, MostSpareWeight);
    spare.share += ((isSpare ? 1 : 0) - spare.share) * passed;
    spare.since = now;
}

auto noteFirstToken(Estimates &estimates, Duration sinceDispatch) -> void
{
    observe(estimates.firstToken, toDouble(sinceDispatch));
}

auto noteAnswer(Estimates &estimates, std::uint32_t tokens, Duration streaming) -> void
{
    observe(estimates.tokens, tokens);
    if (tokens > 1) {
        observe(estimates.tokenPace, toDouble(streaming) / (tokens - 1));
    }
}

auto forecastWait(const Estimates &estimates, std::uint32_t ahead, TimePoint now) -> Duration
{
    return toDuration(timeToLeave(estimates, ahead, now) * waitCorrection(estimates));
}

auto forecastLateWait(const Estimates &estimates, std::uint32_t ahead, TimePoint now) -> Duration
{
    return toDuration(timeToLeave(estimates, ahead, now) / std::max(estimates.spare.share, LeastSpare));
}

auto typicalAnswer(const Estimates &estimates) -> Duration
{
    return answerTime(estimates, Typical);
}

auto quickFirstToken(const Estimates &estimates) -> Duration
{
    return toDuration(quantile(estimates.firstToken, GoodCase).value_or(0));
}

auto slowFirstToken(const Estimates &estimates) -> std::optional<Duration>
{
    const auto slow = quantile(estimates.firstToken, BadCase);
    return slow ? std::optional(toDuration(*slow)) : std::nullopt;
}

auto expectedTokens(const Estimates &estimates, std::uint32_t maximum) -> std::uint32_t
{
    const auto typical = quantile(estimates.tokens, Typical).value_or(UnknownAnswerTokens);
    const auto tokens = static_cast<std::uint32_t>(typical);
    return maximum == 0 ? tokens : std::min(tokens, maximum);
}

auto expectedRest(const Estimates &estimates, std::uint32_t relayed) -> Duration
{
    const auto length = quantileAbove(estimates.tokens, Typical, relayed);
    const auto pace = quantile(estimates.tokenPace, Typical);
    if (!length || !pace) {
        return Duration::zero();
    }
    return toDuration(std::max(0.0, *length - relayed) * *pace);
}

auto missedBy(const Estimates &estimates, Duration wait, const Targets &targets) -> std::optional<Duration>
{
    const auto firstToken = wait + quickFirstToken(estimates);
    const auto answer = wait + answerTime(estimates, GoodCase);
    const auto missed = std::max(firstToken - targets.firstToken, answer - targets.answer);
    return missed > Duration::zero() ? std::optional(missed) : std::nullopt;
}

} // namespace auburnspread::admission
