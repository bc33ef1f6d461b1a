#include "core/passthrough/ejection.h"

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

/// A server that turned bad stays so for some seconds.
constexpr Duration EjectionTime = std::chrono::milliseconds(1000);
/// Entries try it again within this time after the pause, in an order of their own: the first ones tell the rest.
constexpr Duration ReturnSpread = std::chrono::milliseconds(1000);
/// Part of a service's servers that may be out of use for their errors. Where more fail, the cause lies elsewhere, and the rest could not
/// take their load.
constexpr double MostEjectedPart = 0.5;

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
    return static_cast<double>(ejected + 1) <= MostEjectedPart * static_cast<double>(all.size());
}

auto ownSpread(const ServerTable &table, const ServerState &server) -> Duration
{
    const auto draw = (table.seed ^ server.hash) % static_cast<std::uint64_t>(ReturnSpread.count());
    return Duration(static_cast<Duration::rep>(draw));
}

auto takeOut(const ServerTable &table, ServerState &server, TimePoint until, TimePoint now) -> void
{
    suspectStrongly(server.errorEvidence);
    if (mayEject(table, server, now)) {
        server.ejectedUntil = std::max(server.ejectedUntil, until + ownSpread(table, server));
    }
}

auto leftUntil(TimePoint until, TimePoint now) -> Duration
{
    return std::max(until - now, Duration::zero());
}

} // namespace

auto eject(ServerTable &table, ServerState &server, bool isTold, TimePoint now) -> void
{
    takeOut(table, server, now + EjectionTime, now);
    if (isTold) {
        markReportable(table, server);
        server.ownEjectionUntil = now + EjectionTime;
    }
}

auto hearEjection(ServerTable &table, ServerState &server, TimePoint until, TimePoint now) -> void
{
    server.peerEjectionUntil = std::max(server.peerEjectionUntil, std::min(until, now + EjectionTime));
    takeOut(table, server, server.peerEjectionUntil, now);
}

auto ownEjectionLeft(const ServerState &server, TimePoint now) -> Duration
{
    return leftUntil(server.ownEjectionUntil, now);
}

auto ejectionLeft(const ServerState &server, TimePoint now) -> Duration
{
    return leftUntil(std::max(server.ownEjectionUntil, server.peerEjectionUntil), now);
}

} // namespace auburnspread::passthrough
