#include "gateway/gateway.h"

#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/connectprobe.h"
#include "gateway/eventsplitter.h"
#include "gateway/fleet.h"
#include "gateway/forwardmark.h"
#include "gateway/frontend.h"
#include "gateway/leaving.h"
#include "gateway/pages.h"
#include "gateway/refusalanswer.h"
#include "gateway/upstream.h"
#include "platform/callerrequest.h"
#include "runtime/memory/account.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr int BadGatewayStatus = 502;
constexpr int FirstRedirectStatus = 300;

/// The configuration counts as confirmed for the key withdrawal time less this margin: a watch of the store may miss changes
/// for a second before its connection is closed, and a timer may fire late.
constexpr Duration KeyFreshnessMargin = std::chrono::milliseconds(1500);

/// Time until an entry learns of a new configuration: a query to an unresponsive entry that reads the store (350 ms), the pause
/// after it (300 ms), and the response of the next one. It is deducted from the time in which a configuration must be in force.
constexpr Duration AnnouncementDelay = std::chrono::milliseconds(800);

constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);

/// A request whose response is not complete and whose caller is still connected.
struct OpenRequest {
    BufferedRequestPointer message;
    std::string callerId;
    Fingerprint fingerprint{};
    std::vector<std::uint64_t> sharedParts; ///< see RequestLogContext
    TimePoint arrivedAt;
    std::optional<TimePoint> firstByteAt;
    bool responseStarted = false; ///< a part of the response was sent to the caller
    bool isCallerBehind = false;  ///< the caller has not read what was sent
    std::string server;           ///< backend server of the last attempt
    BodyEnd body;                 ///< of the response that the caller receives
};

struct OpenAttempt {
    RequestId request{};
    std::string server;
    std::string workspace; ///< empty: none
    bool isStream = false;
    bool isForwarded = false; ///< another entry handles the request, and counts it as executed
    TimePoint sentAt;
    bool isReported = false; ///< the start of its execution was reported to the fleet
};

/// Equal for a request and its repetition by the same caller. The key is included so that equal requests without a body of
/// different callers differ, and the failures of one caller's request do not cause another caller's to be withheld.
auto fingerprintOf(const BufferedRequest &message, const std::string &host, const std::string &key) -> Fingerprint
{
    auto hash = static_cast<XXH64_hash_t>(message.method);
    for (const auto *part : { &message.target, &host, &key, &message.body }) {
        hash = XXH64(part->data(), part->size(), hash);
    }
    return Fingerprint{ hash };
}

auto loggedPartsOf(const passthrough::Prompt &prompt) -> std::vector<std::uint64_t>
{
    constexpr std::size_t MaxLogged = 8;
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i + 1 < prompt.parts.size() && i < MaxLogged; ++i) {
        ids.push_back(prompt.parts[i].id);
    }
    return ids;
}

/// A request needs a second connection, to its backend server. The rest is for the entry's own pages, other entries and files.
auto callerConnectionsOf(const GatewaySettings &settings) -> std::size_t
{
    return std::max(settings.descriptors / 2, std::size_t{ 1 });
}

auto routerOptionsOf(const GatewaySettings &settings) -> passthrough::RouterOptions
{
    return {
        .entry = settings.name,
        .failureDomain = settings.failureDomain,
        .retries = { .ratio = settings.retryRatio, .allowance = settings.retryAllowance, .window = settings.retryWindow },
        .engineModel = settings.engineModel,
        .keyFreshness = settings.keyWithdrawal - KeyFreshnessMargin,
        .outdatedTolerance = std::max(settings.configurationApply - AnnouncementDelay, settings.configurationApply / 2),
    };
}

} // namespace

class Gateway::Impl
{
public:
    Impl(task::EventLoop &eventLoop, GatewaySettings gatewaySettings);

    auto start() -> void;
    auto applySettings(const GatewaySettings &changed) -> bool;
    auto drain(std::function<void()> onDrained) -> void;

