/// \file
/// Which backend server an attempt goes to, and how many requests this entry may keep in flight on each.
///
/// The state holds every backend server of the document (engines and plain-service servers alike) as this one entry
/// sees it: its own requests in flight and timings, what the other entries of the cell report, health, and the
/// entry's share of each server's concurrency. No owner grants slots: each entry works its share out from the same
/// exchanged vectors (docs/design/sharing.md).

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/configuration/document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::balancing
{

/// A backend server's place in the state. It stays the same while the server stays in the document with the same
/// address; the index of a server that left is given to another one only after its last attempt ended.
enum class ServerIndex : std::uint32_t {};

struct Options {
    std::string entry; ///< this entry's name
    std::string failureDomain;
    std::uint64_t seed = 1; ///< of every random choice
};

struct State;

struct StateDeleter {
    auto operator()(State *state) const -> void;
};
using StatePointer = std::unique_ptr<State, StateDeleter>;

/// What an attempt needs. Either \c service or \c model and \c version are given.
struct Query {
    std::string_view model;
    std::string_view version; ///< resolved: never empty for a model
    std::string_view adapter; ///< empty: none
    std::string_view service; ///< name of a plain service; empty: a model
    std::uint64_t prefixHash = 0;
    int tier = 0;
    std::span<const ServerIndex> avoidServers;             ///< never chosen
    std::span<const std::string_view> avoidFailureDomains; ///< chosen only if no other failure domain has a free slot
    bool quietOnly = false;                                ///< for a suspect request: only a server with little else in flight, and alone from here
};

auto makeState(Options options) -> StatePointer;

/// Takes a document in force. What is known of servers that stay is kept.
auto adopt(State &state, const configuration::Document &document, TimePoint now) -> void;

/// Work that comes due with time: shares, medians, ends of ejection and probation. Call it on every tick and
/// before a round of choices after peers reported; it is cheap when nothing is due.
auto advance(State &state, TimePoint now) -> void;

/// \name Choice
/// @{

/// A server with a free slot of this entry, or nothing: the request must wait (or no server serves it at all, see
/// countServers).
auto chooseServer(State &state, const Query &query, TimePoint now) -> std::optional<ServerIndex>;

/// Attempts that this entry may start now for the query's model or service; avoid lists are not looked at.
auto freeSlots(const State &state, const Query &query) -> std::uint32_t;

/// Servers that serve the query's model or service and may be chosen: not leaving, not ejected. 0: nothing can serve it.
auto countServers(const State &state, const Query &query) -> std::uint32_t;

/// Sum of this entry's slots, used or free, for the query's model or service: what a queue's drain rate is estimated from.
auto slotsOf(const State &state, const Query &query) -> std::uint32_t;
/// @}

/// \name What this entry's attempts do
/// Unknown attempts are ignored: a late event of a finished attempt changes nothing.
/// @{
auto noteDispatched(State &state, AttemptId attempt, ServerIndex server, const Query &query, TimePoint now) -> void;
auto noteFirstToken(State &state, AttemptId attempt, TimePoint now) -> void;
/// \p tokens: received by this attempt so far.
auto noteProgress(State &state, AttemptId attempt, std::uint32_t tokens, TimePoint now) -> void;
auto noteFinished(State &state, AttemptId attempt, std::uint32_t tokens, TimePoint now) -> void;
auto noteFailed(State &state, AttemptId attempt, Failure failure, TimePoint now) -> void;
/// The attempt goes on, but its server sends nothing. \p timeout: the one that it has met.
auto noteSilent(State &state, AttemptId attempt, Failure timeout, TimePoint now) -> void;
/// We gave it up: says nothing about the server.
auto noteCancelled(State &state, AttemptId attempt, TimePoint now) -> void;
/// @}

/// \name What others say
/// Unknown names are ignored.
/// @{

/// A backend server's own report. Counts only while fresh and never lowers what this entry knows.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Duration age{};
};
auto noteLoadReport(State &state, std::string_view server, const LoadReport &report, TimePoint now) -> void;

/// In flight from one entry on one backend server.
struct ServerUse {
    std::string server;
    std::uint32_t inFlight = 0;
};

/// Requests that one entry has waiting for a model, or for a plain service (named `service:` and its name).
struct Demand {
    std::string pool;
    std::uint32_t waiting = 0;
};

struct UseReport {
    std::string entry;
    std::vector<ServerUse> servers;
    std::vector<Demand> demand;
};
auto notePeerReport(State &state, const UseReport &report, TimePoint now) -> void;

/// The name under which demand for a model, or for a plain service, is exchanged.
auto demandName(const Query &query) -> std::string;

/// This entry's own report for its peers. \p waiting: requests now queued here, by demandName. Shares are worked out
/// from what was reported, also our own: so call it a few times a second, with or without peers.
auto takeReport(State &state, std::span<const Demand> waiting, TimePoint now) -> UseReport;

/// The entries of the cell, this one included.
auto noteCell(State &state, std::span<const std::string> entries, TimePoint now) -> void;

/// No new work from now on; in-flight attempts go on. A mark that is taken back lets the server return by probation.
auto noteLeaving(State &state, std::string_view server, bool leaving, TimePoint now) -> void;

auto noteProbe(State &state, std::string_view server, bool healthy, TimePoint now) -> void;
/// @}

/// Servers to be probed now, on a new connection each; a server is named again only after the probe interval.
auto takeProbesDue(State &state, TimePoint now) -> std::vector<ServerIndex>;

/// \name What is known of a server
/// @{
enum class Health {
    Healthy,
    Suspect,   ///< a connection went silent; a probe decides
    Ejected,   ///< gets no work
    Probation, ///< back from ejection, gets little work until it proves itself
};

struct ServerView {
    std::string name;
    std::string address;
    std::string failureDomain;
    Health health = Health::Healthy;
    bool leaving = false;
    bool inDocument = true;
    bool canResume = false;
    bool honoursPriority = false;
    std::uint32_t concurrency = 0;
    std::uint32_t share = 0;    ///< this entry's part of the concurrency
    std::uint32_t limit = 0;    ///< what of the share may be used now
    std::uint32_t inFlight = 0; ///< from this entry
    std::uint32_t peersInFlight = 0;
    Duration firstToken{}; ///< moving average; 0: not known
    Duration tokenPace{};  ///< moving average time between tokens; 0: not known
};

auto findServer(const State &state, std::string_view name) -> std::optional<ServerIndex>;
auto viewServer(const State &state, ServerIndex server) -> ServerView;
auto shareOf(const State &state, ServerIndex server) -> std::uint32_t;
/// Every server of the document, by name.
auto listServers(const State &state) -> std::vector<ServerIndex>;
/// @}

/// Typical time to the first token and between tokens for the query's model over its servers; 0: not known yet.
struct Timings {
    Duration firstToken{};
    Duration tokenPace{};
};
auto timingsOf(const State &state, const Query &query) -> Timings;

} // namespace auburnspread::balancing
