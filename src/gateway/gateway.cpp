#include "gateway/gateway.h"

#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/eventsplitter.h"
#include "gateway/fleet.h"
#include "gateway/frontend.h"
#include "gateway/leaving.h"
#include "gateway/pages.h"
#include "gateway/refusalanswer.h"
#include "gateway/upstream.h"
#include "platform/callerrequest.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr int FirstRedirectStatus = 300;

/// Time limits are checked this often; the tightest are some hundred milliseconds.
constexpr Duration SweepInterval = std::chrono::milliseconds(20);

/// The configuration counts as confirmed for this much less than a withdrawn key may live: a watch may be deaf for a
/// second before it is cut, and a timer may be late.
constexpr Duration KeyMargin = std::chrono::milliseconds(1500);

/// What of the time in which a configuration comes into force may be over when an entry hears of it: a question to a reader that is
/// silent (350 ms), the pause after it (300 ms), and the answer of the next one.
constexpr Duration HearingTime = std::chrono::milliseconds(800);

constexpr Duration LeavingCheck = std::chrono::milliseconds(50);

/// A request under way, or one that its caller left and that runs to its end.
struct OpenRequest {
    PayloadPointer payload;
    std::string callerId;
    TimePoint arrivedAt;
    std::optional<TimePoint> firstByteAt;
    bool begun = false; ///< its caller has received a part of the answer
    std::string server; ///< of the last attempt
};

struct OpenAttempt {
    RequestId request{};
    std::string server;
    std::string workspace; ///< empty: none
    bool isStream = false;
    TimePoint sentAt;
    bool isCounted = false; ///< as one that began to run
};

/// Equal for requests that a caller sends again. The key is part of it: calls without a body of different callers are not the
/// same request, and one of them must not be withheld for what befell another.
auto fingerprintOf(const Payload &payload, const std::string &host, const std::string &key) -> Fingerprint
{
    auto hash = static_cast<XXH64_hash_t>(payload.method);
    for (const auto *part : { &payload.target, &host, &key, &payload.body }) {
        hash = XXH64(part->data(), part->size(), hash);
    }
    return Fingerprint{ hash };
}

auto routerOptionsOf(const GatewaySettings &settings) -> passthrough::RouterOptions
{
    return {
        .entry = settings.name,
        .failureDomain = settings.failureDomain,
        .retries = { .ratio = settings.retryRatio, .allowance = settings.retryAllowance, .window = settings.retryWindow },
        .keyFreshness = settings.keyWithdrawal - KeyMargin,
        .overduePatience = std::max(settings.configurationApply - HearingTime, settings.configurationApply / 2),
    };
}

} // namespace

class Gateway::Impl
{
public:
    Impl(task::EventLoop &eventLoop, GatewaySettings gatewaySettings);

    auto start() -> void;
    auto takeSettings(const GatewaySettings &changed) -> bool;
    auto leave(std::function<void()> onLeft) -> void;

    auto apply(const passthrough::Event &event) -> void;
    auto run(const passthrough::Send &order) -> void;
    auto run(const passthrough::Cancel &order) -> void;
    auto run(const passthrough::Deliver &order) -> void;
    auto run(const passthrough::Refuse &order) -> void;
    auto run(const passthrough::Break &order) -> void;
    auto run(const passthrough::Complete &order) -> void;
    auto run(const passthrough::TellCrashes &order) -> void;
    auto run(const passthrough::LimitChanged &change) -> void;

    auto takeRequest(RequestId id, PayloadPointer payload) -> void;
    auto takeGone(RequestId id) -> void;
    auto beginStream(AttemptId attempt, int status, const http::Headers &headers) -> void;
    auto takeEvents(AttemptId attempt, std::string_view events) -> void;
    auto takeStreamEnd(AttemptId attempt) -> void;
    auto takeAnswer(AttemptId attempt, WholeAnswer answer) -> void;
    auto takeFailure(AttemptId attempt, const AttemptFailure &failure) -> void;

    auto takeStarted(AttemptId attempt, bool goesToCaller) -> void;
    auto countBegun(OpenAttempt &attempt) -> void;
    auto sweep() -> void;
    auto checkReadiness() -> void;
    [[nodiscard]] auto whyNotReady() const -> std::string_view;
    auto checkLeaving() -> void;
    auto addressesForCallers() const -> std::vector<std::string>;
    auto pagesCallbacks() -> PagesCallbacks;
    auto labelsOf(const OpenRequest &request) const -> RequestLabels;
    auto endLine(RequestId id, int status) -> void;

