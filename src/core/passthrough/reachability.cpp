#include "core/passthrough/reachability.h"

#include <algorithm>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Failures of fewer servers may have other causes.
constexpr std::size_t MinFailedServers = 3;
/// Failures that are this old say nothing about the present.
constexpr Duration FailureMemory = std::chrono::seconds(3);
/// Servers that crash at the same moment break their connections at once; the others respond within this time.
constexpr Duration MinSilence = std::chrono::milliseconds(250);
/// A failure must be at least this old before other servers are probed; responses to other requests usually make that unnecessary.
constexpr Duration ProbeDelay = std::chrono::milliseconds(100);
constexpr Duration ProbeInterval = std::chrono::milliseconds(500);

auto forgetOldFailures(Reachability &reach, TimePoint now) -> void
{
    std::erase_if(reach.failures, [now](const auto &item) { return now - item.second > FailureMemory; });
}

} // namespace

auto recordPathFailure(Reachability &reach, const std::string &server, TimePoint now) -> void
{
    if (!reach.isCutOff) {
        forgetOldFailures(reach, now);
    }
    if (reach.failures.empty()) {
        reach.firstFailureAt = now;
    }
    reach.failures[server] = now;
}

auto recordPathSuccess(Reachability &reach) -> bool
{
    reach.failures.clear();
    return std::exchange(reach.isCutOff, false);
}

auto detectCut(Reachability &reach, std::size_t servers, TimePoint now) -> bool
{
    if (reach.isCutOff || servers == 0) {
        return false;
    }
    forgetOldFailures(reach, now);
    const auto isSilent = !reach.failures.empty() && now - reach.firstFailureAt >= MinSilence;
    reach.isCutOff = isSilent && reach.failures.size() >= std::min(MinFailedServers, servers);
    return reach.isCutOff;
}

auto takeProbeRound(Reachability &reach, TimePoint now) -> bool
{
    const auto isSuspected = !reach.failures.empty() && now - reach.firstFailureAt >= ProbeDelay;
    if (!(reach.isCutOff || isSuspected) || now - reach.probedAt < ProbeInterval) {
        return false;
    }
    reach.probedAt = now;
    return true;
}

} // namespace auburnspread::passthrough
