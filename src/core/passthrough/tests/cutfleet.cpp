#include "core/passthrough/tests/cutfleet.h"

#include "core/passthrough/tests/world.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnspread::passthrough::tests
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration SilenceReportInterval = std::chrono::milliseconds(100);
constexpr Duration WorkTime = std::chrono::milliseconds(30);
constexpr Duration EventInterval = std::chrono::milliseconds(60);
constexpr Duration IdleTime = std::chrono::milliseconds(700);
constexpr int EventsOfStream = 8;
constexpr int EngineCount = 12;
constexpr int PortalCount = 3;
constexpr Duration WorkMayLast = std::chrono::milliseconds(500); ///< on a server, after its caller has left
constexpr Duration StableTime = std::chrono::seconds(3);         ///< from this time after the beginning of a cut, callers must be served
constexpr Duration RecoveryTime = std::chrono::seconds(2);       ///< from this time after the end of a cut, entries use the servers themselves again
constexpr TimePoint Start{ std::chrono::hours(1) };

struct Execution {
    std::set<std::string> servers;
    std::size_t count = 0;
};

/// A caller's request: known under one id at the entry that got it.
struct CallerRequest {
    std::string path;
    std::size_t entry = 0;
    bool isCounted = false;
    bool isDone = false;
    Execution execution;
};

struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    auto operator<(const Event &other) const -> bool
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

class CutFleet
{
public:
    explicit CutFleet(const CutFleetOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        routers_.reserve(options_.entries);
        for (std::size_t i = 0; i < options_.entries; ++i) {
            routers_.push_back(makeRouter({ .entry = nameOf(i), .failureDomain = std::to_string(i % 3) }));
            apply(i, ConfigurationAdopted{ makeConfiguration() });
            apply(i, ConfigurationConfirmed{ .asOf = Start + std::chrono::hours(1) });
            apply(i, ServersListed{ .servers = listServers(), .asOf = Start });
            apply(i, entriesFor(i));
        }
    }

    auto run() -> CutFleetResult
    {
        if (options_.kind == CutKind::Resetting && !options_.areServersDown) {
            after(options_.cutFrom, [this]() { resetConnections(); });
        }
        if (options_.leavingInterval != Duration::zero()) {
            scheduleLeaving();
        }
        scheduleArrival();
        scheduleTick();
        while (!queue_.empty() && queue_.top().at <= Start + options_.length) {
            auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.action();
        }
        return result_;
    }

private:
    using AttemptKey = std::pair<std::size_t, AttemptId>; ///< entry and its attempt
    using Line = std::pair<std::size_t, std::string>;     ///< entry and server
    using RequestKey = std::pair<std::size_t, RequestId>; ///< entry and its request

    /// A request on its way to a server, or on it.
    struct Running {
        Send send;
        std::shared_ptr<CallerRequest> caller;
        bool isExecuting = false; ///< the server has got the request
        bool hasStarted = false;
        int events = 0;
    };

    static auto nameOf(std::size_t entry) -> std::string
    {
        return "entry-" + std::to_string(entry);
    }

    static auto listServers() -> std::vector<Server>
    {
        std::vector<Server> servers;
        servers.reserve(EngineCount + PortalCount);
        for (auto i = 0; i < EngineCount; ++i) {
            servers.push_back(makeServer("e" + std::to_string(i), "engines", 32));
        }
        for (auto i = 0; i < PortalCount; ++i) {
            servers.push_back(makeServer("p" + std::to_string(i), "portal", 6));
        }
        return servers;
    }

    [[nodiscard]] auto entriesFor(std::size_t entry) const -> EntriesCounted
    {
        EntriesCounted counted{ .entries = static_cast<std::uint32_t>(options_.entries) };
        for (std::size_t i = 0; i < options_.entries; ++i) {
            counted.names.push_back(nameOf(i));
            if (i != entry) {
                counted.otherAddresses.push_back(nameOf(i));
            }
        }
        return counted;
    }

    auto after(Duration delay, std::function<void()> action) -> void
    {
        queue_.push({ now_ + delay, ++lastOrder_, std::move(action) });
    }

    auto draw(double most) -> double
    {
        return std::uniform_real_distribution<double>(0, most)(random_);
    }

