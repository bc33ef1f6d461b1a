/// \file
/// Quarantine of requests that crash the backend servers that run them, identified by their fingerprint.
///
/// One crash makes every fingerprint that was running on the server a suspect. A suspect is retried alone, at most
/// once, and only while no other copy of it runs. A second crash quarantines it; a complete answer clears it. Copies
/// of a fingerprint that never completed run on one backend server at a time, so that they can crash only that one; those
/// on a server that has stopped sending are left out of account.
/// See docs/design/quarantine.md.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
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
    std::size_t provenCapacity = 4096;                   ///< fingerprints remembered as proven harmless
    Duration settleTime = std::chrono::milliseconds(50); ///< delay between announcing a retry and making it, in which crash and retry notices of peers arrive
    Duration peerIntentTime = std::chrono::seconds(2);   ///< a peer that announced a retry must start it or repeat the announcement within this time
    Duration peerRetryTime = std::chrono::seconds(60);   ///< a peer's retry without a further notice counts as ended after this time
};

enum class Verdict {
    Run,         ///< without restriction
    RunOnServer, ///< only on the named server, where an unproven copy already runs; if it has no free slot, wait
    RunAlone,    ///< the one retry of a suspect: choose with quietOnly
    Wait,        ///< ask again at the next tick or event
    Refuse,      ///< quarantined
};

/// State of a fingerprint that an entry announces to the cell.
enum class Mark {
    Suspect,     ///< the request was running on \c server when the server crashed
    Retrying,    ///< the only retry is running on \c server; without a server: \c entry is about to make it
    RetryEnded,  ///< the retry ended without a result: another entry may make it
    Cleared,     ///< the request completed and is no longer suspect
    Quarantined, ///< the request was running at two crashes
    Released,    ///< an operator released the fingerprint
};

struct Notice {
    Fingerprint fingerprint{};
    Mark mark = Mark::Quarantined;
    std::string entry;  ///< the entry that sent the notice
    std::string server; ///< the backend server; only for Suspect and Retrying
};

struct Decision {
    Verdict verdict = Verdict::Run;
    std::string server; ///< the backend server; only for RunOnServer
};

/// \name State. The fields are private to the module; use list() and decide() to read them.
/// @{
struct Incident {
    std::string server;
    TimePoint at{};
    std::uint64_t sequence = 0; ///< sequence number of a crash seen by this entry; 0: reported by a peer
};

struct Record {
    bool quarantined = false;
    std::vector<Incident> crashes;                ///< distinct crashes at which the request was running
    TimePoint since{};                            ///< last change, for expiry and eviction
    std::optional<TimePoint> retryAnnouncedSince; ///< when this entry first announced that it will retry
    TimePoint retryAnnouncedAt{};                 ///< when this entry last announced that it will retry
    std::string peerRetrying;                     ///< the entry whose retry is announced or running; empty: none
    TimePoint peerRetryUntil{};                   ///< when the retry of the peer counts as ended
};

struct Attempt {
    Fingerprint fingerprint{};
    std::string server;
    std::uint64_t sequence = 0; ///< sequence number of the dispatch
};

/// An attempt in flight.
struct Copy {
    AttemptId attempt{};
    std::string server;
    bool isSilent = false; ///< its server has stopped sending
};

struct Crash {
    TimePoint at{};
    std::uint64_t sequence = 0;
};

struct State {
    Options options;
    std::uint64_t nextSequence = 1; ///< next sequence number; orders dispatches and crashes
    std::unordered_map<Fingerprint, Record> records;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<Fingerprint, std::vector<Copy>> running; ///< in order of dispatch; never empty
    std::unordered_map<std::string, Crash> lastCrash;           ///< last crash of each backend server
    std::unordered_set<Fingerprint> proven;
    std::deque<Fingerprint> provenOrder; ///< oldest first
};
/// @}

auto makeState(Options options) -> State;

/// Applies the expiry time and capacity of a new configuration.
auto setLimits(State &state, Duration expiry, std::size_t capacity) -> void;

/// Decides whether and how a request with this fingerprint may be dispatched now. Call it right before each dispatch.
/// \param own silent attempts of the request itself. The caller ends them before it dispatches the request with RunAlone;
///            with another verdict they may go on.
auto decide(const State &state, Fingerprint fingerprint, TimePoint now, std::span<const AttemptId> own = {}) -> Decision;

/// Announces the retry of a suspect for which a request waits at this entry. If no other entry retries the suspect, this
/// entry claims the retry, and decide() returns RunAlone once peers have had time to object. Call it whenever the
/// verdict is Wait, and again on each tick; it returns notices only when peers must be informed. The entry that saw the
/// crash announces its retry together with the crash, so only later copies of a suspect and long waits need this call.
/// \param own as for decide()
auto announceRetry(State &state, Fingerprint fingerprint, TimePoint now, std::span<const AttemptId> own = {}) -> std::vector<Notice>;

/// Records that an attempt was sent to \p server.
auto recordDispatch(State &state, AttemptId attempt, Fingerprint fingerprint, std::string_view server, TimePoint now) -> std::vector<Notice>;
/// Records whether the attempt's server has stopped sending. Until it goes on, other copies need not run on its server.
auto recordSilence(State &state, AttemptId attempt, bool isSilent) -> void;
/// Records that the response is complete, which proves the fingerprint harmless.
auto recordCompletion(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>;
/// Records that the attempt was cancelled, or failed in a way that does not look like a crash. This proves nothing.
auto recordInconclusiveEnd(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>;
/// Records that the attempt failed in a way that looks like a crash of the backend server (looksLikeCrash).
auto recordCrash(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>;

/// Applies a notice from a peer or an operator. The returned notices must be sent to all peers.
auto applyNotice(State &state, const Notice &notice, TimePoint now) -> std::vector<Notice>;

/// Releases a fingerprint for an operator. Returns nothing if it was neither suspect nor quarantined at this entry.
auto release(State &state, Fingerprint fingerprint) -> std::optional<Notice>;

auto isQuarantined(const State &state, Fingerprint fingerprint, TimePoint now) -> bool;

struct ListedRecord {
    Fingerprint fingerprint{};
    bool quarantined = false; ///< quarantined, otherwise suspect
    TimePoint since{};
    std::vector<std::string> servers; ///< the backend servers that crashed
};
/// All suspect and quarantined fingerprints, sorted by fingerprint.
auto list(const State &state, TimePoint now) -> std::vector<ListedRecord>;

/// Removes expired records. Call it periodically, such as once a second.
auto expire(State &state, TimePoint now) -> void;

} // namespace auburnspread::quarantine
