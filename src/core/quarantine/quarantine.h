/// \file
/// Requests that crash the backend servers that run them, known by their fingerprint.
///
/// One crash makes every fingerprint that was running on the server a suspect. A suspect is retried alone, at most
/// once, and only while no other copy of it runs. A second crash quarantines it; a complete answer clears it. Copies
/// of a fingerprint that never completed run on one backend server at a time, so that they can crash only that one.
/// See docs/design/quarantine.md.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburnspread::quarantine
{

struct Options {
    std::string entry; ///< this entry's name
    Duration expiry = std::chrono::hours(1);
    std::size_t capacity = 1000;                         ///< suspects and quarantined together
    std::size_t provenCapacity = 4096;                   ///< fingerprints remembered as harmless
    Duration settleTime = std::chrono::milliseconds(50); ///< from saying that we will retry to the retry: what peers saw and want arrives
    Duration peerIntentTime = std::chrono::seconds(2);   ///< a peer that said it will retry has this long to begin or to say so again
    Duration peerRetryTime = std::chrono::seconds(60);   ///< a peer's retry that says nothing more is taken as over
};

enum class Verdict {
    Run,         ///< without restriction
    RunOnServer, ///< only on the named server, where an unproven copy runs already; if it has no slot, wait
    RunAlone,    ///< the one retry of a suspect: choose with quietOnly
    Wait,        ///< ask again at the next tick or event
    Refuse,      ///< quarantined
};

/// What a cell is told about a fingerprint.
enum class Mark {
    Suspect,     ///< it ran on \c server when that crashed
    Retrying,    ///< its one retry runs now on \c server; without a server: \c entry is about to make it
    RetryEnded,  ///< its retry ended and proved nothing: another entry may make it
    Cleared,     ///< it completed: no longer suspect
    Quarantined, ///< present at two crashes
    Released,    ///< by an operator
};

struct Notice {
    Fingerprint fingerprint{};
    Mark mark = Mark::Quarantined;
    std::string entry;  ///< who says so
    std::string server; ///< of Suspect and Retrying
};

struct Decision {
    Verdict verdict = Verdict::Run;
    std::string server; ///< of RunOnServer
};

/// \name State. Fields are the module's own; read them by list() and decide().
/// @{
struct Incident {
    std::string server;
    TimePoint at{};
    std::uint64_t sequence = 0; ///< of a crash seen here; 0: heard from a peer
};

struct Record {
    bool quarantined = false;
    std::vector<Incident> crashes;         ///< distinct crashes at which the fingerprint was present
    TimePoint since{};                     ///< last change, for expiry and eviction
    std::optional<TimePoint> intendsSince; ///< this entry said that it will retry
    TimePoint intentToldAt{};
    std::string peerRetrying; ///< the entry whose retry is under way; empty: none
    TimePoint peerRetryUntil{};
};

struct Attempt {
    Fingerprint fingerprint{};
    std::string server;
    std::uint64_t sequence = 0; ///< of the dispatch
};

struct Running {
    std::string server; ///< of the latest attempt
    std::size_t attempts = 0;
};

struct Crash {
    TimePoint at{};
    std::uint64_t sequence = 0;
};

struct State {
    Options options;
    std::uint64_t nextSequence = 1; ///< orders dispatches and crashes
    std::unordered_map<Fingerprint, Record> records;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<Fingerprint, Running> running;
    std::unordered_map<std::string, Crash> lastCrash; ///< by server
    std::unordered_set<Fingerprint> proven;
    std::deque<Fingerprint> provenOrder; ///< oldest first
};
/// @}

auto makeState(Options options) -> State;

/// Expiry and capacity may change with the configuration.
auto setLimits(State &state, Duration expiry, std::size_t capacity) -> void;

/// Whether and how a request with this fingerprint may be dispatched now. Ask right before each dispatch.
auto decide(const State &state, Fingerprint fingerprint, TimePoint now) -> Decision;

/// A request with this fingerprint is here to be run and waits. If it is a suspect that nobody else retries, this entry
/// says that it will, and decide() answers RunAlone once peers had time to object. Call it whenever the verdict is
/// Wait, again on each tick; it returns something only when peers must be told. The entry that saw the crash said so
/// with the crash, so only a suspect's later copies and long waits need it.
auto announceRetry(State &state, Fingerprint fingerprint, TimePoint now) -> std::vector<Notice>;

auto noteDispatched(State &state, AttemptId attempt, Fingerprint fingerprint, std::string_view server, TimePoint now) -> std::vector<Notice>;
/// The answer is complete: the fingerprint is harmless.
auto noteCompleted(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>;
/// Cancelled, or failed in a way that does not look like a crash: proves nothing.
auto noteEnded(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>;
/// Failed in a way that looks like a crash of the backend server (looksLikeCrash).
auto noteCrashed(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>;

/// A peer's notice, or an operator's. What is returned goes to all peers.
auto hear(State &state, const Notice &notice, TimePoint now) -> std::vector<Notice>;

/// An operator releases a fingerprint. Nothing: it was neither suspect nor quarantined here.
auto release(State &state, Fingerprint fingerprint) -> std::optional<Notice>;

auto isQuarantined(const State &state, Fingerprint fingerprint, TimePoint now) -> bool;

struct Listed {
    Fingerprint fingerprint{};
    bool quarantined = false; ///< else suspect
    TimePoint since{};
    std::vector<std::string> servers; ///< that crashed
};
/// By fingerprint.
auto list(const State &state, TimePoint now) -> std::vector<Listed>;

/// Drops what expired. Call it now and then, such as once a second.
auto expire(State &state, TimePoint now) -> void;

} // namespace auburnspread::quarantine