    [[nodiscard]] auto isDuringCut() const -> bool
    {
        const auto at = now_ - Start;
        if (at < options_.cutFrom || at >= options_.cutUntil) {
            return false;
        }
        return options_.cutPeriod == Duration::zero() || (at - options_.cutFrom) % options_.cutPeriod < options_.cutPeriod / 2;
    }
    [[nodiscard]] auto isCut(std::size_t entry, const std::string &server) const -> bool
    {
        return isDuringCut() && !options_.areServersDown && entry < options_.cutEntries && (!options_.isPortalOnly || server.starts_with('p'));
    }
    [[nodiscard]] auto areServersDown() const -> bool
    {
        return options_.areServersDown && isDuringCut();
    }

    /// The engine that is listed longest leaves, and another one takes its place.
    auto scheduleLeaving() -> void
    {
        after(options_.leavingInterval, [this]() {
            const auto id = "e" + std::to_string(result_.leftEngines);
            leavingSince_[id] = now_;
            const auto added = makeServer("e" + std::to_string(EngineCount + result_.leftEngines), "engines", 32);
            result_.leftEngines += 1;
            auto leaving = makeServer(id, "engines", 32);
            leaving.isLeaving = true;
            for (std::size_t i = 0; i < options_.entries; ++i) {
                after(drawDelay(options_.longestListDelay), [this, i, leaving, added]() {
                    apply(i, ServersChanged{ .changed = { leaving, added }, .asOf = now_ });
                });
            }
            scheduleLeaving();
        });
    }

    auto drawDelay(Duration longest) -> Duration
    {
        return Duration(static_cast<Duration::rep>(draw(static_cast<double>(longest.count()))));
    }

    auto scheduleCallersEnd(std::size_t entry, RequestId request) -> void
    {
        constexpr Duration LongestPatience = std::chrono::milliseconds(500);
        after(drawDelay(LongestPatience), [this, entry, request]() {
            const auto node = callers_.extract({ entry, request });
            if (!node) {
                return;
            }
            result_.leftCallers += 1;
            apply(entry, CallerGone{ .request = request });
            const auto &path = node.mapped()->path;
            if (path != NoticePath) {
                after(WorkMayLast, [this, caller = node.mapped()]() { countAbandonedWork(caller); });
            }
        });
    }

    auto countAbandonedWork(const std::shared_ptr<CallerRequest> &caller) -> void
    {
        const auto isFor = [&caller](const auto &item) { return item.second.caller == caller && item.second.isExecuting; };
        result_.abandonedWork += std::any_of(running_.begin(), running_.end(), isFor) ? 1 : 0;
    }

    auto scheduleTick() -> void
    {
        after(TickInterval, [this]() {
            for (std::size_t i = 0; i < options_.entries; ++i) {
                apply(i, Tick{});
            }
            scheduleTick();
        });
    }

