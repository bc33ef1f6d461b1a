#include "gateway/gateway.h"

#include "core/passthrough/readers.h"
#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/clock.h"
#include "gateway/directory.h"
#include "gateway/directoryfollower.h"
#include "gateway/directorystate.h"
#include "gateway/frontend.h"
#include "gateway/peerexchange.h"
#include "gateway/upstream.h"
#include "platform/callerrequest.h"
#include "platform/pages.h"
#include "runtime/metrics/prometheus.h"
#include "wire/http/server.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr int UnavailableStatus = 503;
constexpr int FirstRedirectStatus = 300;
constexpr auto JsonType = "application/json";
constexpr auto TextType = "text/plain";

/// Time limits are checked this often; the tightest are some hundred milliseconds.
constexpr Duration SweepInterval = std::chrono::milliseconds(20);
/// Reports to the other entries: a burst fills an engine within some hundred milliseconds.
constexpr Duration ReportInterval = std::chrono::milliseconds(100);
/// With more entries than this the readers sum the reports up; a sum of 60 servers takes about 1.6 KB.
constexpr std::size_t MostDirectPeers = 12;
constexpr int ReportsPerTotals = 2;

/// Whether this entry reads the store is looked at again this often, and whenever the entries change.
constexpr Duration RoleInterval = std::chrono::milliseconds(250);
/// Without a fresh answer of a reader for this long, an entry reads the store itself. It has to come well before the
/// configuration counts as unconfirmed.
constexpr Duration FollowPatience = std::chrono::milliseconds(1500);
constexpr Duration ReadOnceInterval = std::chrono::milliseconds(800);

/// Callers ask again for addresses after this time; some keep an answer three times as long.
constexpr Duration AddressKeep = std::chrono::seconds(1);
constexpr int LongestKeepFactor = 3;

/// The configuration counts as confirmed for this much less than a withdrawn key may live: a watch may be deaf for a
/// second before it is cut, and a timer may be late.
constexpr Duration KeyMargin = std::chrono::milliseconds(1500);

/// Requests that arrive later than this before the end may not end in time, and are refused.
constexpr Duration ClosingTime = std::chrono::milliseconds(2500);
constexpr Duration LeavingMargin = std::chrono::milliseconds(300);
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
    TimePoint sentAt;
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

auto formatSeconds(Duration duration) -> std::string
{
    constexpr int Decimals = 3;
    std::array<char, 32> text{};
    const auto seconds = std::chrono::duration<double>(duration).count();
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed, Decimals);
    return error == std::errc() ? std::string(text.data(), end) : "1";
}

auto makeRefusal(const passthrough::Refuse &refusal) -> WholeAnswer
{
    WholeAnswer answer{ .status = refusal.status, .headers = { { "Content-Type", TextType } } };
    answer.headers.push_back({ "Auburnspread-Reason", std::string(entryOf(refusal.reason).name) });
    answer.headers.push_back({ "Auburnspread-Outcome", std::string(outcomeName(refusal.outcome)) });
    if (refusal.retryAfter) {
        answer.headers.push_back({ "Retry-After", formatSeconds(*refusal.retryAfter) });
    }
    answer.body = std::string(entryOf(refusal.reason).name) + "\n";
    return answer;
}

} // namespace

class Gateway::Impl
{
public:
    Impl(task::EventLoop &eventLoop, GatewaySettings gatewaySettings);

    auto start() -> void;
    auto leave(std::function<void()> onLeft) -> void;

    auto apply(const passthrough::Event &event) -> void;
    auto run(const passthrough::Send &order) -> void;
    auto run(const passthrough::Cancel &order) -> void;
    auto run(const passthrough::Deliver &order) -> void;
    auto run(const passthrough::Refuse &order) -> void;
    auto run(const passthrough::Break &order) -> void;
    auto run(const passthrough::Complete &order) -> void;
    auto run(const passthrough::TellCrashes &order) -> void;

    auto takeRequest(RequestId id, PayloadPointer payload) -> void;
    auto takeGone(RequestId id) -> void;
    auto beginStream(AttemptId attempt, int status, const http::Headers &headers) -> void;
    auto takeEvents(AttemptId attempt, std::string_view events) -> void;
    auto takeStreamEnd(AttemptId attempt) -> void;
    auto takeAnswer(AttemptId attempt, WholeAnswer answer) -> void;
    auto takeFailure(AttemptId attempt, const AttemptFailure &failure) -> void;

