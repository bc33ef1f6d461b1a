/// \file
/// What can happen to the router of the pass-through face. Plain data; an adapter turns sockets and timers into it.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/passthrough/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::passthrough
{

/// A part of a prompt. Parts of equal id have equal content, so an engine that keeps one need not read it again.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct Prompt {
    std::uint32_t tokens = 0;       ///< to be read
    std::uint32_t answerTokens = 0; ///< to be generated at most
    std::uint32_t likelyTokens = 0; ///< to be generated, as the caller guesses: right at the median, often far off; 0: no guess
    std::vector<PromptPart> parts;  ///< in order; the last is the request's own
};

/// A request whose head and body were read in full.
struct RequestArrived {
    RequestId request{};
    std::string callerId; ///< the caller's name for this attempt, for logs
    std::string host;
    std::string path; ///< with the query
    std::string key;  ///< of a workspace; empty: none
    std::optional<Duration> deadline;
    Prompt prompt;
    Fingerprint fingerprint{}; ///< of method, host, path, key and body
    std::string lastEventId;   ///< the caller resumes a stream after this event; empty: from the beginning
};

/// The caller closed its connection.
struct CallerGone {
    RequestId request{};
};

/// The head of an answer, or the first event of a stream, arrived.
struct AttemptStarted {
    AttemptId attempt{};
    bool goesToCaller = false; ///< as it comes; false: the answer is kept until it is whole
};

/// More of a stream arrived.
struct AttemptProgress {
    AttemptId attempt{};
    std::uint32_t events = 1; ///< that came since the last word
};

/// The head of an answer arrived and said at which rate its server takes requests.
struct LimitStated {
    AttemptId attempt{};
    std::optional<double> perSecond; ///< from all entries together; not set: any
};

/// A whole answer was received; nothing of it has gone to the caller.
struct AttemptAnswered {
    AttemptId attempt{};
    int status = 0;
};

/// A stream ended as complete; all of it has gone to the caller.
struct AttemptFinished {
    AttemptId attempt{};
};

struct AttemptFailed {
    AttemptId attempt{};
    Failure failure{};
    bool answerBegun = false; ///< something of this request's answer has gone to the caller
    std::string lastEventId;  ///< last event that has gone to the caller; empty: none
};

struct ConfigurationAdopted {
    Configuration configuration;
};

/// The configuration in force here was the newest at \c asOf.
struct ConfigurationConfirmed {
    TimePoint asOf;
};

/// Other entries have a newer configuration than the one in force here; this one knows that, and is about to fetch it.
struct ConfigurationOutdated {
    std::optional<TimePoint> since; ///< it was heard of; not set: there is none any more
};

/// After the registry was unreachable, servers whose registration lapsed meanwhile need about two seconds to be back.
constexpr Duration ReturnTime = std::chrono::milliseconds(2200);

/// The whole list of backend servers.
struct ServersListed {
    std::vector<Server> servers;
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< the list could not be read for a while before
};

/// What changed in the list that was told last.
struct ServersChanged {
    std::vector<Server> changed;      ///< as they are now; new ones too
    std::vector<std::string> removed; ///< ids
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< see ServersListed
};

/// Entries that are alive, this one included.
struct EntriesCounted {
    std::uint32_t entries = 1;
    std::vector<std::string> names; ///< of these
    bool isGuess = false;           ///< nobody has told yet
};

/// Between two reports of an entry to the others: a burst fills an engine within some hundred milliseconds. With 100 ms, 3 in 100
/// fewer quotes were on time in the bursts of a large fleet; 30 ms brought no more.
constexpr Duration ReportInterval = std::chrono::milliseconds(50);
/// Between two reports where requests were sent meanwhile: in a large fleet an entry sends few, and each is told at once.
constexpr Duration LeastReportInterval = std::chrono::milliseconds(20);

/// Whose requests a report counts.
enum class ReportScope {
    Entry,         ///< those of the entry that sends it
    FailureDomain, ///< of all entries of its failure domain
    Fleet,         ///< of all entries, the one that hears it included
};

/// What another entry has in flight, or many entries together.
struct PeerReported {
    /// At which rate a server takes requests, as an answer said.
    struct Limit {
        std::optional<double> perSecond; ///< from all entries together; not set: any again
        Duration age{};                  ///< of the answer
    };
    struct Use {
        std::string server;              ///< id
        std::uint32_t inFlight = 0;      ///< requests
        std::uint32_t unreadTokens = 0;  ///< of prompts whose answers have not begun
        std::uint32_t heldTokens = 0;    ///< of memory, by all requests
        std::uint32_t waitingTokens = 0; ///< of prompts that wait at the entry for this server
        std::uint32_t shortPrompts = 0;  ///< of the requests, those with a short prompt
        Duration ejectedFor{};           ///< that it is out of use because it fails requests; 0: it is not
        std::optional<Limit> limit;      ///< not set: nothing was said lately
        std::uint32_t sentLately = 0;    ///< requests; see serverlimit.h
        std::vector<PromptPart> sent;    ///< shared parts of prompts that were sent there lately
    };
    struct Arrivals {
        std::string service;
        double perSecond = 0; ///< requests, of about the last second
    };
    std::string entry;         ///< who says so
    std::string failureDomain; ///< of the entry that says so
    ReportScope scope = ReportScope::Entry;
    std::uint32_t entries = 1; ///< whose requests it counts
    bool isRelayed = false;    ///< by an entry that got it, to others of its failure domain that need it
    bool isRest = false;       ///< holds what parts of prompts did not fit into the report before it, and nothing else
    std::vector<Use> uses;
    std::vector<Arrivals> arrivals;
};

/// An engine told which parts of prompts its cache holds.
struct CacheListed {
    std::string server; ///< id
    std::vector<PromptPart> parts;
};

/// Another entry saw backend servers crash while they ran this request.
struct CrashesHeard {
    Fingerprint fingerprint{};
    std::uint32_t crashes = 0;
};

/// The entry is about to stop: what arrives from now on is refused.
struct ClosingStarted {
};

/// Time has passed.
struct Tick {
};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           AttemptStarted,
                           AttemptProgress,
                           LimitStated,
                           AttemptAnswered,
                           AttemptFinished,
                           AttemptFailed,
                           ConfigurationAdopted,
                           ConfigurationConfirmed,
                           ConfigurationOutdated,
                           ServersListed,
                           ServersChanged,
                           EntriesCounted,
                           PeerReported,
                           CacheListed,
                           CrashesHeard,
                           ClosingStarted,
                           Tick>;

} // namespace auburnspread::passthrough
