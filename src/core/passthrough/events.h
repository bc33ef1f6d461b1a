/// \file
/// Input events of the pass-through router. They are plain data: an adapter translates socket and timer activity into them.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/crashledger.h"
#include "core/passthrough/servernotice.h"
#include "core/passthrough/streamkeepers.h"
#include "core/passthrough/streamversions.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::passthrough
{

/// A segment of a prompt. Segments with the same id have the same content, so an engine that has one in its prefix cache
/// does not process it again.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct Prompt {
    std::uint32_t tokens = 0;               ///< length of the prompt
    std::uint32_t maxAnswerTokens = 0;      ///< upper bound of the tokens to generate
    std::uint32_t expectedAnswerTokens = 0; ///< the caller's estimate of the tokens to generate: good at the median, often far off; 0: none given
    std::vector<PromptPart> parts;          ///< in prompt order; the last part belongs to this request alone
};

/// The head and the body of a request were read completely.
struct RequestArrived {
    RequestId request{};
    std::string callerId; ///< the caller's identifier of this attempt, for logs
    std::string host;
    std::string path; ///< including the query
    std::string key;  ///< API key of a workspace; empty: none
    std::optional<Duration> deadline;
    Prompt prompt;
    Fingerprint fingerprint{};                   ///< hash of method, host, path, key and body
    std::string lastEventId;                     ///< the caller resumes a stream after this event; empty: from the beginning
    std::string resumedAttempt;                  ///< the caller's id of the attempt that brought the first event of this stream; empty: not given
    std::optional<std::uint32_t> forwardedSends; ///< set if another entry forwarded the request: number of attempts it has used up
    std::optional<StreamOrigin> origin;          ///< where the stream began, if another entry forwarded the request and knows it
};

/// The caller closed its connection.
struct CallerGone {
    RequestId request{};
};

/// An attempt of the request was cancelled before its server could begin, see TakeBack.
struct RequestTakenBack {
    RequestId request{};
};

/// The response head, or the first event of a stream, arrived from the backend server.
struct AttemptStarted {
    AttemptId attempt{};
    bool isForwarded = false; ///< the response is forwarded to the caller as it arrives; false: it is buffered until it is complete
};

/// More events of a stream arrived.
struct AttemptProgress {
    AttemptId attempt{};
    std::uint32_t events = 1; ///< events since the previous AttemptProgress
};

/// A response head arrived that states the rate limit of its server.
struct RateLimitReported {
    AttemptId attempt{};
    std::optional<double> perSecond; ///< requests from all entries together; not set: no limit
};

/// A response head arrived that states how many rejections for want of room the service's servers bear, or that they bear any number.
struct BrittlenessReported {
    AttemptId attempt{};
    std::optional<double> rejectionsPerSecond; ///< caused by all entries together; not set: any number
};

/// A response head arrived in which its server states that it wants no requests.
struct AttemptNoticed {
    AttemptId attempt{};
    ServerNotice notice;
};

/// The same in the response to a call of this entry's own.
struct CallNoticed {
    std::string server;         ///< server id
    std::int64_t startedAt = 0; ///< run of the server that was called, see Server::startedAt
    ServerNotice notice;
};

/// A complete response was buffered; nothing of it has been sent to the caller.
struct AttemptAnswered {
    AttemptId attempt{};
    int status = 0;
};

/// A stream ended as complete; all of it has been sent to the caller.
struct AttemptFinished {
    AttemptId attempt{};
};

struct AttemptFailed {
    AttemptId attempt{};
    Failure failure{};
    bool answerBegun = false; ///< a part of this request's response has been sent to the caller
    std::string lastEventId;  ///< last event that has been sent to the caller; empty: none
};

/// A server has sent nothing of a response for as long as the attempt's timeouts allow. The attempt goes on; the event is repeated while
/// the silence lasts.
struct AttemptSilent {
    AttemptId attempt{};
    Failure timeout{}; ///< FirstTokenTimeout or ProgressTimeout
    Duration silentFor{};
    std::string lastEventId; ///< last event that has been sent to the caller; empty: none
};

/// Another entry refused a request that was forwarded to it. Its response is buffered.
struct ForwardRefused {
    AttemptId attempt{};
    std::optional<Reason> reason; ///< not set: not known to this entry
    Outcome outcome{};
    int status = 0;
};

/// A connection to a backend server was established, or could not be.
struct ServerProbed {
    std::string server;
    bool isReachable = false;
};

struct ConfigurationAdopted {
    Configuration configuration;
};

/// The entry's current configuration was the newest one at \c asOf.
struct ConfigurationConfirmed {
    TimePoint asOf;
};

/// Other entries have a newer configuration than this entry, which knows that and is about to fetch it.
struct ConfigurationOutdated {
    std::optional<TimePoint> since; ///< when this entry learnt of the newer version; not set: the entry is up to date again
};

/// After an outage of the registry, servers whose registration expired during it need about two seconds to register again.
constexpr Duration ReregistrationTime = std::chrono::milliseconds(2200);

/// A snapshot of the list of backend servers.
struct ServersListed {
    std::vector<Server> servers;
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< end of an outage during which the list could not be read
};

/// The difference to the last list of backend servers.
struct ServersChanged {
    std::vector<Server> changed;      ///< new state of changed and added servers
    std::vector<std::string> removed; ///< server ids
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< see ServersListed
};

/// The last list of backend servers was read again and has not changed.
struct ServersConfirmed {
    TimePoint asOf;
};