    auto directoryCallbacks() -> DirectoryCallbacks;
    auto takeConfiguration(const std::string &document) -> void;
    auto takeConfirmed(TimePoint asOf) -> void;
    auto takeServers(const ServersRead &read) -> void;
    auto logServerChanges(const ServersRead &read) -> void;
    auto takeEntries(const EntriesRead &read) -> void;
    auto takePeerMessage(const PeerMessage &message) -> void;

    auto updateRole() -> void;
    auto sweep() -> void;
    auto sendReport() -> void;
    auto checkReadiness() -> void;
    auto checkLeaving() -> void;
    auto addressesForCallers() const -> std::vector<std::string>;
    auto openPages() -> void;
    auto labelsOf(const OpenRequest &request) const -> RequestLabels;
    auto endLine(RequestId id, int status) -> void;

    task::EventLoop &loop;
    GatewaySettings settings;
    passthrough::RouterStatePointer router;
    Accounting accounting;
    Frontend frontend;
    Upstream upstream;
    DirectoryState known;
    Directory directory;
    DirectoryFollower follower;
    PeerExchange peers;
    http::Server readinessPage;
    http::Server addressesPage;
    http::Server metricsPage;
    http::Server directoryPage; ///< for other entries

    std::unordered_map<RequestId, OpenRequest> requests;
    std::unordered_map<AttemptId, OpenAttempt> attempts;
    std::unordered_map<AttemptId, WholeAnswer> held; ///< whole answers that the core judges
    std::map<std::string, passthrough::Server> servers;
    bool configurationUnderstood = false; ///< the newest document told could be read
    bool isReader = false;
    TimePoint readOnceAt;
    bool isReady = false;
    bool isRegistered = false;
    bool reportedUse = false; ///< the last report was not empty
    int reportsSinceTotals = 0;
    std::vector<std::string> readers; ///< addresses of the readers other than this entry

    std::optional<TimePoint> leavingSince;
    TimePoint lastBusyAt;
    bool isClosing = false;
    std::function<void()> onLeft;
    task::Watch sweeper;
    task::Watch reporter;
    task::Watch roleTimer;
    task::Watch leaving;
};

Gateway::Impl::Impl(task::EventLoop &eventLoop, GatewaySettings gatewaySettings)
    : loop(eventLoop)
    , settings(std::move(gatewaySettings))
    , router(passthrough::makeRouter({
          .entry = settings.name,
          .failureDomain = settings.failureDomain,
          .retries = { .ratio = settings.retryRatio, .allowance = settings.retryAllowance, .window = settings.retryWindow },
          .keyFreshness = settings.keyWithdrawal - KeyMargin,
      }))
    , frontend(loop,
               {
                   .onRequest = [this](RequestId id, PayloadPointer payload) { takeRequest(id, std::move(payload)); },
                   .onGone = [this](RequestId id) { takeGone(id); },
                   .onRefusedInput = [this](std::string_view step, std::string_view detail) { accounting.refusedInput(step, detail); },
               })
    , upstream(loop,
               {
                   .onStarted =
                       [this](AttemptId attempt) {
                           const auto found = attempts.find(attempt);
                           if (found != attempts.end()) {
                               const auto request = requests.find(found->second.request);
                               if (request != requests.end() && !request->second.firstByteAt) {
                                   request->second.firstByteAt = now();
                               }
                           }
                           apply(passthrough::AttemptStarted{ .attempt = attempt });
                       },
                   .onStreamBegun = [this](AttemptId attempt, int status, const http::Headers &headers) { beginStream(attempt, status, headers); },
                   .onEvents = [this](AttemptId attempt, std::string_view events) { takeEvents(attempt, events); },
                   .onStreamEnded = [this](AttemptId attempt) { takeStreamEnd(attempt); },
                   .onAnswer = [this](AttemptId attempt, WholeAnswer answer) { takeAnswer(attempt, std::move(answer)); },
                   .onFailed = [this](AttemptId attempt, const AttemptFailure &failure) { takeFailure(attempt, failure); },
               })
    , directory(loop,
                {
                    .store = settings.storeAddress,
                    .self = {
                        .name = settings.name,
                        .callerAddress = settings.callerAddress,
                        .peerAddress = settings.peerAddress,
                        .failureDomain = settings.failureDomain,
                    },
                    .leaseTime = settings.leaseTime,
                },
                directoryCallbacks())
    , follower(loop, directoryCallbacks())
    , peers(loop,
            settings.peerAddress,
            [this](const PeerMessage &message) { takePeerMessage(message); },
            [this](const std::string &detail) { accounting.inputInvalid("peer", detail); })
    , readinessPage(loop)
    , addressesPage(loop)
    , metricsPage(loop)
    , directoryPage(loop)
{
    frontend.setLimits(passthrough::CallerLimits{});
    frontend.listen(settings.callerAddress);
    openPages();
}