    auto apply(const passthrough::Event &event) -> void;
    auto execute(const passthrough::Send &action) -> void;
    auto execute(const passthrough::Cancel &action) -> void;
    auto execute(const passthrough::TakeBack &action) -> void;
    auto execute(const passthrough::Deliver &action) -> void;
    auto execute(const passthrough::Refuse &action) -> void;
    auto execute(const passthrough::AbortAnswer &action) -> void;
    auto execute(const passthrough::Complete &action) -> void;
    auto execute(const passthrough::ReportCrashes &action) -> void;
    auto execute(const passthrough::RateLimitChanged &change) -> void;
    auto execute(const passthrough::NoticeApplied &action) -> void;
    auto execute(const passthrough::BrittlenessChanged &change) -> void;
    auto execute(const passthrough::Forward &action) -> void;
    auto execute(const passthrough::ProbeServer &action) -> void;
    auto execute(const passthrough::ReachabilityChanged &change) -> void;
    auto execute(const passthrough::ReportOrigin &action) -> void;
    auto execute(const passthrough::AskOrigin &action) -> void;
    auto execute(const passthrough::OriginResolved &change) -> void;
    auto execute(const passthrough::SilenceJudged &action) -> void;
    auto execute(const passthrough::AttemptPreferred &action) -> void;
    auto execute(const passthrough::LateRequestJudged &action) -> void;

    auto handleRequest(RequestId id, BufferedRequestPointer message) -> void;
    auto handleCallerGone(RequestId id) -> void;
    auto handleCallerBehind(RequestId id, bool isBehind) -> void;
    auto handleNoRoom(AttemptId attempt) -> void;
    auto handleAbandonedRequest(const http::Headers &headers) -> void;
    auto beginStream(AttemptId attempt, int status, const http::Headers &headers) -> void;
    auto relayEvents(AttemptId attempt, std::string_view events) -> void;
    auto handleStreamEnd(AttemptId attempt, const BodyEnd &body) -> void;
    auto handleResponse(AttemptId attempt, BufferedResponse response, const BodyEnd &body) -> void;
    auto handleAttemptFailure(AttemptId attempt, const AttemptFailure &failure) -> void;
    auto handleAttemptSilence(AttemptId attempt, const AttemptSilence &silence) -> void;

    auto handleAttemptStarted(AttemptId attempt, bool isForwarded) -> void;
    auto reportExecutionStart(OpenAttempt &attempt) -> void;
    auto checkTimeouts() -> void;
    auto checkReadiness() -> void;
    [[nodiscard]] auto notReadyReason() const -> std::string_view;
    auto checkDrain() -> void;
    auto reportCutRequests() -> void;
    auto addressesForCallers() const -> std::vector<std::string>;
    auto pagesCallbacks() -> PagesCallbacks;
    auto logContextOf(const OpenRequest &request) const -> RequestLogContext;
    [[nodiscard]] auto memoryStatus() const -> MemoryStatus;
    /// \p cancelled: what Upstream tells of the attempt; not set: it had ended there
    auto endCancelled(AttemptId attempt, const std::optional<CancelledAttempt> &cancelled) -> void;
    auto completeRequest(RequestId id, int status) -> void;

    task::EventLoop &loop;
    GatewaySettings settings;
    memory::Account memoryAccount;
    passthrough::RouterStatePointer router;
    Accounting accounting;
    Frontend frontend;
    Upstream upstream;
    ConnectProbe connectProbe;
    Fleet fleet;
    Pages pages;

    std::unordered_map<RequestId, OpenRequest> requests;
    std::unordered_map<AttemptId, OpenAttempt> attempts;
    std::unordered_map<AttemptId, BufferedResponse> pendingResponses; ///< complete responses until the routing core has decided on them
    bool isReady = false;
    LoopTimes loopTimes;
    std::optional<DrainState> drainState; ///< set once the shutdown has started
    std::function<void()> onDrained;
    task::Watch timeoutTimer;
    task::Watch drainTimer;
};