    auto scheduleArrival() -> void
    {
        const auto pause = std::exponential_distribution<double>(options_.requestsPerSecond)(random_);
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)), [this]() {
            static constexpr std::array Paths = { CheckPath, NoticePath, FetchPath, QuotePath };
            arrive(Paths.at(std::uniform_int_distribution<std::size_t>(0, Paths.size() - 1)(random_)));
            scheduleArrival();
        });
    }

    auto arrive(const std::string &path) -> void
    {
        const auto entry = std::uniform_int_distribution<std::size_t>(0, options_.entries - 1)(random_);
        const auto at = now_ - Start;
        auto caller = std::make_shared<CallerRequest>(CallerRequest{ .path = path, .entry = entry });
        caller->isCounted = at >= options_.cutFrom + StableTime && at < options_.cutUntil;
        result_.requests += 1;
        if (caller->isCounted) {
            shareOf(entry).all += 1;
        }
        const auto arrived = makeArrival(path);
        submit(entry, arrived, caller);
        if (draw(1) < options_.leavingCallers) {
            scheduleCallersEnd(entry, arrived.request);
        }
    }

    auto makeArrival(const std::string &path) -> RequestArrived
    {
        RequestArrived arrived{ .request = RequestId{ ++lastRequest_ }, .host = "quotes.example", .path = path, .key = "key-1" };
        arrived.fingerprint = Fingerprint{ lastRequest_ };
        arrived.prompt = { .tokens = 300, .maxAnswerTokens = 50, .parts = { { .id = 1, .tokens = 100 }, { .id = 1000 + lastRequest_, .tokens = 200 } } };
        return arrived;
    }

    auto submit(std::size_t entry, const RequestArrived &arrived, const std::shared_ptr<CallerRequest> &caller) -> void
    {
        callers_[{ entry, arrived.request }] = caller;
        apply(entry, arrived);
    }

    auto shareOf(std::size_t entry) -> ServedShare &
    {
        return entry < options_.cutEntries ? result_.cut : result_.others;
    }

    auto apply(std::size_t entry, const passthrough::Event &event) -> void
    {
        for (const auto &action : step(*routers_.at(entry), event, now_)) {
            std::visit([this, entry](const auto &each) { execute(entry, each); }, action);
        }
    }

    template <typename Other>
    auto execute(std::size_t /*entry*/, const Other & /*action*/) -> void
    {
    }

    /// The other entry gets the request under an id of its own, and its outcome goes back to the first one.
    auto execute(std::size_t entry, const Forward &forward) -> void
    {
        const AttemptKey key{ entry, forward.attempt };
        const auto &caller = callers_.at({ entry, forward.request });
        countForward(entry, forward.request);
        forwardings_.insert(key);
        if (draw(1) < options_.lostForwards) {
            after(ConnectTimeout, [this, key]() { report(key, AttemptFailed{ .attempt = key.second, .failure = Failure::ConnectFailed }); });
            return;
        }
        auto arrived = makeArrival(caller->path);
        arrived.deadline = forward.remaining;
        arrived.forwardedSends = forward.sends;
        arrived.lastEventId = forward.lastEventId;
        const auto peer = static_cast<std::size_t>(std::stoul(forward.peer.substr(forward.peer.find('-') + 1)));
        origins_[{ peer, arrived.request }] = key;
        after(NetworkDelay, [this, peer, arrived, caller]() { submit(peer, arrived, caller); });
    }
    auto execute(std::size_t entry, const ProbeServer &probe) -> void
    {
        const auto fails = areServersDown() || isCut(entry, probe.server);
        const auto isRefused = areServersDown() || options_.kind == CutKind::RefusingNew;
        after(fails && !isRefused ? ConnectTimeout : 2 * NetworkDelay,
              [this, entry, server = probe.server, fails]() { apply(entry, ServerProbed{ .server = server, .isReachable = !fails }); });
    }
    auto execute(std::size_t entry, const ReachabilityChanged &change) -> void
    {
        for (const auto &server : change.servers) {
            if (!change.isReachable) {
                connections_.erase({ entry, server });
            }
        }
    }

    auto countForward(std::size_t entry, RequestId request) -> void
    {
        const auto at = now_ - Start;
        result_.forwards += 1;
        result_.chains += origins_.contains({ entry, request }) ? 1 : 0;
        result_.forwardsOutsideCut += at < options_.cutFrom || at >= options_.cutUntil + RecoveryTime ? 1 : 0;
    }

    /// Reports an event of a forwarding, unless the entry has given it up.
    auto report(const AttemptKey &key, const passthrough::Event &event) -> void
    {
        if (forwardings_.contains(key)) {
            const auto isEnd = !std::holds_alternative<AttemptStarted>(event) && !std::holds_alternative<AttemptProgress>(event);
            if (isEnd) {
                forwardings_.erase(key);
            }
            apply(key.first, event);
        }
    }

    /// \return the forwarding that the request came from, if it did
    auto takeOrigin(std::size_t entry, RequestId request) -> std::optional<AttemptKey>
    {
        const auto node = origins_.extract({ entry, request });
        return node ? std::optional(node.mapped()) : std::nullopt;
    }

    auto execute(std::size_t entry, const Send &send) -> void
    {
        const AttemptKey key{ entry, send.attempt };
        running_[key] = { .send = send, .caller = callers_.at({ entry, send.request }) };
        countDirectAfterCut(entry);
        const Line line{ entry, send.server };
        if (areServersDown()) {
            after(2 * NetworkDelay, [this, key]() { fail(key, Failure::ConnectFailed); });
        } else if (isCut(entry, send.server) && !hasConnection(line)) {
            const auto isRefused = options_.kind == CutKind::RefusingNew;
            after(isRefused ? 2 * NetworkDelay : ConnectTimeout, [this, key]() { fail(key, Failure::ConnectFailed); });
        } else {
            connections_[line] = now_;
            after(NetworkDelay, [this, key]() { executeOnServer(key); });
        }
    }
    /// Connections that were not used for a while are closed.
    [[nodiscard]] auto hasConnection(const Line &line) const -> bool
    {
        const auto found = connections_.find(line);
        return found != connections_.end() && now_ - found->second < IdleTime;
    }
    auto execute(std::size_t entry, const Cancel &cancel) -> void
    {
        running_.erase({ entry, cancel.attempt });
        const AttemptKey key{ entry, cancel.attempt };
        if (forwardings_.erase(key) == 0) {
            return;
        }
        const auto origin = std::find_if(origins_.begin(), origins_.end(), [&key](const auto &item) { return item.second == key; });
        if (origin != origins_.end()) {
            const auto [peer, request] = origin->first;
            origins_.erase(origin);
            callers_.erase({ peer, request });
            after(NetworkDelay, [this, peer = peer, request = request]() { apply(peer, CallerGone{ .request = request }); });
        }
    }
    auto execute(std::size_t entry, const Deliver &delivered) -> void
    {
        if (const auto origin = takeOrigin(entry, delivered.request)) {
            callers_.erase({ entry, delivered.request });
            after(NetworkDelay,
                  [this, key = *origin, status = delivered.status]() { report(key, AttemptAnswered{ .attempt = key.second, .status = status }); });
            return;
        }
        finish(entry, delivered.request, delivered.status == 200);
    }
    auto execute(std::size_t entry, const Complete &completed) -> void
    {
        if (const auto origin = takeOrigin(entry, completed.request)) {
            callers_.erase({ entry, completed.request });
            after(NetworkDelay, [this, key = *origin]() { report(key, AttemptFinished{ .attempt = key.second }); });
            return;
        }
        finish(entry, completed.request, true);
    }
    auto execute(std::size_t entry, const AbortAnswer &aborted) -> void
    {
        if (const auto origin = takeOrigin(entry, aborted.request)) {
            callers_.erase({ entry, aborted.request });
            after(NetworkDelay,
                  [this, key = *origin]() { report(key, AttemptFailed{ .attempt = key.second, .failure = Failure::BrokenStream, .answerBegun = true }); });
            return;
        }
        finish(entry, aborted.request, false);
    }
    auto execute(std::size_t entry, const Refuse &refusal) -> void
    {
        if (const auto origin = takeOrigin(entry, refusal.request)) {
            callers_.erase({ entry, refusal.request });
            after(NetworkDelay, [this, key = *origin, refusal]() {
                report(key, ForwardRefused{ .attempt = key.second, .reason = refusal.reason, .outcome = refusal.outcome, .status = refusal.status });
            });
            return;
        }
        const auto caller = finish(entry, refusal.request, false);
        result_.falseRefusals += refusal.outcome == Outcome::NotRun && caller && caller->execution.count > 0 ? 1 : 0;
    }

    auto countDirectAfterCut(std::size_t entry) -> void
    {
        result_.directAfterCut += entry < options_.cutEntries && now_ - Start >= options_.cutUntil + RecoveryTime ? 1 : 0;
    }

    auto finish(std::size_t entry, RequestId request, bool isServed) -> std::shared_ptr<CallerRequest>
    {
        const auto node = callers_.extract({ entry, request });
        if (!node) {
            return nullptr;
        }
        const auto &caller = node.mapped();
        result_.answers += 1;
        if (caller->isCounted && isServed) {
            shareOf(entry).served += 1;
        }
        return caller;
    }

    /// Whether nothing of the connection arrives at either end.
    [[nodiscard]] auto isSilent(const AttemptKey &key) const -> bool
    {
        return isCut(key.first, running_.at(key).send.server) && (options_.kind == CutKind::Hanging || options_.kind == CutKind::Resetting);
    }

    auto executeOnServer(const AttemptKey &key) -> void
    {
        if (!running_.contains(key)) {
            return;
        }
        if (isSilent(key)) {
            waitForTimeout(key);
            return;
        }
        auto &running = running_.at(key);
        running.isExecuting = true;
        countLateSend(running.send.server);
        auto &execution = running.caller->execution;
        execution.servers.insert(running.send.server);
        execution.count += 1;
        const auto &path = running.caller->path;
        const auto isRepeatable = path == FetchPath || path == CheckPath;
        result_.repeatedExecutions += !isRepeatable && execution.count > 1 ? 1 : 0;
        result_.excessAttempts += isRepeatable && execution.servers.size() > 2 ? 1 : 0;
        after(WorkTime, [this, key]() { answer(key); });
    }

    auto countLateSend(const std::string &server) -> void
    {
        const auto found = leavingSince_.find(server);
        const auto isLate = found != leavingSince_.end() && now_ - found->second > options_.longestListDelay + ConnectTimeout;
        result_.lateSends += isLate ? 1 : 0;
    }

    auto answer(const AttemptKey &key) -> void
    {
        if (!running_.contains(key)) {
            return;
        }
        if (isSilent(key)) {
            waitForTimeout(key);
            return;
        }
        auto &running = running_.at(key);
        if (!running.send.isStream) {
            running_.erase(key);
            apply(key.first, AttemptStarted{ .attempt = key.second });
            apply(key.first, AttemptAnswered{ .attempt = key.second, .status = 200 });
            return;
        }
        if (running.events == EventsOfStream) {
            running_.erase(key);
            apply(key.first, AttemptFinished{ .attempt = key.second });
            return;
        }
        running.events += 1;
        const auto origin = originOf(key);
        if (origin) {
            reportProgress(*origin);
        }
        if (!std::exchange(running.hasStarted, true)) {
            apply(key.first, AttemptStarted{ .attempt = key.second, .isForwarded = true });
        } else {
            apply(key.first, AttemptProgress{ .attempt = key.second });
        }
        after(EventInterval, [this, key]() { answer(key); });
    }

    [[nodiscard]] auto originOf(const AttemptKey &key) const -> std::optional<AttemptKey>
    {
        const auto found = origins_.find({ key.first, running_.at(key).send.request });
        return found == origins_.end() ? std::nullopt : std::optional(found->second);
    }

    /// An event of a stream reaches the entry that forwarded the request.
    auto reportProgress(const AttemptKey &origin) -> void
    {
        after(NetworkDelay, [this, origin]() {
            report(origin, AttemptStarted{ .attempt = origin.second, .isForwarded = true });
            report(origin, AttemptProgress{ .attempt = origin.second });
        });
    }

    auto waitForTimeout(const AttemptKey &key) -> void
    {
        const auto &running = running_.at(key);
        const auto timeout = running.hasStarted ? running.send.silenceTimeout : running.send.startTimeout;
        if (timeout == Duration::zero()) {
            return; // until its deadline
        }
        after(timeout, [this, key, timeout]() { reportSilence(key, timeout); });
    }

    auto reportSilence(const AttemptKey &key, Duration silentFor) -> void
    {
        const auto found = running_.find(key);
        if (found == running_.end()) {
            return;
        }
        const auto &running = found->second;
        connections_.erase({ key.first, running.send.server });
        after(SilenceReportInterval, [this, key, silentFor]() { reportSilence(key, silentFor + SilenceReportInterval); });
        apply(key.first,
              AttemptSilent{
                  .attempt = key.second,
                  .timeout = running.hasStarted ? Failure::ProgressTimeout : Failure::FirstTokenTimeout,
                  .silentFor = silentFor,
                  .lastEventId = running.events > 0 ? std::to_string(running.events) : "",
              });
    }

    auto fail(const AttemptKey &key, Failure failure) -> void
    {
        const auto node = running_.extract(key);
        if (!node) {
            return;
        }
        const auto &running = node.mapped();
        connections_.erase({ key.first, running.send.server });
        apply(key.first,
              AttemptFailed{
                  .attempt = key.second,
                  .failure = failure,
                  .answerBegun = running.hasStarted,
                  .lastEventId = running.events > 0 ? std::to_string(running.events) : "",
              });
    }

    auto resetConnections() -> void
    {
        std::vector<AttemptKey> broken;
        for (const auto &[key, running] : running_) {
            if (isCut(key.first, running.send.server)) {
                broken.push_back(key);
            }
        }
        std::erase_if(connections_, [this](const auto &item) { return isCut(item.first.first, item.first.second); });
        for (const auto &key : broken) {
            fail(key, running_.at(key).hasStarted ? Failure::BrokenStream : Failure::BrokenBeforeFirstByte);
        }
    }

    CutFleetOptions options_;
    std::mt19937_64 random_;
    std::vector<RouterStatePointer> routers_;
    std::priority_queue<Event> queue_;
    std::map<RequestKey, std::shared_ptr<CallerRequest>> callers_;
    std::map<AttemptKey, Running> running_;
    std::set<AttemptKey> forwardings_;
    std::map<RequestKey, AttemptKey> origins_;      ///< forwarding that a request came from
    std::map<Line, TimePoint> connections_;         ///< when a connection was last used, by entry and server
    std::map<std::string, TimePoint> leavingSince_; ///< by engine
    std::uint64_t lastOrder_ = 0;
    std::uint64_t lastRequest_ = 0;
    CutFleetResult result_;
    TimePoint now_ = Start;
};

} // namespace

auto simulateCutFleet(const CutFleetOptions &options) -> CutFleetResult
{
    return CutFleet(options).run();
}

} // namespace auburnspread::passthrough::tests
