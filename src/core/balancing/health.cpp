#include "core/balancing/internal/health.h"

#include "core/balancing/internal/pools.h"

#include <algorithm>
#include <vector>

namespace auburnspread::balancing
{

namespace detail
{

namespace
{

constexpr std::uint32_t FailuresToEject = 3;
/// Timeouts in a row after which a server is ejected although its probes answer: it accepts connections and does no work.
constexpr std::uint32_t SilencesToEject = 6;
constexpr std::uint32_t AnswersToReturn = 3;

constexpr Duration FirstEjection = std::chrono::seconds(2);
constexpr Duration LongestEjection = std::chrono::seconds(60);
/// A server that stayed in service for this long after its last ejection begins with the shortest one again.
constexpr Duration EjectionMemory = std::chrono::minutes(2);
constexpr Duration ProbeInterval = std::chrono::seconds(1);

/// How long a server that may just have died gets no new work, unless a probe settles it before.
constexpr Duration PauseForProbe = std::chrono::milliseconds(500);
/// The same for a server that refuses connections and may not be ejected.
constexpr Duration PauseOfUnreachable = std::chrono::seconds(1);

constexpr Duration FirstHold = std::chrono::milliseconds(100);
constexpr Duration LongestHold = std::chrono::seconds(3);

constexpr double AverageWeight = 0.2;
constexpr std::uint32_t LeastSamples = 8;
constexpr std::size_t LeastPeers = 3;
/// A server slower than its peers' median by this factor is a straggler and gets fewer slots ...
constexpr double StragglerRatio = 1.5;
/// ... until it is back below this one; the gap keeps a server at the border from changing at every look.
constexpr double RecoveredRatio = 1.2;
constexpr double OutlierRatio = 4;

auto doubled(Duration first, std::uint32_t times, Duration longest) -> Duration
{
    Duration duration = first;
    for (std::uint32_t step = 0; step < times && duration < longest; ++step) {
        duration *= 2;
    }
    return std::min(duration, longest);
}

/// Whether one more server of each of its pools may be ejected. Without the cap a fault on our own side, such as a lost
/// route, would eject every server one after the other.
auto mayEject(const State &state, const Server &server) -> bool
{
    return std::all_of(server.memberships.begin(), server.memberships.end(), [&](const Membership &membership) {
        const auto &pool = poolAt(state, membership.pool);
        const auto &servers = pool.servers;
        const auto ejected = std::count_if(servers.begin(), servers.end(), [&](ServerIndex index) { return serverAt(state, index).health == Health::Ejected; });
        return pool.hasAdapter || (static_cast<std::size_t>(ejected) + 1) * 100 <= servers.size() * state.ejectedSharePercent;
    });
}

auto watchHold(State &state, ServerIndex index) -> void
{
    if (std::find(state.heldServers.begin(), state.heldServers.end(), index) == state.heldServers.end()) {
        state.heldServers.push_back(index);
    }
}

auto pause(State &state, ServerIndex index, Duration duration, TimePoint now) -> void
{
    serverAt(state, index).pausedUntil = now + duration;
    watchHold(state, index);
    refreshServer(state, index, now);
}

auto eject(State &state, ServerIndex index, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    if (server.health == Health::Ejected || !server.inDocument) {
        return;
    }
    if (!mayEject(state, server)) {
        beginProbation(state, index, now);
        return;
    }
    if (now - server.ejectedUntil > EjectionMemory) {
        server.ejections = 0;
    }
    server.health = Health::Ejected;
    server.ejectedUntil = now + doubled(FirstEjection, server.ejections, LongestEjection);
    server.ejections += 1;
    server.probeHealthy = false;
    server.nextProbeAt = now;
    state.sharesDue = true;
    refreshServer(state, index, now);
}

/// A refusal to start blames nobody: the server is full, or still loads the model. It gets no work of this pool for a
/// moment.
auto hold(State &state, ServerIndex index, PoolIndex pool, TimePoint now) -> void
{
    auto *membership = findMembership(serverAt(state, index), pool);
    if (membership == nullptr) {
        return;
    }
    membership->holdUntil = now + doubled(FirstHold, membership->refusals, LongestHold);
    membership->refusals += 1;
    watchHold(state, index);
    refreshServer(state, index, now);
}

/// A connection went silent. The server may be well and only the connection lost, so a probe on a new connection
/// decides before the server is blamed.
auto noteSilence(State &state, ServerIndex index, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    server.silences += 1;
    if (server.silences >= SilencesToEject || server.health == Health::Probation) {
        eject(state, index, now);
        return;
    }
    if (server.health == Health::Healthy) {
        server.health = Health::Suspect;
        server.nextProbeAt = now;
    }
}

/// A refused connection says plainly that nothing listens there: a second request would only fail in the same way.
auto noteUnreachable(State &state, ServerIndex index, TimePoint now) -> void
{
    eject(state, index, now);
    if (serverAt(state, index).health != Health::Ejected) {
        pause(state, index, PauseOfUnreachable, now);
    }
}

auto noteError(State &state, ServerIndex index, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    server.consecutiveFailures += 1;
    if (server.consecutiveFailures >= FailuresToEject || server.health == Health::Probation) {
        eject(state, index, now);
    }
}

/// The connection broke. If the process died, whatever is sent there now fails too, the retries of what it ran first of
/// all; if only the connection did, a probe says so within milliseconds.
auto noteBroken(State &state, ServerIndex index, TimePoint now) -> void
{
    noteError(state, index, now);
    auto &server = serverAt(state, index);
    if (server.health != Health::Healthy && server.health != Health::Suspect) {
        return;
    }
    server.health = Health::Suspect;
    server.nextProbeAt = now;
    pause(state, index, PauseForProbe, now);
}

auto makeMedian(std::vector<double> &values) -> Median
{
    if (values.empty()) {
        return {};
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return { .micros = *middle, .servers = values.size() };
}

template <typename Part>
auto medianOf(const State &state, PoolIndex index, Part part) -> Median
{
    std::vector<double> values;
    for (const ServerIndex serverIndex : poolAt(state, index).servers) {
        const auto &server = serverAt(state, serverIndex);
        const Average &average = findMembership(server, index)->timing.*part;
        if (isUsable(server) && average.samples >= LeastSamples) {
            values.push_back(average.micros);
        }
    }
    return makeMedian(values);
}

/// How much longer than the median this server takes; 1 if not known.
auto ratioOf(const Average &average, const Median &median) -> double
{
    if (median.servers < LeastPeers || median.micros <= 0 || average.samples < LeastSamples) {
        return 1;
    }
    return average.micros / median.micros;
}

struct Slowness {
    double pace = 1;
    double firstToken = 1;
};

auto slownessOf(const State &state, const Server &server) -> Slowness
{
    Slowness slowness;
    for (const auto &membership : server.memberships) {
        const auto &pool = poolAt(state, membership.pool);
        slowness.pace = std::max(slowness.pace, ratioOf(membership.timing.tokenPace, pool.tokenPace));
        slowness.firstToken = std::max(slowness.firstToken, ratioOf(membership.timing.firstToken, pool.firstToken));
    }
    return slowness;
}

auto speedOf(const Server &server, double ratio) -> double
{
    const double threshold = server.speed < 1 ? RecoveredRatio : StragglerRatio;
    return ratio > threshold ? 1 / ratio : 1;
}

} // namespace

auto addSample(Average &average, Duration sample) -> void
{
    const auto micros = static_cast<double>(sample.count());
    const double weight = average.samples == 0 ? 1 : AverageWeight;
    average.micros += (micros - average.micros) * weight;
    average.samples += 1;
}

auto beginProbation(State &state, ServerIndex index, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    server.health = Health::Probation;
    server.probationAnswers = 0;
    server.consecutiveFailures = 0;
    server.silences = 0;
    server.speed = 1;
    for (auto &membership : server.memberships) {
        membership.timing = {};
    }
    state.sharesDue = true;
    refreshServer(state, index, now);
}

auto judgeAnswer(State &state, ServerIndex index, PoolIndex pool, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    server.consecutiveFailures = 0;
    server.silences = 0;
    auto *membership = findMembership(server, pool);
    if (membership != nullptr) {
        membership->refusals = 0;
    }
    if (server.health == Health::Suspect) {
        server.health = Health::Healthy;
    }
    if (server.health != Health::Probation) {
        return;
    }
    server.probationAnswers += 1;
    if (server.probationAnswers >= AnswersToReturn) {
        server.health = Health::Healthy;
        refreshServer(state, index, now);
    }
}

auto judgeFailure(State &state, ServerIndex index, PoolIndex pool, Failure failure, TimePoint now) -> void
{
    switch (failure) {
    case Failure::NotStarted:
    case Failure::WrongServer:
        hold(state, index, pool, now);
        return;
    case Failure::FirstTokenTimeout:
    case Failure::ProgressTimeout:
        noteSilence(state, index, now);
        return;
    case Failure::ConnectFailed:
        noteUnreachable(state, index, now);
        return;
    case Failure::BrokenBeforeFirstByte:
    case Failure::BrokenStream:
        noteBroken(state, index, now);
        return;
    case Failure::BadResponse:
    case Failure::WrongAttempt:
    case Failure::OffsetGap:
    case Failure::Truncated:
    case Failure::ServerError:
        noteError(state, index, now);
        return;
    }
}

auto judgeProbe(State &state, ServerIndex index, bool healthy, TimePoint now) -> void
{
    auto &server = serverAt(state, index);
    if (server.health == Health::Suspect) {
        server.health = Health::Healthy;
        server.pausedUntil = {};
        refreshServer(state, index, now);
        if (!healthy) {
            eject(state, index, now);
        }
        return;
    }
    if (server.health == Health::Ejected) {
        server.probeHealthy = healthy;
        endEjections(state, now);
    }
}

auto endEjections(State &state, TimePoint now) -> void
{
    for (std::size_t place = 0; place < state.servers.size(); ++place) {
        const auto &server = state.servers[place];
        if (server.health == Health::Ejected && server.probeHealthy && now >= server.ejectedUntil) {
            beginProbation(state, ServerIndex(place), now);
        }
    }
}

auto endHolds(State &state, TimePoint now) -> void
{
    std::vector<ServerIndex> held;
    std::swap(held, state.heldServers);
    for (const ServerIndex index : held) {
        refreshServer(state, index, now);
        const auto &server = serverAt(state, index);
        const bool holds
            = std::any_of(server.memberships.begin(), server.memberships.end(), [&](const Membership &membership) { return membership.holdUntil > now; });
        if (holds || server.pausedUntil > now) {
            state.heldServers.push_back(index);
        }
    }
}

auto compareTimings(State &state, TimePoint now) -> void
{
    for (std::size_t place = 0; place < state.pools.size(); ++place) {
        auto &pool = state.pools[place];
        if (pool.hasAdapter) {
            continue;
        }
        pool.firstToken = medianOf(state, PoolIndex(place), &Timing::firstToken);
        pool.tokenPace = medianOf(state, PoolIndex(place), &Timing::tokenPace);
    }
    for (std::size_t place = 0; place < state.servers.size(); ++place) {
        auto &server = state.servers[place];
        if (!isUsable(server) || server.health == Health::Probation) {
            continue;
        }
        const Slowness slowness = slownessOf(state, server);
        if (std::max(slowness.pace, slowness.firstToken) > OutlierRatio) {
            eject(state, ServerIndex(place), now);
            continue;
        }
        server.speed = speedOf(server, slowness.pace);
    }
    state.timingsAt = now;
}

} // namespace detail

auto noteProbe(State &state, std::string_view server, bool healthy, TimePoint now) -> void
{
    const auto index = findServer(state, server);
    if (index) {
        detail::judgeProbe(state, *index, healthy, now);
    }
}

auto takeProbesDue(State &state, TimePoint now) -> std::vector<ServerIndex>
{
    std::vector<ServerIndex> due;
    for (std::size_t place = 0; place < state.servers.size(); ++place) {
        auto &server = state.servers[place];
        const bool doubtful = server.health == Health::Suspect || server.health == Health::Ejected;
        if (!server.inDocument || !doubtful || now < server.nextProbeAt) {
            continue;
        }
        server.nextProbeAt = now + detail::ProbeInterval;
        due.push_back(ServerIndex(place));
    }
    return due;
}

} // namespace auburnspread::balancing