auto Gateway::Impl::openPages() -> void
{
    readinessPage.route(std::string(adapter::readinessPath()), [this](const http::IncomingRequest &, const http::Replier &replier) {
        checkReadiness();
        replier.reply(isReady ? OkStatus : UnavailableStatus, TextType, isReady ? "ready\n" : "not ready\n");
    });
    addressesPage.route(std::string(adapter::addressesPath()), [this](const http::IncomingRequest &, const http::Replier &replier) {
        const auto addresses = addressesForCallers();
        if (addresses.empty()) {
            replier.reply(UnavailableStatus, TextType, "no entry is known to be ready\n");
            return;
        }
        replier.reply(OkStatus, JsonType, adapter::encodeAddresses(addresses, std::min(AddressKeep, settings.keepAddresses)));
    });
    metricsPage.route("/metrics", [this](const http::IncomingRequest &, const http::Replier &replier) {
        replier.reply(OkStatus, metrics::PrometheusContentType, accounting.metricsPage(passthrough::statusOf(*router, now()), directory.calls()));
    });
    directoryPage.route(std::string(DirectoryPath), [this](const http::IncomingRequest &request, const http::Replier &replier) {
        const auto answer = makeAnswer(known, readQuestion(request.query), now());
        replier.reply(OkStatus, "application/cbor", encodeAnswer(answer));
    });
    directoryPage.listen(settings.peerAddress);
    readinessPage.listen(settings.readinessAddress);
    addressesPage.listen(settings.addressesAddress);
    metricsPage.listen(settings.metricsAddress);
}

auto Gateway::Impl::start() -> void
{
    readOnceAt = now();
    directory.readOnce();
    roleTimer = loop.every(RoleInterval, [this]() { updateRole(); });
    sweeper = loop.every(SweepInterval, [this]() { sweep(); });
    reporter = loop.every(ReportInterval, [this]() { sendReport(); });
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
        .serversAge = at - known.serversAt.value_or(TimePoint()),
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
    attempts[order.attempt] = { .request = order.request, .server = order.server, .sentAt = now() };
    accounting.sent(labelsOf(request), order);
    upstream.send(order, request.payload, request.callerId);
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
    peers.send(passthrough::CrashesHeard{ .fingerprint = order.fingerprint, .crashes = order.crashes });
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
        apply(passthrough::AttemptProgress{ .attempt = attempt });
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
        const auto found = requests.find(node.mapped().request);
        if (found != requests.end()) {
            begun = found->second.begun;
            accounting.attemptFailed(labelsOf(found->second), node.mapped().server, failure, now() - node.mapped().sentAt);
        }
    }
    apply(passthrough::AttemptFailed{ .attempt = attempt, .failure = failure.failure, .answerBegun = begun, .lastEventId = failure.lastEventId });
}

auto Gateway::Impl::directoryCallbacks() -> DirectoryCallbacks
{
    return {
        .onConfiguration = [this](const std::string &document) { takeConfiguration(document); },
        .onConfirmed = [this](TimePoint asOf) { takeConfirmed(asOf); },
        .onServers = [this](const ServersRead &read) { takeServers(read); },
        .onServersConfirmed =
            [this](std::uint64_t revision, TimePoint asOf) {
                if (revision >= known.serversRevision && known.serversAt) {
                    known.serversRevision = revision;
                    known.serversAt = std::max(*known.serversAt, asOf);
                }
            },
        .onEntries = [this](const EntriesRead &read) { takeEntries(read); },
        .onReachable =
            [this](std::string_view peer, bool reachable, std::string_view call, const std::string &detail) {
                accounting.dependencyReachable(peer, reachable, call, detail);
            },
        .onInvalid = [this](std::string_view what, const std::string &detail) { accounting.inputInvalid(what, detail); },
    };
}