    task::EventLoop &loop;
    GatewaySettings settings;
    passthrough::RouterStatePointer router;
    Accounting accounting;
    Frontend frontend;
    Upstream upstream;
    Fleet fleet;
    Pages pages;

    std::unordered_map<RequestId, OpenRequest> requests;
    std::unordered_map<AttemptId, OpenAttempt> attempts;
    std::unordered_map<AttemptId, WholeAnswer> held; ///< whole answers that the core judges
    bool isReady = false;
    std::optional<Leaving> leaving; ///< set once it has begun to leave
    std::function<void()> onLeft;
    task::Watch sweeper;
    task::Watch leavingCheck;
};

Gateway::Impl::Impl(task::EventLoop &eventLoop, GatewaySettings gatewaySettings)
    : loop(eventLoop)
    , settings(std::move(gatewaySettings))
    , router(passthrough::makeRouter(routerOptionsOf(settings)))
    , frontend(loop,
               {
                   .onRequest = [this](RequestId id, PayloadPointer payload) { takeRequest(id, std::move(payload)); },
                   .onGone = [this](RequestId id) { takeGone(id); },
                   .onRefusedInput = [this](std::string_view step, std::string_view detail) { accounting.refusedInput(step, detail); },
               })
    , upstream(loop,
               {
                   .onStarted = [this](AttemptId attempt, bool goesToCaller) { takeStarted(attempt, goesToCaller); },
                   .onLimit = [this](AttemptId attempt,
                                     std::optional<double> perSecond) { apply(passthrough::LimitStated{ .attempt = attempt, .perSecond = perSecond }); },
                   .onStreamBegun = [this](AttemptId attempt, int status, const http::Headers &headers) { beginStream(attempt, status, headers); },
                   .onEvents = [this](AttemptId attempt, std::string_view events) { takeEvents(attempt, events); },
                   .onStreamEnded = [this](AttemptId attempt) { takeStreamEnd(attempt); },
                   .onAnswer = [this](AttemptId attempt, WholeAnswer answer) { takeAnswer(attempt, std::move(answer)); },
                   .onFailed = [this](AttemptId attempt, const AttemptFailure &failure) { takeFailure(attempt, failure); },
               })
    , fleet(loop,
            settings,
            *router,
            accounting,
            {
                .onEvent = [this](const passthrough::Event &event) { apply(event); },
                .onLimits = [this](const passthrough::CallerLimits &limits) { frontend.setLimits(limits); },
                .onServerGone = [this](const std::string &server) { upstream.closeIdle(server); },
                .onReadinessChanged = [this]() { checkReadiness(); },
            })
    , pages(loop, { .readiness = settings.readinessAddress, .addresses = settings.addressesAddress, .metrics = settings.metricsAddress }, pagesCallbacks())
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
        .keepAddresses = [this]() { return std::min(AddressKeep, settings.keepAddresses); },
        .metrics = [this]() { return accounting.metricsPage(passthrough::statusOf(*router, now()), fleet.storeCalls()); },
    };
}

auto Gateway::Impl::start() -> void
{
    fleet.start();
    sweeper = loop.every(SweepInterval, [this]() { sweep(); });
}

auto Gateway::Impl::apply(const passthrough::Event &event) -> void
{
    for (const auto &action : passthrough::step(*router, event, now())) {
        std::visit([this](const auto &each) { run(each); }, action);
    }
}

auto Gateway::Impl::labelsOf(const OpenRequest &request) const -> RequestLabels
{
    const auto at = now();
    const auto status = passthrough::statusOf(*router, at);
    return {
        .request = request.callerId,
        .configurationVersion = status.configurationVersion,
        .configurationAge = status.configurationAge,
        .serversAge = fleet.serversAge(at),
    };
}

auto Gateway::Impl::run(const passthrough::Send &order) -> void
{
    const auto found = requests.find(order.request);
    if (found == requests.end()) {
        return;
    }
    auto &request = found->second;
    request.server = order.server;
    attempts[order.attempt] = {
        .request = order.request,
        .server = order.server,
        .workspace = order.workspace,
        .isStream = order.isStream,
        .sentAt = now(),
    };
    accounting.sent(labelsOf(request), order);
    upstream.send(order, request.payload, request.callerId);
    fleet.recordDispatch();
}

