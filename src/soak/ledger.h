/// \file
/// What callers sent and got and what backend servers ran, and whether the promises were kept between the two.

#pragma once

#include "core/base/nametable.h"
#include "core/base/time.h"
#include "platform/standins/serverstandin.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace auburnspread::soak
{

enum class Promise {
    Asked,         ///< a server runs only what a caller sent, unchanged, for the workspace that holds its key
    Once,          ///< what must not be repeated runs at most once, everything else at most as often as its route allows
    TrueRefusal,   ///< what is refused as not run never runs
    OwnAnswer,     ///< a success is the whole answer of a server that ran this request, and nobody else's
    KeyWithdrawn,  ///< a key that was taken away admits nothing after the bound
    NeverBack,     ///< a process that served a version serves no older one
    LeavingServer, ///< a server that leaves gets nothing after the bound
    NothingLost,   ///< around planned work alone, a request that ran is answered
    SilenceBorne,  ///< a request is not given up because its servers fall silent for a while, whatever else happens elsewhere
    Admitted,      ///< what every version of the last seconds allows is never answered as unknown or forbidden
    Answered,      ///< a request on a sound way is answered soon after its timeout at the latest
    LimitKept,     ///< a server that names a limit gets at most some more from entries that passed its answers on
    BackoffKept,   ///< a server that has asked an entry for a backoff gets no more than two requests from it while the backoff lasts
    LeavingKept,   ///< a server gets no requests from an entry that has passed on an answer in which it states that it is leaving
    VersionKept,   ///< a stream holds events of one software version, over all tries of its caller
    BrittleKept,   ///< servers that state how many rejections they bear crash at most 2 + a tenth of their number of times
    PartContained, ///< after five servers have crashed on a part of prompts, servers get at most three more requests with it
    WholeAtStop,   ///< a request that meets the stop of the entry which its caller asked gets a whole answer, however slow its server becomes
    Recovers,      ///< after the last fault everything is served again
};

constexpr auto Promises = std::to_array<NamedValue<Promise>>({
    { Promise::Asked, "asked" },
    { Promise::Once, "once" },
    { Promise::TrueRefusal, "true-refusal" },
    { Promise::OwnAnswer, "own-answer" },
    { Promise::KeyWithdrawn, "key-withdrawn" },
    { Promise::NeverBack, "never-back" },
    { Promise::LeavingServer, "leaving-server" },
    { Promise::NothingLost, "nothing-lost" },
    { Promise::SilenceBorne, "silence-borne" },
    { Promise::Admitted, "admitted" },
    { Promise::Answered, "answered" },
    { Promise::LimitKept, "limit-kept" },
    { Promise::BackoffKept, "backoff-kept" },
    { Promise::LeavingKept, "leaving-kept" },
    { Promise::VersionKept, "version-kept" },
    { Promise::BrittleKept, "brittle-kept" },
    { Promise::PartContained, "part-contained" },
    { Promise::WholeAtStop, "whole-at-stop" },
    { Promise::Recovers, "recovers" },
});

/// A request as its caller sent it.
struct Sent {
    std::string id;
    std::string entry;
    std::uint32_t incarnation = 0; ///< of the entry's process
    std::string method;
    std::string target;
    std::string body;
    std::string key;
    std::string workspace;                               ///< that holds the key
    std::uint32_t mostRuns = 1;                          ///< that its route allows
    std::string expectedAnswer;                          ///< whole
    std::map<std::string, std::string> answersByVersion; ///< whole, of a stream, by the software version of its servers; empty: no stream
    std::string resumes;                                 ///< id of the request that began the stream which this one takes up; empty: none
    std::string crashingPart;                            ///< of its prompt, which crashes servers; empty: none
    Duration timeLimit = std::chrono::seconds(5);        ///< the shorter one of its deadline and its route's timeout
    bool leavesEarly = false;                            ///< the caller may leave before the end of the answer
    bool isAllowed = true;                               ///< by every version that may be in force
    std::uint64_t onlyVersion = 0;                       ///< the configuration that has its route; 0: all have
    TimePoint at;
};

/// How it ended for the caller.
struct Ended {
    std::string id;
    int status = 0; ///< 0: the connection broke or stayed silent
    std::string signature;
    std::string body;
    std::string cause; ///< of a broken connection
    TimePoint at;
};

struct Violation {
    Promise promise{};
    std::string id;
    std::string detail;
};

/// Bounds in time, for runs on a machine that is not busy with other things.
struct TimeBounds {
    Duration keyWithdrawal = std::chrono::seconds(5);
    Duration leavingServer = std::chrono::seconds(2);
    Duration answer = std::chrono::milliseconds(6500); ///< timeout of every route, 5 s, and some more
};

class Ledger
{
public:
    auto sent(const Sent &request) -> void;
    auto ended(const Ended &end) -> void;
    auto ran(const adapter::standins::Execution &run) -> void;
    /// The server does no more work on the request.
    auto finished(const std::string &id, const std::string &server, TimePoint at) -> void;
    auto rejected(const adapter::standins::Rejection &rejection) -> void;
    auto keyWithdrawn(const std::string &key, TimePoint at) -> void;
    auto serverStarts(const std::string &server, const std::string &version) -> void;
    auto serverLeaves(const std::string &server, TimePoint at) -> void;
    /// Its answers state from now on that it is leaving.
    auto serverStatesLeaving(const std::string &server, TimePoint at) -> void;
    /// A server names a limit on its requests from now on, and none any more.
    /// @{
    auto limitBegins(const std::string &server, double perSecond, TimePoint at) -> void;
    auto limitEnds(const std::string &server, TimePoint at) -> void;
    /// @}
    /// An entry was killed, paused or cut off, or the way to a server was harmed: neither is bound by limits until some seconds later.
    auto harmed(const std::string &name, TimePoint from, TimePoint to) -> void;
    /// A server reads and writes nothing between the two, and goes on.
    auto serverSilent(const std::string &server, TimePoint from, TimePoint to) -> void;
    /// All servers, so many, are brittle between the two, and all entries know it.
    auto brittle(TimePoint from, TimePoint to, std::size_t servers) -> void;
    /// A server crashed by itself; \p part: of prompts, which crashes servers now, empty: none.
    auto serverCrashed(const std::string &part, TimePoint at) -> void;
    /// The process of a server or of any entry (\c AnyEntry), or the way to a server or from callers to an entry, may end what runs there.
    auto broken(const std::string &name, TimePoint from, TimePoint to) -> void;
    /// A process of an entry has got SIGTERM.
    auto stopped(const std::string &entry, std::uint32_t incarnation, TimePoint at) -> void;
    static constexpr auto AnyEntry = "any entry";
    /// A fault may show this long after its end: connections that it harmed are found out, servers are tried again.
    static constexpr Duration Aftermath = std::chrono::seconds(4);
    /// Something other than planned work harmed the deployment between the two.
    auto disturbed(TimePoint from, TimePoint to) -> void;

    /// \p bounds not set: promises that hold within a time are not checked.
    [[nodiscard]] auto check(const std::optional<TimeBounds> &bounds) const -> std::vector<Violation>;

    struct Totals {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t refused = 0;
        std::size_t broken = 0;
        std::size_t runs = 0;
        std::size_t crashes = 0; ///< of servers by themselves
    };
    [[nodiscard]] auto totals() const -> Totals;

private:
    struct Record {
        Sent sent;
        std::optional<Ended> ended;
        std::vector<adapter::standins::Execution> runs;
        std::map<std::string, TimePoint> finished; ///< by server
        std::vector<adapter::standins::Rejection> rejections;
    };
    /// A process of an entry and a server.
    using Sender = std::tuple<std::string, std::uint32_t, std::string>;
    /// Whether the caller got the server's answer of this run.
    static auto isPassedOn(const Record &record, const adapter::standins::Execution &run) -> bool;
    static auto senderOf(const Record &record, const std::string &server) -> Sender;
    using Violations = std::vector<Violation>;

    auto checkRuns(const Record &record, Violations &violations) const -> void;
    auto checkAnswer(const Record &record, Violations &violations) const -> void;
    auto checkPlannedWork(const Record &record, Violations &violations) const -> void;
    auto checkStop(const Record &record, Violations &violations) const -> void;
    auto checkSilences(const Record &record, Violations &violations) const -> void;
    /// Whether a server of the request fell silent while it ran there.
    [[nodiscard]] auto metSilence(const Record &record) const -> bool;
    auto checkBounds(const Record &record, const TimeBounds &bounds, Violations &violations) const -> void;
    auto checkResumption(const Record &record, Violations &violations) const -> void;
    auto checkLimits(Violations &violations) const -> void;
    auto checkBackoffs(Violations &violations) const -> void;
    auto checkStatedLeavings(Violations &violations) const -> void;
    auto checkBrittleness(Violations &violations) const -> void;
    auto checkParts(Violations &violations) const -> void;
    auto checkVersions(Violations &violations) const -> void;
    [[nodiscard]] auto isCalm(TimePoint from, TimePoint to) const -> bool;

    std::map<std::string, Record> records_;
    Violations unasked_;
    std::map<std::string, TimePoint> withdrawnKeys_;
    std::map<std::string, std::string> serverVersions_;
    std::map<std::string, TimePoint> leavingServers_;
    std::map<std::string, TimePoint> statedLeavings_;
    struct Interval {
        TimePoint from;
        TimePoint to;
    };
    /// Whether one of \p intervals and the time between the two have a part in common.
    static auto overlapsAny(const std::vector<Interval> &intervals, TimePoint from, TimePoint to) -> bool;
    using Intervals = std::map<std::string, std::vector<Interval>>;
    static auto overlapsAnyOf(const Intervals &intervals, const std::string &name, TimePoint from, TimePoint to) -> bool;
    std::vector<Interval> disturbances_;
    struct Limit {
        std::string server;
        double perSecond = 0;
        Interval interval;
    };
    auto checkLimit(const Limit &limit, Violations &violations) const -> void;
    [[nodiscard]] auto isHarmed(const std::string &name, TimePoint from, TimePoint to) const -> bool;
    std::vector<Limit> limits_;
    std::map<std::pair<std::string, std::uint32_t>, TimePoint> stops_; ///< by process of an entry
    struct BrittleTime {
        Interval interval;
        std::size_t servers = 0;
    };
    std::vector<BrittleTime> brittleTimes_;
    std::map<std::string, std::vector<TimePoint>> crashes_; ///< by part; the empty one: for another reason
    Intervals harm_;                                        ///< by entry or server
    Intervals breaks_;                                      ///< by entry or server
    Intervals silences_;                                    ///< by server
};

} // namespace auburnspread::soak