Gateway::Impl::Impl(task::EventLoop &eventLoop, GatewaySettings gatewaySettings)
    : loop(eventLoop)
    , settings(std::move(gatewaySettings))
    , memoryAccount(loop, memory::limitsOf(settings.memoryBytes))
    , router(passthrough::makeRouter(routerOptionsOf(settings)))
    , frontend(loop,
               memoryAccount,
               callerConnectionsOf(settings),
               {
                   .onRequest = [this](RequestId id, BufferedRequestPointer message) { handleRequest(id, std::move(message)); },
                   .onCallerGone = [this](RequestId id) { handleCallerGone(id); },
                   .onAbandonedRequest = [this](const http::Headers &headers) { handleAbandonedRequest(headers); },
                   .onBadRequest = [this](std::string_view step, std::string_view detail) { accounting.badRequestRefused(step, detail); },
                   .onCallerBehind = [this](RequestId id, bool isBehind) { handleCallerBehind(id, isBehind); },
               })
    , upstream(
          loop,
          memoryAccount,
          {
              .onStarted = [this](AttemptId attempt, bool isForwarded) { handleAttemptStarted(attempt, isForwarded); },
              .onRateLimit = [this](AttemptId attempt,
                                    std::optional<double> perSecond) { apply(passthrough::RateLimitReported{ .attempt = attempt, .perSecond = perSecond }); },
              .onBrittleness =
                  [this](AttemptId attempt, std::optional<double> rejectionsPerSecond) {
                      apply(passthrough::BrittlenessReported{ .attempt = attempt, .rejectionsPerSecond = rejectionsPerSecond });
                  },
              .onNotice = [this](AttemptId attempt,
                                 const passthrough::ServerNotice &notice) { apply(passthrough::AttemptNoticed{ .attempt = attempt, .notice = notice }); },
              .onStreamStarted = [this](AttemptId attempt, int status, const http::Headers &headers) { beginStream(attempt, status, headers); },
              .onEvents = [this](AttemptId attempt, std::string_view events) { relayEvents(attempt, events); },
              .onStreamEnded = [this](AttemptId attempt, const BodyEnd &body) { handleStreamEnd(attempt, body); },
              .onResponse = [this](AttemptId attempt, BufferedResponse response, const BodyEnd &body) { handleResponse(attempt, std::move(response), body); },
              .onFailed = [this](AttemptId attempt, const AttemptFailure &failure) { handleAttemptFailure(attempt, failure); },
              .onSilent = [this](AttemptId attempt, const AttemptSilence &silence) { handleAttemptSilence(attempt, silence); },
              .onNoRoom = [this](AttemptId attempt) { handleNoRoom(attempt); },
          })
    , connectProbe(loop,
                   [this](const std::string &server, bool isReachable) { apply(passthrough::ServerProbed{ .server = server, .isReachable = isReachable }); })
    , fleet(loop,
            settings,
            *router,
            accounting,
            {
                .onEvent = [this](const passthrough::Event &event) { apply(event); },
                .onLimits = [this](const passthrough::CallerLimits &limits) { frontend.setLimits(limits); },
                .onServerGone = [this](const std::string &server) { upstream.closeIdleConnections(server); },
                .onReadinessChanged = [this]() { checkReadiness(); },
            },
            &memoryAccount)
    , pages(loop,
            memoryAccount,
            { .readiness = settings.readinessAddress, .addresses = settings.addressesAddress, .metrics = settings.metricsAddress },
            pagesCallbacks())
{
    frontend.setLimits(passthrough::CallerLimits{});
    frontend.listen(settings.callerAddress);
}

