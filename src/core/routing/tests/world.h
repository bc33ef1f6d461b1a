/// \file
/// A small world around one router: callers, backend servers and the truth about them. It feeds the router random events
/// and notes each promise that the router breaks.

#pragma once

#include "core/routing/router.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnspread::routing
{

/// A promise of the router that was broken.
enum class Broken {
    OneFinalAction,   ///< a request got no final action, or a second one, or an action after it
    HigherTierFirst,  ///< a request was refused for overload while a lower tier held a place that counts
    RanAtMostOnce,    ///< a non-repeatable request was sent again though it may have run, or before its claim
    NotRunIsTrue,     ///< "not run" was said of a request that may have run
    InFlightBound,    ///< more in flight on a backend server than it takes
    NoLeavingServer,  ///< work was sent to a backend server that leaves or is gone
    OneAnswer,        ///< two attempts of a request were committed at a time, or a resumed one at the wrong offset
    WorkConserving,   ///< a slot was idle while a request waited that fits it
    RetriedElsewhere, ///< a retry went to a backend server that had failed the request
    AttemptsBounded,  ///< a request was sent more often than its retries and its hedge allow
    SuspectsApart,    ///< a suspect ran beside an equal request or on a server that another suspect has to itself
};

enum class Happening {
    Arrive,
    Start,
    Progress,
    Finish,
    Fail,
    LateEvent,
    CallerGone,
    SettleClaim,
    PassTime,
    ServerLeaves,
    ServerReturns,
    ChangeDocument,
    PeerReports,
    FallSilent, ///< not among the events that other tests draw
};

/// One random event: what happens, and numbers that choose to whom and how.
struct Command {
    Happening happening = Happening::Arrive;
    std::uint32_t which = 0;
    std::uint32_t how = 0;
};

struct WorldOptions {
    Policy policy = Policy::Standard;
    bool faults = true; ///< false: attempts do not fail and servers do not leave
};

struct WorldAttempt {
    RequestId request{};
    std::string server;
    bool committed = false;
    bool ofSuspect = false; ///< sent as the only copy of a suspect
};

struct WorldRequest {
    int tier = 0;
    bool repeatable = true;
    bool needsClaim = false;
    bool claimed = false;
    bool mayHaveRun = false; ///< the truth
    bool final = false;
    bool hedges = false;
    Fingerprint fingerprint{};
    std::uint32_t sent = 0; ///< attempts
    std::uint32_t relayed = 0;
    std::set<AttemptId> live;
    std::optional<AttemptId> committed;
    std::set<std::string> failedOn;
};

struct World {
    WorldOptions options;
    RouterStatePointer router;
    TimePoint now;
    std::uint64_t version = 0;
    configuration::Document document;
    std::vector<std::string> added; ///< servers that came with a change of the document, each under a name of its own
    std::set<std::string> leaving;
    std::uint64_t lastRequest = 0;
    std::map<RequestId, WorldRequest> requests;
    std::map<AttemptId, WorldAttempt> attempts; ///< live ones
    std::vector<AttemptId> dead;
    std::set<RequestId> claiming;
    std::vector<AttemptId> suspectsSent; ///< during this event
    std::set<Broken> broken;
};

auto makeWorld(const WorldOptions &options) -> World;

/// Names of the promises, each followed by a space.
auto describe(const std::set<Broken> &broken) -> std::string;

auto happen(World &world, const Command &command) -> void;

/// Ends everything that is under way, as a drain does, and checks that nothing is left.
auto wind(World &world) -> void;

} // namespace auburnspread::routing
