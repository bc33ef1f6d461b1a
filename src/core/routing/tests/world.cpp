#include "core/routing/tests/world.h"

#include "core/routing/internal/choosing.h"
#include "core/routing/internal/state.h"

#include <algorithm>
#include <array>

namespace auburnspread::routing
{

namespace
{

constexpr std::uint32_t ServerConcurrency = 2;
constexpr std::uint32_t FullAnswer = 40;
constexpr std::uint32_t MostSent = 3; // without a hedge

struct ClassSpec {
    const char *name;
    int tier;
};

constexpr auto Classes = std::to_array<ClassSpec>({ { "quote", 0 }, { "check", 2 }, { "draft", 2 }, { "batch", 6 } });
constexpr auto BrokenNames = std::to_array<NamedValue<Broken>>({
    { Broken::OneFinalAction, "one-final-action" },
    { Broken::HigherTierFirst, "higher-tier-first" },
    { Broken::RanAtMostOnce, "ran-at-most-once" },
    { Broken::NotRunIsTrue, "not-run-is-true" },
    { Broken::InFlightBound, "in-flight-bound" },
    { Broken::NoLeavingServer, "no-leaving-server" },
    { Broken::OneAnswer, "one-answer" },
    { Broken::WorkConserving, "work-conserving" },
    { Broken::RetriedElsewhere, "retried-elsewhere" },
    { Broken::AttemptsBounded, "attempts-bounded" },
    { Broken::SuspectsApart, "suspects-apart" },
});

constexpr auto Workspaces = std::to_array<const char *>({ "karoo", "knysna", "zagreb" });
constexpr auto Adapters = std::to_array<const char *>({ "", "tile" });

auto makeServer(const std::string &name, const std::string &domain) -> configuration::BackendServer
{
    return { .name = name,
             .address = name + ":80",
             .failureDomain = domain,
             .models = { { .model = "quote-7b", .version = "1", .adapters = { "tile" } } },
             .concurrency = ServerConcurrency };
}

auto makeDocument() -> configuration::Document
{
    configuration::Document document;
    document.models = { { .name = "quote-7b", .versions = { "1" }, .adapters = { "tile" } } };
    for (const auto &spec : Classes) {
        document.classes.push_back({ .name = spec.name, .tier = spec.tier, .models = { { .model = "quote-7b" } }, .answerTarget = std::chrono::seconds(20) });
        document.classes.back().hedge = spec.tier == 0;
    }
    for (const auto *name : Workspaces) {
        document.workspaces.push_back({ .name = name, .classes = { "quote", "check", "draft", "batch" } });
    }
    document.backendServers = { makeServer("gpu-1", "midrand-a"), makeServer("gpu-2", "midrand-a"), makeServer("gpu-3", "isando-c") };
    document.backendServers.back().models.front().adapters.clear();
    document.limits.queueLength = 6;
    return document;
}

auto note(World &world, bool kept, Broken promise) -> void
{
    if (!kept) {
        world.broken.insert(promise);
    }
}

auto hasServer(const World &world, const std::string &name) -> bool
{
    const auto &servers = world.document.backendServers;
    return std::any_of(servers.begin(), servers.end(), [&](const auto &server) { return server.name == name; });
}

auto countOn(const World &world, const std::string &server) -> std::uint32_t
{
    const auto isThere = [&](const auto &entry) { return entry.second.server == server; };
    return static_cast<std::uint32_t>(std::count_if(world.attempts.begin(), world.attempts.end(), isThere));
}

auto endAttempt(World &world, AttemptId id) -> void
{
    auto &request = world.requests.at(world.attempts.at(id).request);
    request.live.erase(id);
    if (request.committed == id) {
        request.committed.reset();
    }
    world.attempts.erase(id);
    world.dead.push_back(id);
}

auto isSuspect(const World &world, Fingerprint fingerprint) -> bool
{
    const auto listed = quarantine::list(world.router->quarantine, world.now);
    return std::any_of(listed.begin(), listed.end(), [&](const auto &record) { return record.fingerprint == fingerprint; });
}

/// A suspect that was sent is the only copy that runs. Where the key is claimed first, the request was decided on before.
auto checkSuspectsSent(World &world) -> void
{
    for (const auto id : std::exchange(world.suspectsSent, {})) {
        const auto fingerprint = world.requests.at(world.attempts.at(id).request).fingerprint;
        const auto isOther = [&](const auto &entry) {
            const auto &request = world.requests.at(entry.second.request);
            return entry.first != id && request.fingerprint == fingerprint && !request.claimed;
        };
        note(world, std::none_of(world.attempts.begin(), world.attempts.end(), isOther), Broken::SuspectsApart);
    }
}

struct Observer {
    World &world;