auto Gateway::Impl::pagesCallbacks() -> PagesCallbacks
{
    return {
        .isReady =
            [this]() {
                checkReadiness();
                return isReady;
            },
        .addresses = [this]() { return addressesForCallers(); },
        .addressCacheTime = [this]() { return std::min(AddressCacheTime, settings.keepAddresses); },
        .metrics =
            [this]() {
                const auto at = now();
                return accounting.metricsPage(
                    passthrough::statusOf(*router, at), passthrough::countServersInBackoff(*router, at), fleet.storeCalls(), memoryStatus());
            },
    };
}

auto Gateway::Impl::start() -> void
{
    fleet.start();
    loopTimes = beginLoopTimes(now());
    timeoutTimer = loop.every(ReviewInterval, [this]() { checkTimeouts(); });
}

auto Gateway::Impl::apply(const passthrough::Event &event) -> void
{
    for (const auto &action : passthrough::step(*router, event, now())) {
        std::visit([this](const auto &each) { execute(each); }, action);
    }
}

auto Gateway::Impl::logContextOf(const OpenRequest &request) const -> RequestLogContext
{
    const auto at = now();
    const auto status = passthrough::statusOf(*router, at);
    return {
        .request = request.callerId,
        .fingerprint = request.fingerprint,
        .sharedParts = request.sharedParts,
        .configurationVersion = status.configurationVersion,
        .configurationAge = status.configurationAge,
        .serversAge = fleet.serversAge(at),
    };
}

auto Gateway::Impl::execute(const passthrough::Send &action) -> void
{
    const auto found = requests.find(action.request);
    if (found == requests.end()) {
        return;
    }
    auto &request = found->second;
    request.server = action.server;
    attempts[action.attempt] = {
        .request = action.request,
        .server = action.server,
        .workspace = action.workspace,
        .isStream = action.isStream,
        .sentAt = now(),
    };
    accounting.attemptSent(logContextOf(request), action);
    upstream.send(action, request.message, request.callerId);
    fleet.recordDispatch();
}

auto Gateway::Impl::execute(const passthrough::Cancel &action) -> void
{
    endCancelled(action.attempt, upstream.cancel(action.attempt));
}

auto Gateway::Impl::execute(const passthrough::TakeBack &action) -> void
{
    if (const auto cancelled = upstream.cancelIncomplete(action.attempt)) {
        endCancelled(action.attempt, cancelled);
        apply(passthrough::RequestTakenBack{ .request = action.request });
    }
}

auto Gateway::Impl::endCancelled(AttemptId attempt, const std::optional<CancelledAttempt> &cancelled) -> void
{
    const auto node = attempts.extract(attempt);
    if (cancelled && node) {
        accounting.attemptCancelled(*cancelled, now() - node.mapped().sentAt);
    }
}

auto Gateway::Impl::completeRequest(RequestId id, int status) -> void
{
    const auto node = requests.extract(id);
    if (!node) {
        return;
    }
    const auto &request = node.mapped();
    const auto at = now();
    accounting.responseDelivered(logContextOf(request),
                                 {
                                     .server = request.server,
                                     .status = status,
                                     .body = request.body,
                                     .firstByte = request.firstByteAt.value_or(at) - request.arrivedAt,
                                     .total = at - request.arrivedAt,
                                 });
}

auto Gateway::Impl::execute(const passthrough::Deliver &action) -> void
{
    const auto response = pendingResponses.extract(action.attempt);
    if (response) {
        frontend.respond(action.request, std::move(response.mapped()));
    }
    completeRequest(action.request, action.status);
}

auto Gateway::Impl::execute(const passthrough::Refuse &action) -> void
{
    const auto node = requests.extract(action.request);
    if (node) {
        accounting.requestRefused(logContextOf(node.mapped()), action);
    }
    frontend.respond(action.request, makeRefusalResponse(action));
}

auto Gateway::Impl::execute(const passthrough::AbortAnswer &action) -> void
{
    const auto node = requests.extract(action.request);
    if (node) {
        accounting.responseAborted(logContextOf(node.mapped()), action);
    }
    frontend.abortResponse(action.request);
}

