#include "core/passthrough/reportvalidation.h"

#include "core/passthrough/enginespeed.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace auburnspread::passthrough
{

namespace
{

constexpr std::uint32_t MaxRequests = 65'536;                 ///< in flight on one server
constexpr std::uint32_t MaxTokens = std::uint32_t{ 1 } << 31; ///< on one server
constexpr std::uint32_t MaxSentLately = 4'000'000;            ///< requests at the highest rate within the window of the rate limit
constexpr double MaxRate = 1'000'000;                         ///< requests per second
constexpr Duration MaxDuration = std::chrono::hours(1);
constexpr std::uint32_t MaxEntries = 10'000;
constexpr std::size_t MaxUses = 10'000;

/// A condition on a part of a report, with the name of the figure that it concerns.
template <typename Part>
struct Check {
    std::string_view figure;
    bool (*isValid)(const Part &part);
};

auto isValidDuration(Duration duration) -> bool
{
    return duration >= Duration::zero() && duration <= MaxDuration;
}

auto isValidRate(double perSecond) -> bool
{
    return std::isfinite(perSecond) && perSecond >= 0 && perSecond <= MaxRate;
}

auto isValidLimit(const PeerReported::Limit &limit) -> bool
{
    return !limit.perSecond || (std::isfinite(*limit.perSecond) && *limit.perSecond >= 0);
}

using Usage = PeerReported::ServerUsage;

constexpr auto ReportChecks = std::to_array<Check<PeerReported>>({
    { "entries", [](const PeerReported &report) { return report.entries <= MaxEntries; } },
    { "number of servers", [](const PeerReported &report) { return report.uses.size() <= MaxUses && report.speeds.size() <= MaxUses; } },
});

constexpr auto UsageChecks = std::to_array<Check<Usage>>({
    { "requests in flight", [](const Usage &use) { return use.inFlight <= MaxRequests; } },
    { "short prompts", [](const Usage &use) { return use.shortPrompts <= MaxRequests; } },
    { "unread tokens", [](const Usage &use) { return use.unreadTokens <= MaxTokens; } },
    { "held tokens", [](const Usage &use) { return use.heldTokens <= MaxTokens; } },
    { "waiting tokens", [](const Usage &use) { return use.waitingTokens <= MaxTokens; } },
    { "requests sent lately", [](const Usage &use) { return use.sentLately <= MaxSentLately; } },
    { "ejection", [](const Usage &use) { return isValidDuration(use.ejectedFor); } },
    { "rate limit", [](const Usage &use) { return !use.limit || isValidLimit(*use.limit); } },
    { "age of the rate limit", [](const Usage &use) { return !use.limit || isValidDuration(use.limit->age); } },
});

constexpr auto ArrivalChecks = std::to_array<Check<PeerReported::Arrivals>>({
    { "arrival rate", [](const PeerReported::Arrivals &arrivals) { return isValidRate(arrivals.perSecond); } },
});

constexpr auto SpeedChecks = std::to_array<Check<PeerReported::Speed>>({
    { "speed", [](const PeerReported::Speed &speed) { return isPlausible(speed.samples, speed.logSum); } },
});

/// \return the name of the first figure of this part that is invalid; empty: none
template <typename Part, std::size_t Size>
auto findInvalid(const std::array<Check<Part>, Size> &checks, const Part &part) -> std::string_view
{
    const auto failed = std::find_if(checks.begin(), checks.end(), [&part](const Check<Part> &check) { return !check.isValid(part); });
    return failed == checks.end() ? std::string_view() : failed->figure;
}

} // namespace

auto findInvalidFigure(const PeerReported &report) -> std::optional<std::string>
{
    if (const auto figure = findInvalid(ReportChecks, report); !figure.empty()) {
        return std::string(figure);
    }
    for (const auto &use : report.uses) {
        if (const auto figure = findInvalid(UsageChecks, use); !figure.empty()) {
            return std::string(figure) + " of server " + use.server;
        }
    }
    for (const auto &arrivals : report.arrivals) {
        if (const auto figure = findInvalid(ArrivalChecks, arrivals); !figure.empty()) {
            return std::string(figure) + " of service " + arrivals.service;
        }
    }
    for (const auto &speed : report.speeds) {
        if (const auto figure = findInvalid(SpeedChecks, speed); !figure.empty()) {
            return std::string(figure) + " of server " + speed.server;
        }
    }
    return std::nullopt;
}

} // namespace auburnspread::passthrough