auto Gateway::Impl::takeConfiguration(const std::string &document) -> void
{
    try {
        const auto configuration = adapter::decodeConfiguration(document);
        configurationUnderstood = true;
        const auto before = passthrough::statusOf(*router, now()).configurationVersion;
        apply(passthrough::ConfigurationAdopted{ .configuration = configuration });
        if (configuration.version <= before) {
            return;
        }
        known.configuration = document;
        updateTags(known);
        accounting.configurationAdopted(configuration.version, configuration.routes.size(), configuration.workspaces.size());
        frontend.setLimits(configuration.limits);
    } catch (const adapter::InvalidDocument &error) {
        configurationUnderstood = false;
        accounting.inputInvalid("configuration", error.what());
    }
}

/// A document that could not be read may take keys away: the configuration in force is not confirmed by it.
auto Gateway::Impl::takeConfirmed(TimePoint asOf) -> void
{
    if (!configurationUnderstood) {
        return;
    }
    known.confirmedAt = std::max(known.confirmedAt.value_or(asOf), asOf);
    apply(passthrough::ConfigurationConfirmed{ .asOf = asOf });
    checkReadiness();
}

auto Gateway::Impl::takeServers(const ServersRead &read) -> void
{
    if (!gateway::takeServers(known, read)) {
        return;
    }
    logServerChanges(read);
    apply(passthrough::ServersListed{ .servers = read.servers, .asOf = read.asOf, .outageEndedAt = read.outageEndedAt });
    checkReadiness();
}

auto Gateway::Impl::logServerChanges(const ServersRead &read) -> void
{
    std::map<std::string, passthrough::Server> next;
    for (const auto &server : read.servers) {
        next[server.id] = server;
        const auto before = servers.find(server.id);
        if (before == servers.end()) {
            accounting.serversChanged("joined", server.id, server.service);
        } else if (before->second.isLeaving != server.isLeaving) {
            accounting.serversChanged(server.isLeaving ? "leaving" : "available", server.id, server.service);
        }
    }
    for (const auto &[id, server] : servers) {
        if (!next.contains(id)) {
            accounting.serversChanged("unlisted", id, server.service);
            upstream.closeIdle(id);
        }
    }
    servers = std::move(next);
}

auto Gateway::Impl::takeEntries(const EntriesRead &read) -> void
{
    if (!gateway::takeEntries(known, read)) {
        return;
    }
    accounting.entriesChanged(known.entries.size());
    std::vector<std::string> others;
    for (const auto &entry : known.entries) {
        if (entry.name != settings.name) {
            others.push_back(entry.peerAddress);
        }
    }
    apply(passthrough::EntriesCounted{ .entries = static_cast<std::uint32_t>(others.size() + 1) });
    peers.setPeers(std::move(others));
    updateRole();
}

/// An entry that is not among the readers asks these. One that has nobody to ask, or gets nothing fresh, reads the store
/// itself now and then, so that it depends on no other entry.
auto Gateway::Impl::updateRole() -> void
{
    std::vector<std::string> names;
    for (const auto &entry : known.entries) {
        names.push_back(entry.name);
    }
    const auto chosen = passthrough::chooseReaders(names);
    const auto reads = !leavingSince && std::find(chosen.begin(), chosen.end(), settings.name) != chosen.end();
    readers.clear();
    for (const auto &name : chosen) {
        const auto found = std::find_if(known.entries.begin(), known.entries.end(), [&](const auto &entry) { return entry.name == name; });
        if (name != settings.name) {
            readers.push_back(found->peerAddress);
        }
    }
    if (reads != isReader) {
        isReader = reads;
        accounting.roleChanged(isReader, chosen.size());
    }
    directory.setReading(isReader);
    follower.follow(isReader ? std::vector<std::string>() : readers, known.tags);
    const auto at = now();
    const auto isInformed = isReader || at - follower.confirmedAt() < FollowPatience;
    if (!isInformed && at - readOnceAt >= ReadOnceInterval) {
        readOnceAt = at;
        directory.readOnce();
    }
}