    auto open(RequestId id) const -> WorldRequest &
    {
        auto &request = world.requests.at(id);
        note(world, !request.final, Broken::OneFinalAction);
        return request;
    }

    auto operator()(const Dispatch &action) const -> void
    {
        auto &request = open(action.request);
        note(world, request.repeatable || (!request.mayHaveRun && request.live.empty()), Broken::RanAtMostOnce);
        note(world, !request.needsClaim || request.claimed, Broken::RanAtMostOnce);
        note(world, countOn(world, action.backend) < ServerConcurrency, Broken::InFlightBound);
        note(world, hasServer(world, action.backend) && !world.leaving.contains(action.backend), Broken::NoLeavingServer);
        note(world, action.resumeOffset == request.relayed, Broken::OneAnswer);
        note(world, !request.failedOn.contains(action.backend), Broken::RetriedElsewhere);
        request.sent += 1;
        note(world, request.sent <= MostSent + (request.hedges ? 1 : 0) || world.options.policy == Policy::Naive, Broken::AttemptsBounded);
        const auto hasServer = [&](const auto &entry) { return entry.second.ofSuspect && entry.second.server == action.backend; };
        // Where the key is claimed first, the server was chosen before.
        note(world, request.claimed || std::none_of(world.attempts.begin(), world.attempts.end(), hasServer), Broken::SuspectsApart);
        const auto ofSuspect = !request.claimed && request.fingerprint != Fingerprint{} && isSuspect(world, request.fingerprint);
        world.attempts[action.attempt] = { .request = action.request, .server = action.backend, .ofSuspect = ofSuspect };
        request.live.insert(action.attempt);
        if (ofSuspect) {
            world.suspectsSent.push_back(action.attempt);
        }
    }
    auto operator()(const CommitAttempt &action) const -> void
    {
        auto &request = open(action.request);
        note(world, !request.committed && request.live.contains(action.attempt), Broken::OneAnswer);
        request.committed = action.attempt;
        world.attempts.at(action.attempt).committed = true;
    }
    auto operator()(const CancelAttempt &action) const -> void
    {
        world.requests.at(world.attempts.at(action.attempt).request).mayHaveRun = true;
        endAttempt(world, action.attempt);
    }
    auto operator()(const Refuse &action) const -> void
    {
        auto &request = open(action.request);
        request.final = true;
        world.claiming.erase(action.request);
        note(world, request.live.empty(), Broken::OneFinalAction);
        note(world, action.outcome != Outcome::NotRun || !request.mayHaveRun, Broken::NotRunIsTrue);
        if (action.reason == Reason::QueueFull || action.reason == Reason::Shed) {
            checkLowerTiers(request.tier);
        }
    }
    auto operator()(const Completed &action) const -> void
    {
        auto &request = open(action.request);
        request.final = true;
        note(world, request.live.empty(), Broken::OneFinalAction);
    }
    auto operator()(const ClaimKey &action) const -> void
    {
        note(world, open(action.request).needsClaim, Broken::RanAtMostOnce);
        world.claiming.insert(action.request);
    }
    auto operator()(const Retried &action) const -> void
    {
        open(action.request);
    }
    auto operator()(const TellQuarantine &) const -> void {}
    auto operator()(const ProbeBackend &) const -> void {}
    auto operator()(const Drained &) const -> void
    {
        const auto isFinal = [](const auto &entry) { return entry.second.final; };
        note(world, std::all_of(world.requests.begin(), world.requests.end(), isFinal), Broken::OneFinalAction);
    }