auto Gateway::Impl::run(const passthrough::Cancel &order) -> void
{
    upstream.cancel(order.attempt);
    attempts.erase(order.attempt);
}

auto Gateway::Impl::endLine(RequestId id, int status) -> void
{
    const auto node = requests.extract(id);
    if (!node) {
        return;
    }
    const auto &request = node.mapped();
    const auto at = now();
    accounting.answered(labelsOf(request), request.server, status, request.firstByteAt.value_or(at) - request.arrivedAt, at - request.arrivedAt);
}

auto Gateway::Impl::run(const passthrough::Deliver &order) -> void
{
    const auto answer = held.extract(order.attempt);
    if (answer) {
        frontend.answer(order.request, answer.mapped());
    }
    endLine(order.request, order.status);
}

auto Gateway::Impl::run(const passthrough::Refuse &order) -> void
{
    const auto node = requests.extract(order.request);
    if (node) {
        accounting.refused(labelsOf(node.mapped()), order);
    }
    frontend.answer(order.request, makeRefusal(order));
}

auto Gateway::Impl::run(const passthrough::Break &order) -> void
{
    const auto node = requests.extract(order.request);
    if (node) {
        accounting.brokenOff(labelsOf(node.mapped()), order);
    }
    frontend.breakOff(order.request);
}

auto Gateway::Impl::run(const passthrough::Complete &order) -> void
{
    frontend.endStream(order.request);
    endLine(order.request, OkStatus);
}

auto Gateway::Impl::run(const passthrough::TellCrashes &order) -> void
{
    accounting.crashCounted(order);
    fleet.sendCrashReport({ .fingerprint = order.fingerprint, .crashes = order.crashes });
}

auto Gateway::Impl::run(const passthrough::LimitChanged &change) -> void
{
    accounting.serverLimitChanged(change);
}

auto Gateway::Impl::takeRequest(RequestId id, PayloadPointer payload) -> void
{
    passthrough::RequestArrived arrived{ .request = id, .path = payload->target };
    adapter::decodeCallerHeaders(payload->headers, arrived);
    arrived.fingerprint = fingerprintOf(*payload, arrived.host, arrived.key);
    requests[id] = { .payload = std::move(payload), .callerId = arrived.callerId, .arrivedAt = now() };
    apply(arrived);
}

auto Gateway::Impl::takeGone(RequestId id) -> void
{
    const auto found = requests.find(id);
    if (found != requests.end()) {
        accounting.callerGone(labelsOf(found->second), now() - found->second.arrivedAt);
        requests.erase(found);
    }
    apply(passthrough::CallerGone{ .request = id });
}

auto Gateway::Impl::takeStarted(AttemptId attempt, bool goesToCaller) -> void
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end()) {
        countBegun(found->second);
    }
    const auto request = found == attempts.end() ? requests.end() : requests.find(found->second.request);
    if (request != requests.end() && !request->second.firstByteAt) {
        request->second.firstByteAt = now();
    }
    apply(passthrough::AttemptStarted{ .attempt = attempt, .goesToCaller = goesToCaller });
}

/// A stream begins to run with its first event, a call about when it is sent.
auto Gateway::Impl::countBegun(OpenAttempt &attempt) -> void
{
    if (!std::exchange(attempt.isCounted, true)) {
        fleet.recordStart(attempt.workspace, attempt.isStream ? now() : attempt.sentAt);
    }
}

auto Gateway::Impl::beginStream(AttemptId attempt, int status, const http::Headers &headers) -> void
{
    const auto id = attempts.at(attempt).request;
    const auto found = requests.find(id);
    // a stream that goes on at another server keeps the head of its first one
    if (found != requests.end() && !std::exchange(found->second.begun, true)) {
        frontend.beginStream(id, status, headers);
    }
}

auto Gateway::Impl::takeEvents(AttemptId attempt, std::string_view events) -> void
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end()) {
        frontend.writeStream(found->second.request, events);
        apply(passthrough::AttemptProgress{ .attempt = attempt, .events = countEvents(events) });
    }
}

auto Gateway::Impl::takeStreamEnd(AttemptId attempt) -> void
{
    attempts.erase(attempt);
    apply(passthrough::AttemptFinished{ .attempt = attempt });
}