auto Gateway::Impl::takePeerMessage(const PeerMessage &message) -> void
{
    if (const auto *report = std::get_if<passthrough::PeerReported>(&message)) {
        apply(*report);
    } else {
        apply(std::get<passthrough::CrashesHeard>(message));
    }
}

auto Gateway::Impl::sweep() -> void
{
    const auto at = now();
    upstream.sweep(at);
    apply(passthrough::Tick{});
}

/// In a small fleet each entry tells each other. In a large one the entries tell the readers, which tell all the sum:
/// datagrams grow with the number of entries, not with its square.
auto Gateway::Impl::sendReport() -> void
{
    const auto isLarge = peers.peers() > MostDirectPeers;
    const auto report = passthrough::takeReport(*router);
    const auto hasUse = !report.uses.empty();
    const auto isNews = hasUse || std::exchange(reportedUse, hasUse);
    if (isNews && isLarge) {
        peers.sendTo(readers, report);
    } else if (isNews) {
        peers.send(report);
    }
    if (isLarge && isReader && ++reportsSinceTotals >= ReportsPerTotals) {
        reportsSinceTotals = 0;
        peers.send(passthrough::takeTotals(*router));
    }
}

auto Gateway::Impl::checkReadiness() -> void
{
    const auto isFresh = passthrough::isFresh(*router, now());
    const auto ready = isFresh && known.serversAt.has_value() && !leavingSince;
    if (ready && !std::exchange(isRegistered, true)) {
        directory.registerSelf();
    }
    if (ready != isReady) {
        isReady = ready;
        const auto *reason = leavingSince ? "leaving" : !isFresh ? "configuration not confirmed" : !known.serversAt ? "no backend servers known" : "";
        accounting.readinessChanged(ready, reason);
    }
}

/// An entry that can't confirm its configuration sends callers to the others, if it knows any.
auto Gateway::Impl::addressesForCallers() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto &entry : known.entries) {
        if (entry.name != settings.name) {
            addresses.push_back(entry.callerAddress);
        }
    }
    const auto isUsable = !leavingSince && passthrough::isFresh(*router, now()) && known.serversAt.has_value();
    if (isUsable || (addresses.empty() && !leavingSince)) {
        addresses.push_back(settings.callerAddress);
    }
    return addresses;
}

auto Gateway::Impl::leave(std::function<void()> whenLeft) -> void
{
    if (leavingSince) {
        return;
    }
    onLeft = std::move(whenLeft);
    leavingSince = now();
    lastBusyAt = *leavingSince;
    checkReadiness();
    updateRole();
    directory.withdraw();
    frontend.closeAfterAnswers();
    leaving = loop.every(LeavingCheck, [this]() { checkLeaving(); });
}

/// Callers keep their list of entries for some seconds, and their connections until an answer closes them. So the entry
/// serves on for as long as any may come, and refuses what could not end before the process does.
auto Gateway::Impl::checkLeaving() -> void
{
    const auto at = now();
    const auto gone = at - *leavingSince;
    const auto isBusy = frontend.openRequests() > 0 || upstream.attempts() > 0;
    lastBusyAt = isBusy ? at : lastBusyAt;
    if (!isClosing && gone >= settings.leavingTime - ClosingTime) {
        isClosing = true;
        apply(passthrough::ClosingStarted{});
    }
    constexpr Duration QuietTime = std::chrono::milliseconds(300);
    const auto isUnused = gone > AddressKeep * LongestKeepFactor && at - lastBusyAt > QuietTime;
    if (isUnused || gone >= settings.leavingTime - LeavingMargin) {
        leaving = {};
        onLeft();
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

auto Gateway::leave(std::function<void()> onLeft) -> void
{
    impl_->leave(std::move(onLeft));
}

auto Gateway::callerAddress() const -> std::string
{
    return impl_->frontend.address();
}

} // namespace auburnspread::gateway
