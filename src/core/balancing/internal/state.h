/// \file
/// The balancing state. Servers and pools refer to each other by index, so that a choice touches a few cache lines
/// however many servers there are.

#pragma once

#include "core/balancing/balancing.h"
#include "core/balancing/internal/random.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnspread::balancing
{

namespace detail
{

/// Servers that serve one (model, version, adapter), or one plain service.
enum class PoolIndex : std::uint32_t {};

/// A name under which demand is exchanged: a model, or a plain service.
enum class DemandIndex : std::uint32_t {};

template <typename Index>
constexpr auto place(Index index) -> std::size_t
{
    return static_cast<std::size_t>(index);
}

/// An exponentially weighted moving average; 0 samples: not known.
struct Average {
    double micros = 0;
    std::uint32_t samples = 0;
};

/// The middle of several servers' averages.
struct Median {
    double micros = 0; ///< 0: not known
    std::size_t servers = 0;
};

struct Timing {
    Average firstToken;
    Average tokenPace;
};

constexpr std::uint32_t NotFree = UINT32_MAX;

/// One server's part in one pool.
struct Membership {
    PoolIndex pool{};
    std::uint32_t group = 0;           ///< of the pool: the server's failure domain
    std::uint32_t freePlace = NotFree; ///< in the group's list of servers with a free slot
    Timing timing;                     ///< of pools without an adapter; the others look it up there
    TimePoint holdUntil{};             ///< the server refused to start a request of this pool
    std::uint32_t refusals = 0;        ///< in a row
};

struct Server {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::uint64_t nameHash = 0;     ///< the same on every entry
    std::uint64_t fractionSeed = 0; ///< of this entry and this server
    bool inDocument = false;
    bool counted = false; ///< among the usable servers of its pools
    bool canResume = false;
    bool honoursPriority = false;
    bool leaving = false;
    std::uint32_t concurrency = 0;
    std::vector<Membership> memberships;
    std::vector<DemandIndex> demands;

    std::uint32_t inFlight = 0;
    std::uint32_t peersInFlight = 0;
    std::uint32_t share = 0;               ///< of the concurrency, from the exchanged vectors
    std::uint32_t reserved = 0;            ///< of the share: held for this entry even while it is idle
    std::uint32_t limit = 0;               ///< what may be in flight now
    std::optional<AttemptId> quietAttempt; ///< a suspect request that runs alone

    Health health = Health::Healthy;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t silences = 0; ///< timeouts since the last answer
    std::uint32_t ejections = 0;
    std::uint32_t probationAnswers = 0;
    TimePoint ejectedUntil{};
    TimePoint pausedUntil{}; ///< no new work until then: it may just have died
    TimePoint nextProbeAt{};
    bool probeHealthy = false; ///< since the ejection
    double speed = 1;          ///< relative to the peers of its pools, at most 1; slots shrink with it

    LoadReport report;
    TimePoint reportedAt{};
    bool hasReport = false;
};

/// Servers of a pool in one failure domain that have a free slot.
struct Group {
    std::string failureDomain;
    std::vector<ServerIndex> free;
};

constexpr std::size_t AffinityBuckets = 1024;
constexpr std::size_t AffinityRanks = 3;
using AffinityRow = std::array<ServerIndex, AffinityRanks>;

struct Pool {
    bool hasAdapter = false;
    PoolIndex base{};                 ///< the pool of the same model and version without an adapter
    std::vector<ServerIndex> servers; ///< by name
    std::vector<Group> groups;
    std::uint32_t usable = 0; ///< servers that may be chosen, with a free slot or without
    std::uint32_t slots = 0;  ///< sum of limits
    std::uint32_t inFlight = 0;
    std::uint32_t freeSlots = 0;
    Median firstToken; ///< over the servers
    Median tokenPace;
    std::vector<AffinityRow> affinity; ///< by prefix bucket: the best servers by rendezvous hash; empty: not built
};

struct Attempt {
    ServerIndex server{};
    PoolIndex pool{};
    TimePoint dispatchedAt{};
    TimePoint progressAt{};
    std::uint32_t tokens = 0;
    bool started = false;
};

/// What one entry of the cell, this one included, last reported.
struct Entry {
    std::string name;
    std::vector<std::uint32_t> inFlight; ///< by server
    std::vector<std::uint32_t> waiting;  ///< by demand
    TimePoint heardAt{};
    bool heard = false;
};

struct DemandTotal {
    std::string name;
    double smoothed = 0; ///< what this entry reported last, decaying
    TimePoint smoothedAt{};
};

struct NameHash {
    using is_transparent = void;
    auto operator()(std::string_view name) const -> std::size_t
    {
        return std::hash<std::string_view>{}(name);
    }
};

template <typename Value>
using NameMap = std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

} // namespace detail

struct State {
    Options options;
    detail::Generator generator;
    std::uint32_t ejectedSharePercent = 34;
    std::vector<detail::Server> servers;
    std::vector<ServerIndex> serversInOrder; ///< of the document, by name: the same order on every entry
    std::vector<detail::Pool> pools;
    std::vector<detail::DemandTotal> demands;
    std::vector<detail::Entry> cell; ///< by name; never empty, this entry is one of them
    std::unordered_map<AttemptId, detail::Attempt> attempts;
    detail::NameMap<ServerIndex> serversByName;
    detail::NameMap<detail::PoolIndex> poolsByKey;
    detail::NameMap<detail::DemandIndex> demandsByName;
    std::vector<ServerIndex> heldServers; ///< paused, or with a membership on hold
    bool sharesDue = true;
    TimePoint sharesAt{};
    TimePoint timingsAt{};
};

} // namespace auburnspread::balancing