auto Gateway::Impl::execute(const passthrough::Complete &action) -> void
{
    frontend.endStream(action.request);
    completeRequest(action.request, OkStatus);
}

auto Gateway::Impl::execute(const passthrough::ReportCrashes &action) -> void
{
    accounting.crashCounted(action);
    fleet.sendCrashReport({ .suspect = action.suspect, .incidents = action.incidents, .provenAt = action.provenAt });
}

auto Gateway::Impl::execute(const passthrough::RateLimitChanged &change) -> void
{
    accounting.serverLimitChanged(change);
}

auto Gateway::Impl::execute(const passthrough::NoticeApplied &action) -> void
{
    accounting.serverNoticed(action, fleet.serversAge(now()));
}

auto Gateway::Impl::execute(const passthrough::BrittlenessChanged &change) -> void
{
    accounting.brittlenessChanged(change);
}

auto Gateway::Impl::execute(const passthrough::Forward &action) -> void
{
    const auto found = requests.find(action.request);
    if (found == requests.end()) {
        return;
    }
    auto &request = found->second;
    request.server = action.peer;
    attempts[action.attempt] = { .request = action.request, .server = action.peer, .isStream = action.isStream, .isForwarded = true, .sentAt = now() };
    accounting.requestForwarded(logContextOf(request), action);
    upstream.forward(action, request.message, request.callerId);
}

auto Gateway::Impl::execute(const passthrough::ProbeServer &action) -> void
{
    accounting.serverProbed();
    connectProbe.probe(action.server, action.address);
}

auto Gateway::Impl::execute(const passthrough::ReachabilityChanged &change) -> void
{
    accounting.reachabilityChanged(change, fleet.serversAge(now()));
    if (!change.isReachable) {
        for (const auto &server : change.servers) {
            upstream.closeIdleConnections(server);
        }
    }
}

auto Gateway::Impl::execute(const passthrough::ReportOrigin &action) -> void
{
    fleet.sendOrigin(action.entries, { .stream = action.stream, .origin = action.origin });
}

auto Gateway::Impl::execute(const passthrough::AskOrigin &action) -> void
{
    fleet.askOrigin(action);
}

auto Gateway::Impl::execute(const passthrough::OriginResolved &change) -> void
{
    const auto found = requests.find(change.request);
    if (found != requests.end()) {
        accounting.originResolved(logContextOf(found->second), change);
    }
}

auto Gateway::Impl::execute(const passthrough::SilenceJudged &action) -> void
{
    const auto found = requests.find(action.request);
    if (found != requests.end()) {
        accounting.silenceJudged(logContextOf(found->second), action);
    }
}

auto Gateway::Impl::execute(const passthrough::AttemptPreferred &action) -> void
{
    const auto found = requests.find(action.request);
    if (found != requests.end()) {
        found->second.server = action.server;
        accounting.attemptPreferred(logContextOf(found->second), action);
    }
}

auto Gateway::Impl::execute(const passthrough::LateRequestJudged &action) -> void
{
    const auto found = requests.find(action.request);
    if (found != requests.end()) {
        accounting.lateRequestJudged(logContextOf(found->second), action);
    }
}

auto Gateway::Impl::handleRequest(RequestId id, BufferedRequestPointer message) -> void
{
    passthrough::RequestArrived arrived{ .request = id, .path = message->target };
    arrived.forwardedSends = readForwardMark(message->headers);
    if (arrived.forwardedSends) {
        arrived.origin = readOriginHeader(message->headers);
        message = withoutForwardMark(*message);
    }
    adapter::decodeCallerHeaders(message->headers, arrived);
    arrived.fingerprint = fingerprintOf(*message, arrived.host, arrived.key);
    requests[id] = {
        .message = std::move(message),
        .callerId = arrived.callerId,
        .fingerprint = arrived.fingerprint,
        .sharedParts = loggedPartsOf(arrived.prompt),
        .arrivedAt = now(),
    };
    apply(arrived);
}

