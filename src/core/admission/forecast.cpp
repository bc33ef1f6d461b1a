#include "core/admission/forecast.h"

#include <algorithm>

namespace auburnspread::admission
{

namespace
{

constexpr double GoodCaseQuantile = 0.25;
constexpr double BadCaseQuantile = 0.95;
constexpr double TypicalQuantile = 0.5;
constexpr std::uint32_t UnknownAnswerTokens = 200;
constexpr double PaceWeight = 0.1;     ///< weight of a new interval in the moving average
constexpr double MaxSpareWeight = 0.1; ///< weight of one dispatch, however long ago the previous one was
constexpr double MinSpareShare = 0.01;

auto toDuration(double microseconds) -> Duration
{
    return Duration(static_cast<Duration::rep>(microseconds));
}

auto toDouble(Duration duration) -> double
{
    return static_cast<double>(duration.count());
}

/// The ratio of actual to forecast waiting times of recent requests. It corrects for what a forecast cannot include:
/// requests that arrive later but are served first, and requests that leave the queue early.
auto waitCorrection(const Estimates &estimates) -> double
{
    constexpr double Percent = 100;
    constexpr double MinCorrection = 0.25;
    constexpr double MaxCorrection = 4;
    return std::clamp(quantile(estimates.waitRatio, GoodCaseQuantile).value_or(Percent) / Percent, MinCorrection, MaxCorrection);
}

/// Time until \p requests further requests have left the queue, in microseconds.
auto timeToLeave(const Estimates &estimates, double requests, TimePoint now) -> double
{
    if (estimates.pace.interval == Duration::zero()) {
        return 0;
    }
    // If no request has left the queue for longer than the average interval, the queue is stalled and its past rate no
    // longer applies.
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

auto recordQueueStart(Estimates &estimates, TimePoint now) -> void
{
    estimates.pace.since = now;
}

auto recordDequeue(Estimates &estimates, Duration waited, Duration forecast, TimePoint now) -> void
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

auto recordSpareShare(Estimates &estimates, bool isSpare, Duration horizon, TimePoint now) -> void
{
    auto &spare = estimates.spare;
    const auto passed = std::clamp(toDouble(now - spare.since) / std::max(toDouble(horizon), 1.0), 0.0, MaxSpareWeight);
    spare.share += ((isSpare ? 1 : 0) - spare.share) * passed;
    spare.since = now;
}

auto recordFirstToken(Estimates &estimates, Duration sinceDispatch) -> void
{
    observe(estimates.firstToken, toDouble(sinceDispatch));
}

auto recordAnswer(Estimates &estimates, std::uint32_t tokens, Duration streaming) -> void
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
    return toDuration(timeToLeave(estimates, ahead, now) / std::max(estimates.spare.share, MinSpareShare));
}

auto typicalAnswer(const Estimates &estimates) -> Duration
{
    return answerTime(estimates, TypicalQuantile);
}

auto quickFirstToken(const Estimates &estimates) -> Duration
{
    return toDuration(quantile(estimates.firstToken, GoodCaseQuantile).value_or(0));
}

auto slowFirstToken(const Estimates &estimates) -> std::optional<Duration>
{
    const auto slow = quantile(estimates.firstToken, BadCaseQuantile);
    return slow ? std::optional(toDuration(*slow)) : std::nullopt;
}

auto expectedTokens(const Estimates &estimates, std::uint32_t maximum) -> std::uint32_t
{
    const auto typical = quantile(estimates.tokens, TypicalQuantile).value_or(UnknownAnswerTokens);
    const auto tokens = static_cast<std::uint32_t>(typical);
    return maximum == 0 ? tokens : std::min(tokens, maximum);
}

auto expectedRest(const Estimates &estimates, std::uint32_t relayed) -> Duration
{
    const auto length = quantileAbove(estimates.tokens, TypicalQuantile, relayed);
    const auto pace = quantile(estimates.tokenPace, TypicalQuantile);
    if (!length || !pace) {
        return Duration::zero();
    }
    return toDuration(std::max(0.0, *length - relayed) * *pace);
}

auto targetOverrun(const Estimates &estimates, Duration wait, const Targets &targets) -> std::optional<Duration>
{
    const auto firstToken = wait + quickFirstToken(estimates);
    const auto answer = wait + answerTime(estimates, GoodCaseQuantile);
    const auto missed = std::max(firstToken - targets.firstToken, answer - targets.answer);
    return missed > Duration::zero() ? std::optional(missed) : std::nullopt;
}

} // namespace auburnspread::admission