auto Gateway::Impl::takeAnswer(AttemptId attempt, WholeAnswer answer) -> void
{
    const auto node = attempts.extract(attempt);
    if (node) {
        countBegun(node.mapped());
    }
    const auto found = node ? requests.find(node.mapped().request) : requests.end();
    const auto status = answer.status;
    if (found != requests.end() && found->second.begun) {
        // a resumed stream had no event left, or its server refused to go on
        if (status >= OkStatus && status < FirstRedirectStatus) {
            frontend.writeStream(found->first, answer.body);
            apply(passthrough::AttemptFinished{ .attempt = attempt });
        } else {
            apply(passthrough::AttemptFailed{ .attempt = attempt, .failure = Failure::ServerError, .answerBegun = true });
        }
        return;
    }
    held[attempt] = std::move(answer);
    apply(passthrough::AttemptAnswered{ .attempt = attempt, .status = status });
    held.erase(attempt);
}

auto Gateway::Impl::takeFailure(AttemptId attempt, const AttemptFailure &failure) -> void
{
    const auto node = attempts.extract(attempt);
    auto begun = false;
    if (node) {
        // a call whose answer was lost has most likely run
        if (!node.mapped().isStream && !provesNotStarted(failure.failure)) {
            countBegun(node.mapped());
        }
        const auto found = requests.find(node.mapped().request);
        if (found != requests.end()) {
            begun = found->second.begun;
            accounting.attemptFailed(labelsOf(found->second), node.mapped().server, failure, now() - node.mapped().sentAt);
        }
    }
    apply(passthrough::AttemptFailed{ .attempt = attempt, .failure = failure.failure, .answerBegun = begun, .lastEventId = failure.lastEventId });
}

auto Gateway::Impl::sweep() -> void
{
    const auto at = now();
    upstream.sweep(at);
    apply(passthrough::Tick{});
}

auto Gateway::Impl::checkReadiness() -> void
{
    const auto isFresh = passthrough::isFresh(*router, now());
    const auto ready = isFresh && fleet.hasServerList() && !leaving;
    if (ready) {
        fleet.announce();
    }
    if (std::exchange(isReady, ready) == ready) {
        return;
    }
    accounting.readinessChanged(ready, ready ? "" : whyNotReady());
}

auto Gateway::Impl::whyNotReady() const -> std::string_view
{
    if (leaving) {
        return "leaving";
    }
    if (passthrough::isOverdue(*router, now())) {
        return "a newer configuration is overdue";
    }
    return passthrough::isFresh(*router, now()) ? "no backend servers known" : "configuration not confirmed";
}

/// An entry that can't confirm its configuration sends callers to the others, if it knows any.
auto Gateway::Impl::addressesForCallers() const -> std::vector<std::string>
{
    auto addresses = fleet.otherAddresses();
    const auto isUsable = passthrough::isFresh(*router, now()) && fleet.hasServerList();
    if (!leaving && (isUsable || addresses.empty())) {
        addresses.push_back(settings.callerAddress);
    }
    return addresses;
}

auto Gateway::Impl::takeSettings(const GatewaySettings &changed) -> bool
{
    settings = withBoundsOf(std::move(settings), changed);
    passthrough::changeBounds(*router, routerOptionsOf(settings));
    checkReadiness();
    return settings == changed;
}

auto Gateway::Impl::leave(std::function<void()> whenLeft) -> void
{
    if (leaving) {
        return;
    }
    onLeft = std::move(whenLeft);
    leaving = beginLeaving(now());
    checkReadiness();
    fleet.leave();
    frontend.closeAfterAnswers();
    leavingCheck = loop.every(LeavingCheck, [this]() { checkLeaving(); });
}

auto Gateway::Impl::checkLeaving() -> void
{
    const auto isBusy = frontend.openRequests() > 0 || upstream.attempts() > 0;
    switch (stepLeaving(*leaving, isBusy, settings.leavingTime, now())) {
    case LeavingStep::ServeOn:
        break;
    case LeavingStep::RefuseNew:
        apply(passthrough::ClosingStarted{});
        break;
    case LeavingStep::End:
        leavingCheck = {};
        onLeft();
        break;
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

auto Gateway::takeSettings(const GatewaySettings &changed) -> bool
{
    return impl_->takeSettings(changed);
}

auto Gateway::leave(std::function<void()> onLeft) -> void
{
    impl_->leave(std::move(onLeft));
}

auto Gateway::callerAddress() const -> std::string
{
    return impl_->frontend.address();
}

} // namespace auburnspread::gateway
