#include "core/passthrough/ejection.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

/// A faulty server usually stays faulty for several seconds.
constexpr Duration EjectionDuration = std::chrono::milliseconds(1000);
/// Entries resume sending spread over this time after the pause, so that the first ones can report whether the server still fails.
constexpr Duration ReturnJitter = std::chrono::milliseconds(1000);
/// Share of a service's servers that may be ejected at the same time. If more of them fail, the cause is probably not the servers, and
/// the remaining ones could not take the load.
constexpr double MaxEjectedShare = 0.5;

auto isEjected(const ServerState &server, TimePoint now) -> bool
{
    return now < server.ejectedUntil;
}

auto mayEject(const ServerTable &table, const ServerState &server, TimePoint now) -> bool
{
    const auto found = table.byService.find(server.record.service);
    if (found == table.byService.end()) {
        return false;
    }
    const auto &all = found->second.all;
    const auto ejected = std::count_if(all.begin(), all.end(), [&](const ServerPointer &each) { return each.get() != &server && isEjected(*each, now); });
    return static_cast<double>(ejected + 1) <= MaxEjectedShare * static_cast<double>(all.size());
}

auto returnJitter(const ServerTable &table, const ServerState &server) -> Duration
{
    const auto delay = (table.seed ^ server.hash) % static_cast<std::uint64_t>(ReturnJitter.count());
    return Duration(static_cast<Duration::rep>(delay));
}

auto applyEjection(const ServerTable &table, ServerState &server, TimePoint until, TimePoint now) -> void
{
    markStronglySuspected(server.errorEvidence);
    if (mayEject(table, server, now)) {
        server.ejectedUntil = std::max(server.ejectedUntil, until + returnJitter(table, server));
    }
}

auto remainingUntil(TimePoint until, TimePoint now) -> Duration
{
    return std::max(until - now, Duration::zero());
}

} // namespace

auto eject(ServerTable &table, ServerState &server, bool isReported, TimePoint now) -> void
{
    applyEjection(table, server, now + EjectionDuration, now);
    if (isReported) {
        markReportable(table, server);
        server.ownEjectionUntil = now + EjectionDuration;
    }
}

auto applyPeerEjection(ServerTable &table, ServerState &server, TimePoint until, TimePoint now) -> void
{
    server.peerEjectionUntil = std::max(server.peerEjectionUntil, std::min(until, now + EjectionDuration));
    applyEjection(table, server, server.peerEjectionUntil, now);
}

auto remainingOwnEjection(const ServerState &server, TimePoint now) -> Duration
{
    return remainingUntil(server.ownEjectionUntil, now);
}

auto remainingEjection(const ServerState &server, TimePoint now) -> Duration
{
    return remainingUntil(std::max(server.ownEjectionUntil, server.peerEjectionUntil), now);
}

} // namespace auburnspread::passthrough