    auto checkLowerTiers(int tier) const -> void
    {
        for (const auto &[name, requestClass] : world.router->classes) {
            const auto &definition = requestClass.definition;
            const auto waiting = queueing::waitingOf(world.router->queue, requestClass.id);
            note(world, definition.tier <= tier || waiting <= definition.floorSlots, Broken::HigherTierFirst);
        }
    }
};

auto checkIdle(World &world) -> void
{
    auto &state = *world.router;
    for (std::size_t index = 0; index < state.routes.size(); ++index) {
        const auto route = static_cast<RouteId>(index);
        note(world, queueing::waitingOn(state.queue, route) == 0 || freeSlots(state, route) == 0, Broken::WorkConserving);
    }
}

auto take(World &world, const Event &event) -> void
{
    for (const auto &action : step(*world.router, event, world.now)) {
        std::visit(Observer{ world }, action);
    }
    checkSuspectsSent(world);
    if (!world.options.faults) {
        checkIdle(world);
    }
}

template <typename Map>
auto pick(const Map &map, std::uint32_t which)
{
    return std::next(map.begin(), static_cast<std::ptrdiff_t>(which % map.size()));
}

auto arrive(World &world, const Command &command) -> void
{
    world.lastRequest += 1;
    const auto id = static_cast<RequestId>(world.lastRequest);
    const auto &spec = Classes.at(command.which % Classes.size());
    RequestArrived call{ .request = id, .workspace = Workspaces.at(command.how % Workspaces.size()), .requestClass = spec.name };
    call.adapter = Adapters.at(command.how / 3 % Adapters.size());
    call.repeatable = command.how / 6 % 4 != 0;
    call.idempotencyKey = command.how / 24 % 2 == 0 ? "key" : "";
    call.stream = command.how / 48 % 2 == 0;
    call.fingerprint = static_cast<Fingerprint>(command.how / 96 % 8);
    call.promptTokens = command.which % 100;
    world.requests[id] = { .tier = spec.tier,
                           .repeatable = *call.repeatable,
                           .needsClaim = !*call.repeatable && !call.idempotencyKey.empty(),
                           .hedges = spec.tier == 0,
                           .fingerprint = call.fingerprint };
    take(world, call);
}

auto settleClaim(World &world, const Command &command) -> void
{
    const auto id = *pick(world.claiming, command.which);
    world.claiming.erase(id);
    const auto result = command.how % 4 == 0 ? ClaimResult::Unavailable : ClaimResult::Claimed;
    world.requests.at(id).claimed = result == ClaimResult::Claimed;
    take(world, ClaimSettled{ .request = id, .result = result });
}

auto start(World &world, AttemptId id) -> void
{
    if (!world.attempts.at(id).committed) {
        take(world, AttemptStarted{ id });
    }
}

auto progress(World &world, AttemptId id) -> void
{
    auto &attempt = world.attempts.at(id);
    if (attempt.committed) {
        auto &request = world.requests.at(attempt.request);
        request.relayed += 1;
        take(world, AttemptProgress{ .attempt = id, .relayedTokens = request.relayed });
    }
}

auto finish(World &world, AttemptId id) -> void
{
    start(world, id);
    world.requests.at(world.attempts.at(id).request).mayHaveRun = true;
    endAttempt(world, id);
    take(world, AttemptFinished{ .attempt = id, .relayedTokens = FullAnswer });
}

auto fail(World &world, AttemptId id, std::uint32_t how) -> void
{
    const auto &attempt = world.attempts.at(id);
    auto &request = world.requests.at(attempt.request);
    auto failure = failureTable()[how % failureTable().size()].value;
    if (attempt.committed && provesNotStarted(failure)) {
        failure = Failure::BrokenStream;
    }
    request.mayHaveRun = request.mayHaveRun || !provesNotStarted(failure);
    request.failedOn.insert(attempt.server);
    const auto relayed = attempt.committed ? request.relayed : 0;
    endAttempt(world, id);
    take(world, AttemptFailed{ .attempt = id, .failure = failure, .relayedTokens = relayed, .wastedTokens = how % 3 });
}

auto fallSilent(World &world, AttemptId id) -> void
{
    const auto &attempt = world.attempts.at(id);
    const auto relayed = attempt.committed ? world.requests.at(attempt.request).relayed : 0;
    const auto timeout = attempt.committed ? Failure::ProgressTimeout : Failure::FirstTokenTimeout;
    take(world, AttemptSilent{ .attempt = id, .timeout = timeout, .relayedTokens = relayed });
}

auto lateEvent(World &world, const Command &command) -> void
{
    const auto id = world.dead.at(command.which % world.dead.size());
    const auto events = std::to_array<Event>({ AttemptStarted{ id },
                                               AttemptProgress{ id, FullAnswer },
                                               AttemptFinished{ id, FullAnswer },
                                               AttemptFailed{ .attempt = id, .failure = Failure::BrokenStream, .relayedTokens = FullAnswer } });
    take(world, events.at(command.how % events.size()));
}

auto adopt(World &world) -> void
{
    world.version += 1;
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = world.version;
    adopted->document = world.document;
    take(world, ConfigurationAdopted{ adopted });
}

auto removeServer(World &world, const std::string &name) -> void
{
    std::erase_if(world.document.backendServers, [&](const auto &server) { return server.name == name; });
    adopt(world);
}

auto addServer(World &world, const std::string &name) -> void
{
    world.document.backendServers.push_back(makeServer(name, "isando-c"));
    adopt(world);
}

auto changeClass(World &world, const Command &command) -> void
{
    auto &definition = world.document.classes.at(command.which % Classes.size());
    definition.floorSlots = command.how % 4;
    definition.weight = 1 + command.how % 5;
    adopt(world);
}

auto changeDocument(World &world, const Command &command) -> void
{
    if (command.how % 3 == 0 && !world.added.empty()) {
        removeServer(world, world.added.back());
        world.added.pop_back();
    } else if (command.how % 3 == 1) {
        world.added.push_back("gpu-" + std::to_string(world.version + 4));
        addServer(world, world.added.back());
    } else {
        changeClass(world, command);
    }
}

auto reportPeers(World &world, const Command &command) -> void
{
    PeerReported report{ .entry = "entry-2" };
    report.workspaces.push_back({ .workspace = Workspaces.front(), .requests = command.how % 10, .tokens = command.which % 100, .inFlight = command.how % 3 });
    take(world, report);
}

auto serverName(const Command &command) -> std::string
{
    return "gpu-" + std::to_string(1 + command.which % 3);
}

auto markLeaving(World &world, const std::string &server, bool leaving) -> void
{
    if (leaving) {
        world.leaving.insert(server);
    } else {
        world.leaving.erase(server);
    }
    take(world, BackendLeaving{ .backend = server, .leaving = leaving });
}

auto passTime(World &world, Duration time) -> void
{
    world.now += time;
    take(world, Tick{});
}

auto isFault(Happening happening) -> bool
{
    return happening == Happening::Fail || happening == Happening::FallSilent || happening == Happening::ServerLeaves || happening == Happening::ServerReturns;
}

auto isPossible(const World &world, Happening happening) -> bool
{
    switch (happening) {
    case Happening::Start:
    case Happening::Progress:
    case Happening::Finish:
    case Happening::Fail:
    case Happening::FallSilent:
        return !world.attempts.empty();
    case Happening::LateEvent:
        return !world.dead.empty();
    case Happening::CallerGone:
        return !world.requests.empty();
    case Happening::SettleClaim:
        return !world.claiming.empty();
    default:
        return true;
    }
}

} // namespace

auto makeWorld(const WorldOptions &options) -> World
{
    World world{ .options = options, .router = makeRouter({ .entry = "entry-1", .failureDomain = "midrand-a", .policy = options.policy }) };
    world.document = makeDocument();
    adopt(world);
    take(world, CellChanged{ { "entry-1", "entry-2" } });
    return world;
}

auto happen(World &world, const Command &command) -> void
{
    if (!isPossible(world, command.happening) || (isFault(command.happening) && !world.options.faults)) {
        return;
    }
    const auto attempt = world.attempts.empty() ? AttemptId{} : pick(world.attempts, command.which)->first;
    switch (command.happening) {
    case Happening::Arrive:
        return arrive(world, command);
    case Happening::Start:
        return start(world, attempt);
    case Happening::Progress:
        return progress(world, attempt);
    case Happening::Finish:
        return finish(world, attempt);
    case Happening::Fail:
        return fail(world, attempt, command.how);
    case Happening::FallSilent:
        return fallSilent(world, attempt);
    case Happening::LateEvent:
        return lateEvent(world, command);
    case Happening::CallerGone:
        return take(world, CallerGone{ pick(world.requests, command.which)->first });
    case Happening::SettleClaim:
        return settleClaim(world, command);
    case Happening::PassTime:
        return passTime(world, std::chrono::milliseconds(1 + command.how % 1500));
    case Happening::ServerLeaves:
        return markLeaving(world, serverName(command), true);
    case Happening::ServerReturns:
        return markLeaving(world, serverName(command), false);
    case Happening::ChangeDocument:
        return changeDocument(world, command);
    case Happening::PeerReports:
        return reportPeers(world, command);
    }
}

auto describe(const std::set<Broken> &broken) -> std::string
{
    std::string names;
    for (const auto promise : broken) {
        names += std::string(findName(BrokenNames, promise)) + " ";
    }
    return names;
}

auto wind(World &world) -> void
{
    constexpr int MostRounds = 200;
    take(world, DrainStarted{});
    for (int round = 0; round < MostRounds; ++round) {
        while (!world.claiming.empty()) {
            settleClaim(world, { .how = 1 });
        }
        while (!world.attempts.empty()) {
            finish(world, world.attempts.begin()->first);
        }
        passTime(world, std::chrono::milliseconds(200));
    }
    const auto isFinal = [](const auto &entry) { return entry.second.final; };
    note(world, std::all_of(world.requests.begin(), world.requests.end(), isFinal), Broken::OneFinalAction);
}

} // namespace auburnspread::routing