auto Gateway::Impl::handleCallerGone(RequestId id) -> void
{
    const auto found = requests.find(id);
    if (found != requests.end()) {
        accounting.callerGone(logContextOf(found->second), now() - found->second.arrivedAt, timeBehind(loopTimes, now()));
        requests.erase(found);
    }
    apply(passthrough::CallerGone{ .request = id });
}

/// A slow caller slows down the backend server that works for it.
auto Gateway::Impl::handleCallerBehind(RequestId id, bool isBehind) -> void
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    found->second.isCallerBehind = isBehind;
    for (const auto &[attempt, open] : attempts) {
        if (open.request == id) {
            upstream.setPaused(attempt, isBehind);
        }
    }
}

/// The backend server has executed the request, completely or in part.
auto Gateway::Impl::handleNoRoom(AttemptId attempt) -> void
{
    const auto found = attempts.find(attempt);
    const auto node = found == attempts.end() ? decltype(requests)::node_type() : requests.extract(found->second.request);
    if (!node) {
        upstream.cancel(attempt);
        return;
    }
    const auto &request = node.mapped();
    if (request.responseStarted) {
        accounting.responseAborted(logContextOf(request), { .request = node.key(), .reason = Reason::MemoryFull, .peer = request.server });
        frontend.abortResponse(node.key());
    } else {
        const passthrough::Refuse refusal{
            .request = node.key(), .reason = Reason::MemoryFull, .outcome = Outcome::MayHaveRun, .status = BadGatewayStatus, .peer = request.server
        };
        accounting.requestRefused(logContextOf(request), refusal);
        frontend.respond(node.key(), makeRefusalResponse(refusal));
    }
    apply(passthrough::CallerGone{ .request = node.key() });
}

auto Gateway::Impl::handleAbandonedRequest(const http::Headers &headers) -> void
{
    passthrough::RequestArrived arrived;
    adapter::decodeCallerHeaders(headers, arrived);
    accounting.requestAbandoned(arrived.callerId);
}

auto Gateway::Impl::handleAttemptStarted(AttemptId attempt, bool isForwarded) -> void
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end()) {
        reportExecutionStart(found->second);
    }
    const auto request = found == attempts.end() ? requests.end() : requests.find(found->second.request);
    if (request != requests.end() && !request->second.firstByteAt) {
        request->second.firstByteAt = now();
    }
    apply(passthrough::AttemptStarted{ .attempt = attempt, .isForwarded = isForwarded });
}

/// Reports the start of an execution to the fleet: a stream starts with its first event, any other call about when it is sent.
auto Gateway::Impl::reportExecutionStart(OpenAttempt &attempt) -> void
{
    if (!attempt.isForwarded && !std::exchange(attempt.isReported, true)) {
        fleet.recordStart(attempt.workspace, attempt.isStream ? now() : attempt.sentAt);
    }
}

auto Gateway::Impl::beginStream(AttemptId attempt, int status, const http::Headers &headers) -> void
{
    const auto id = attempts.at(attempt).request;
    const auto found = requests.find(id);
    // a stream that is resumed on another server keeps the response head of the first server
    if (found != requests.end() && !std::exchange(found->second.responseStarted, true)) {
        frontend.beginStream(id, status, headers);
    }
}

auto Gateway::Impl::relayEvents(AttemptId attempt, std::string_view events) -> void
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end()) {
        frontend.writeStream(found->second.request, events);
        const auto request = requests.find(found->second.request);
        if (request != requests.end() && request->second.isCallerBehind) {
            upstream.setPaused(attempt, true); // this attempt may have begun since
        }
        apply(passthrough::AttemptProgress{ .attempt = attempt, .events = countEvents(events) });
    }
}

auto Gateway::Impl::handleStreamEnd(AttemptId attempt, const BodyEnd &body) -> void
{
    const auto node = attempts.extract(attempt);
    const auto found = node ? requests.find(node.mapped().request) : requests.end();
    if (found != requests.end()) {
        found->second.body = body;
        found->second.server = node.mapped().server;
    }
    apply(passthrough::AttemptFinished{ .attempt = attempt });
}