/// Another entry reports where a stream began.
struct OriginReported {
    StreamId stream{};
    StreamOrigin origin;
};

/// Another entry does not know where a stream began.
struct OriginUnknown {
    StreamId stream{};
    std::string entry;                     ///< name of that entry
    std::optional<VersionReport> versions; ///< of the service that was asked for, if it knows any
};

/// The entries that are alive, this entry included.
struct EntriesCounted {
    std::uint32_t entries = 1;
    std::vector<std::string> names;          ///< names of these entries
    std::vector<std::string> otherAddresses; ///< where the other ones that serve take callers' requests
    std::vector<KeeperCandidate> others;     ///< the other ones, as keepers of streams' origins
    bool isProvisional = false;              ///< the membership has not been received yet
};

/// Interval of an entry's load reports to its peers. A burst fills an engine within a few hundred milliseconds. With 100 ms, 3 % fewer
/// quotes were on time during bursts in a large fleet; 30 ms brought no further gain.
constexpr Duration ReportInterval = std::chrono::milliseconds(50);
/// Shortest interval between two reports if requests were sent in between. In a large fleet an entry sends few requests, and
/// reports each of them at once.
constexpr Duration MinReportInterval = std::chrono::milliseconds(20);

/// The entries whose requests a report counts.
enum class ReportScope {
    Entry,         ///< the entry that sends the report
    FailureDomain, ///< all entries of the sender's failure domain
    Fleet,         ///< all entries, the receiver included
};

/// A load report: the requests that another entry, or a group of entries, has in flight.
struct PeerReported {
    /// The rate limit that a response of a server stated.
    struct Limit {
        std::optional<double> perSecond; ///< requests from all entries together; not set: the limit was removed
        Duration age{};                  ///< time since that response
    };
    struct ServerUsage {
        std::string server;              ///< server id
        std::uint32_t inFlight = 0;      ///< number of requests in flight
        std::uint32_t unreadTokens = 0;  ///< tokens of prompts whose response has not started
        std::uint32_t heldTokens = 0;    ///< cache memory that all of the requests occupy, in tokens
        std::uint32_t waitingTokens = 0; ///< tokens of prompts that are queued at the entry for this server
        std::uint32_t shortPrompts = 0;  ///< number of requests in flight with a short prompt
        Duration ejectedFor{};           ///< remaining time of an ejection for failed requests; 0: not ejected
        std::optional<Limit> limit;      ///< not set: no recent response stated a limit
        std::uint32_t sentLately = 0;    ///< number of requests in the window of the rate limit; see serverlimit.h
        std::vector<PromptPart> sent;    ///< shared parts of prompts that were recently sent to the server
    };
    struct Arrivals {
        std::string service;
        double perSecond = 0; ///< request rate over about the last second
    };
    /// Samples of the speed of a server's engine; see enginespeed.h.
    struct Speed {
        std::string server; ///< server id
        double samples = 0;
        double logSum = 0;
    };
    std::string entry;         ///< name of the sender
    std::string failureDomain; ///< failure domain of the sender
    ReportScope scope = ReportScope::Entry;
    std::uint32_t entries = 1;   ///< number of entries whose requests are counted
    bool isRelayed = false;      ///< forwarded by an entry that received it to other entries of its failure domain that need it
    bool isContinuation = false; ///< holds only prompt parts that did not fit into the previous report, or samples of speed
    std::vector<ServerUsage> uses;
    std::vector<Arrivals> arrivals;
    std::vector<Speed> speeds; ///< empty: the ones that were reported before still hold
};

/// An engine listed the prompt parts in its prefix cache.
struct CacheListed {
    std::string server; ///< server id
    std::vector<PromptPart> parts;
};

/// Another entry saw connections of backend servers break while they ran this suspect, or saw after that that it is sound.
struct CrashesReported {
    Suspect suspect;
    std::vector<CrashIncident> incidents; ///< empty: the suspect is sound
    TimePoint provenAt;                   ///< when a prompt part without incidents was proven sound
};

/// What is quarantined according to the entry from which this one gets the directory.
struct QuarantineListed {
    std::vector<QuarantinedSuspect> suspects;
};

/// The entry got the termination signal. Late requests that may not be answered before it exits are refused.
struct LeavingStarted {
    TimePoint lateFrom; ///< until then, callers may still have this entry's address from a list that was valid
    TimePoint exitAt;   ///< from then on, whatever is still running may be cut off by the exit
};

/// The entry is about to stop and refuses every request that arrives from now on, and those that wait and may not be answered in time.
struct ClosingStarted {
};

/// The entry exits right away. Requests whose response has not begun get their last one; streams go on until the exit.
struct ExitStarted {
};

/// A periodic timer fired.
struct Tick {
};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           RequestTakenBack,
                           AttemptStarted,
                           AttemptProgress,
                           RateLimitReported,
                           BrittlenessReported,
                           AttemptNoticed,
                           CallNoticed,
                           AttemptAnswered,
                           AttemptFinished,
                           AttemptFailed,
                           AttemptSilent,
                           ForwardRefused,
                           ServerProbed,
                           ConfigurationAdopted,
                           ConfigurationConfirmed,
                           ConfigurationOutdated,
                           ServersListed,
                           ServersChanged,
                           ServersConfirmed,
                           EntriesCounted,
                           OriginReported,
                           OriginUnknown,
                           PeerReported,
                           CacheListed,
                           CrashesReported,
                           QuarantineListed,
                           LeavingStarted,
                           ClosingStarted,
                           ExitStarted,
                           Tick>;

} // namespace auburnspread::passthrough