auto Gateway::Impl::handleResponse(AttemptId attempt, BufferedResponse response, const BodyEnd &body) -> void
{
    const auto node = attempts.extract(attempt);
    if (node) {
        reportExecutionStart(node.mapped());
    }
    const auto found = node ? requests.find(node.mapped().request) : requests.end();
    const auto status = response.status;
    if (found != requests.end()) {
        found->second.body = body;
        found->second.server = node.mapped().server;
    }
    if (const auto refusal = node && node.mapped().isForwarded ? readPeerRefusal(response) : std::nullopt) {
        pendingResponses[attempt] = std::move(response);
        apply(passthrough::ForwardRefused{ .attempt = attempt, .reason = refusal->reason, .outcome = refusal->outcome, .status = status });
        pendingResponses.erase(attempt);
        return;
    }
    if (found != requests.end() && found->second.responseStarted) {
        // a resumed stream had no events left, or the server refused to resume it
        if (status >= OkStatus && status < FirstRedirectStatus) {
            frontend.writeStream(found->first, response.body);
            apply(passthrough::AttemptFinished{ .attempt = attempt });
        } else {
            apply(passthrough::AttemptFailed{ .attempt = attempt, .failure = Failure::ServerError, .answerBegun = true });
        }
        return;
    }
    pendingResponses[attempt] = std::move(response);
    apply(passthrough::AttemptAnswered{ .attempt = attempt, .status = status });
    pendingResponses.erase(attempt);
}

auto Gateway::Impl::handleAttemptFailure(AttemptId attempt, const AttemptFailure &failure) -> void
{
    const auto node = attempts.extract(attempt);
    auto responseStarted = false;
    if (node) {
        // a call whose response was lost has most likely run
        if (!node.mapped().isStream && !provesNotStarted(failure.failure)) {
            reportExecutionStart(node.mapped());
        }
        const auto found = requests.find(node.mapped().request);
        if (found != requests.end()) {
            responseStarted = found->second.responseStarted;
            accounting.attemptFailed(logContextOf(found->second), node.mapped().server, failure, now() - node.mapped().sentAt);
        }
    }
    apply(passthrough::AttemptFailed{ .attempt = attempt, .failure = failure.failure, .answerBegun = responseStarted, .lastEventId = failure.lastEventId });
}

auto Gateway::Impl::handleAttemptSilence(AttemptId attempt, const AttemptSilence &silence) -> void
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end() && !found->second.isStream) {
        reportExecutionStart(found->second); // a call whose response is overdue has most likely run
    }
    apply(passthrough::AttemptSilent{
        .attempt = attempt,
        .timeout = silence.timeout,
        .silentFor = silence.silentFor,
        .lastEventId = silence.lastEventId,
    });
}

auto Gateway::Impl::checkTimeouts() -> void
{
    const auto at = now();
    recordService(loopTimes, at);
    upstream.reviewAttempts(at);
    apply(passthrough::Tick{});
}

auto Gateway::Impl::checkReadiness() -> void
{
    const auto isFresh = passthrough::isConfigurationFresh(*router, now());
    const auto ready = isFresh && fleet.hasServerList() && !drainState;
    if (ready) {
        fleet.announce();
    }
    if (std::exchange(isReady, ready) == ready) {
        return;
    }
    accounting.readinessChanged(ready, ready ? "" : notReadyReason());
}

auto Gateway::Impl::notReadyReason() const -> std::string_view
{
    if (drainState) {
        return "leaving";
    }
    if (passthrough::isConfigurationOverdue(*router, now())) {
        return "a newer configuration is overdue";
    }
    return passthrough::isConfigurationFresh(*router, now()) ? "no backend servers known" : "configuration not confirmed";
}

/// An entry that can't confirm its configuration names only other entries to callers, if it knows any.
auto Gateway::Impl::addressesForCallers() const -> std::vector<std::string>
{
    auto addresses = fleet.otherAddresses();
    const auto isUsable = passthrough::isConfigurationFresh(*router, now()) && fleet.hasServerList();
    if (!drainState && (isUsable || addresses.empty())) {
        addresses.push_back(settings.callerAddress);
    }
    return addresses;
}

auto Gateway::Impl::memoryStatus() const -> MemoryStatus
{
    MemoryStatus status{
        .heldBytes = memoryAccount.heldBytes(),
        .limitBytes = memoryAccount.limits().bytes,
        .pauses = memoryAccount.pauses(),
        .callerConnections = frontend.connections(),
        .callers = frontend.connectionCounts(),
    };
    for (const auto &[cause, name] : memory::CloseCauseNames) {
        status.closed.at(static_cast<std::size_t>(cause)) = memoryAccount.closed(cause);
    }
    return status;
}

auto Gateway::Impl::applySettings(const GatewaySettings &changed) -> bool
{
    settings = withReloadableSettings(std::move(settings), changed);
    passthrough::updateOptions(*router, routerOptionsOf(settings));
    checkReadiness();
    return settings == changed;
}

auto Gateway::Impl::drain(std::function<void()> whenDrained) -> void
{
    if (drainState) {
        return;
    }
    onDrained = std::move(whenDrained);
    const auto at = now();
    drainState = beginDrain(earliestSignalTime(loopTimes, at), at, settings.leavingTime);
    accounting.leavingStarted(settings.name, at - drainState->signalAt);
    apply(passthrough::LeavingStarted{
        .lateFrom = cachedAddressesExpireAt(*drainState),
        .exitAt = promisesEndAt(*drainState),
    });
    checkReadiness();
    fleet.leave();
    frontend.closeAfterResponses();
    drainTimer = loop.every(DrainCheckInterval, [this]() { checkDrain(); });
}

auto Gateway::Impl::checkDrain() -> void
{
    const auto isBusy = frontend.openRequests() > 0 || frontend.unwrittenResponses() > 0 || upstream.openAttempts() > 0;
    switch (advanceDrain(*drainState, isBusy, now())) {
    case DrainStep::KeepServing:
        break;
    case DrainStep::RefuseNewRequests:
        apply(passthrough::ClosingStarted{});
        break;
    case DrainStep::EndRequests:
        apply(passthrough::ExitStarted{});
        break;
    case DrainStep::Exit:
        drainTimer = {};
        reportCutRequests();
        onDrained();
        break;
    }
}

auto Gateway::Impl::reportCutRequests() -> void
{
    const auto at = now();
    if (const auto count = frontend.unwrittenResponses(); count > 0) {
        accounting.responsesCut(count);
    }
    for (const auto &[id, request] : requests) {
        const auto isOfRequest = [id = id](const auto &item) { return item.second.request == id; };
        accounting.requestCut(logContextOf(request),
                              {
                                  .server = request.server,
                                  .attempts = static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(), isOfRequest)),
                                  .responseStarted = request.responseStarted,
                                  .age = at - request.arrivedAt,
                                  .arrivedAfterSignal = request.arrivedAt - drainState->signalAt,
                              });
    }
}

Gateway::Gateway(task::EventLoop &loop, GatewaySettings settings)
    : impl_(std::make_unique<Impl>(loop, std::move(settings)))
{
}

Gateway::~Gateway() = default;

auto Gateway::start() -> void
{
    impl_->start();
}

auto Gateway::applySettings(const GatewaySettings &changed) -> bool
{
    return impl_->applySettings(changed);
}

auto Gateway::drain(std::function<void()> onDrained) -> void
{
    impl_->drain(std::move(onDrained));
}

auto Gateway::callerAddress() const -> std::string
{
    return impl_->frontend.address();
}

} // namespace auburnspread::gateway
