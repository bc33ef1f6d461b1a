#include "core/passthrough/tests/silentfleet.h"

#include "core/passthrough/tests/eventqueue.h"
#include "core/passthrough/tests/world.h"

#include <rapidcheck.h>

#include <map>
#include <set>

namespace auburnspread::passthrough::tests
{

namespace
{

constexpr auto Start = TimePoint(std::chrono::hours(1));
constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration SilenceReportInterval = std::chrono::milliseconds(100);
constexpr Duration FirstEventTime = std::chrono::milliseconds(40);
constexpr Duration EventInterval = std::chrono::milliseconds(60);
constexpr int EventsOfStream = 30;
constexpr Duration StreamTimeout = std::chrono::seconds(5);
constexpr double RetryRatio = 0.2;

class SilentFleet
{
public:
    explicit SilentFleet(const SilentFleetOptions &options)
        : options_(options)
        , router_(makeRouter({ .entry = "entry-1", .failureDomain = "a", .retries = { .ratio = RetryRatio, .allowance = options.retryAllowance } }))
    {
    }

    auto run() -> SilentFleetResult
    {
        auto configuration = makeConfiguration();
        configuration.routes[1].attempts = options_.attempts;
        apply(ConfigurationAdopted{ configuration });
        std::vector<Server> servers;
        for (std::size_t i = 0; i < options_.servers; ++i) {
            servers.push_back(makeServer(std::to_string(i), "engines", 64));
        }
        apply(ServersListed{ .servers = servers, .asOf = Start });
        queue_.every(TickInterval, [this]() {
            apply(ConfigurationConfirmed{ .asOf = queue_.now() });
            apply(Tick{});
        });
        queue_.every(options_.arrivalInterval, [this]() { arrive(); });
        queue_.runUntil(Start + options_.length + 2 * StreamTimeout);
        result_.unanswered = static_cast<std::uint32_t>(requests_.size());
        return result_;
    }

private:
    struct Running {
        RequestId request{};
        std::size_t server = 0;
        int nextEvent = 1;
        bool hasStarted = false;
        TimePoint lastEventAt;
        Duration startTimeout{};
        Duration silenceTimeout{};
    };
    struct Caller {
        TimePoint deadline;
        TimePoint lastEventAt;
        int events = 0;
        std::set<std::size_t> servers;
        Duration longestGap{};
    };

    [[nodiscard]] auto silenceOf(std::size_t server, TimePoint at) const -> const Silence *
    {
        for (const auto &silence : options_.silences) {
            if (silence.server == server && at >= Start + silence.from && (!silence.until || at < Start + *silence.until)) {
                return &silence;
            }
        }
        return nullptr;
    }

    auto arrive() -> void
    {
        if (queue_.now() >= Start + options_.length) {
            return;
        }
        RequestArrived arrived{ .request = RequestId{ ++lastRequest_ }, .host = "quotes.example", .path = CheckPath, .key = "key-1" };
        arrived.fingerprint = Fingerprint{ lastRequest_ };
        arrived.prompt = { .tokens = 100, .maxAnswerTokens = 50, .parts = { { .id = lastRequest_, .tokens = 100 } } };
        requests_[arrived.request] = { .deadline = queue_.now() + StreamTimeout };
        apply(arrived);
    }

    auto apply(const Event &event) -> void
    {
        for (const auto &action : step(*router_, event, queue_.now())) {
            std::visit([this](const auto &each) { execute(each); }, action);
        }
    }

    template <typename Other>
    auto execute(const Other & /*action*/) -> void
    {
    }

    auto execute(const Send &send) -> void
    {
        auto &caller = requests_.at(send.request);
        const auto server = static_cast<std::size_t>(std::stoul(send.server));
        caller.servers.insert(server);
        result_.excessAttempts += caller.servers.size() > options_.attempts ? 1 : 0;
        countSend(send.isRepeat);
        const auto next = send.lastEventId.empty() ? 1 : std::stoi(send.lastEventId) + 1;
        running_[send.attempt] = { .request = send.request,
                                   .server = server,
                                   .nextEvent = next,
                                   .lastEventAt = queue_.now(),
                                   .startTimeout = send.startTimeout,
                                   .silenceTimeout = send.silenceTimeout };
        queue_.after(FirstEventTime, [this, id = send.attempt]() { writeEvent(id); });
        watch(send.attempt, send.startTimeout);
    }

    /// All entries share the budget, and this one is the only entry: it may use what is allowed to all.
    auto countSend(bool isRepeat) -> void
    {
        (isRepeat ? repeats_ : firstSends_) += 1;
        result_.retriesBeyondBudget += repeats_ > RetryRatio * firstSends_ + options_.retryAllowance ? 1 : 0;
    }

    auto execute(const Cancel &cancel) -> void
    {
        running_.erase(cancel.attempt);
    }

    auto execute(const Complete &complete) -> void
    {
        const auto &caller = requests_.at(complete.request);
        result_.completed += 1;
        result_.missingEvents += caller.events == EventsOfStream ? 0 : 1;
        result_.movedStreams += caller.servers.size() > 1 ? 1 : 0;
        result_.longestGap = std::max(result_.longestGap, caller.longestGap);
        requests_.erase(complete.request);
    }

    auto execute(const AbortAnswer &abort) -> void
    {
        end(abort.request);
    }

    auto execute(const Refuse &refuse) -> void
    {
        end(refuse.request);
    }

    /// An engine that has ended none of its runs goes on, unless it is gone.
    auto end(RequestId request) -> void
    {
        const auto &caller = requests_.at(request);
        const auto isSound = [&](std::size_t server) {
            const auto *silence = silenceOf(server, queue_.now());
            return silence == nullptr || (silence->until && Start + *silence->until < caller.deadline);
        };
        const auto hadTime = queue_.now() < caller.deadline;
        result_.brokenOff += 1;
        result_.brokenOffWhileSound += hadTime && std::any_of(caller.servers.begin(), caller.servers.end(), isSound) ? 1 : 0;
        requests_.erase(request);
    }

    auto writeEvent(AttemptId id) -> void
    {
        const auto found = running_.find(id);
        if (found == running_.end()) {
            return;
        }
        auto &running = found->second;
        if (const auto *silence = silenceOf(running.server, queue_.now())) {
            if (silence->until) {
                queue_.after(Start + *silence->until - queue_.now(), [this, id]() { writeEvent(id); });
            }
            return;
        }
        if (running.nextEvent > EventsOfStream) {
            running_.erase(found);
            apply(AttemptFinished{ .attempt = id });
            return;
        }
        const auto request = running.request;
        const auto number = running.nextEvent++;
        running.lastEventAt = queue_.now();
        if (!std::exchange(running.hasStarted, true)) {
            apply(AttemptStarted{ .attempt = id, .isForwarded = true });
        } else {
            apply(AttemptProgress{ .attempt = id });
        }
        relay(id, request, number);
        queue_.after(EventInterval, [this, id]() { writeEvent(id); });
        watch(id, running_.contains(id) ? running_.at(id).silenceTimeout : Duration::zero());
    }

    auto relay(AttemptId id, RequestId request, int number) -> void
    {
        auto &caller = requests_.at(request);
        result_.repeatedEvents += number <= caller.events ? 1 : 0;
        result_.missingEvents += number > caller.events + 1 ? 1 : 0;
        if (caller.events > 0) {
            caller.longestGap = std::max(caller.longestGap, queue_.now() - caller.lastEventAt);
        }
        caller.events = number;
        caller.lastEventAt = queue_.now();
        for (const auto &[other, running] : running_) {
            result_.workedOnTwice += other != id && running.request == request ? 1 : 0;
        }
    }

    /// Reports the attempt as silent if nothing comes within \p timeout, and again while the silence lasts.
    auto watch(AttemptId id, Duration timeout) -> void
    {
        const auto found = running_.find(id);
        if (timeout == Duration::zero() || found == running_.end()) {
            return;
        }
        queue_.after(timeout, [this, id, since = found->second.lastEventAt]() { reportSilence(id, since); });
    }

    auto reportSilence(AttemptId id, TimePoint since) -> void
    {
        const auto found = running_.find(id);
        if (found == running_.end() || found->second.lastEventAt != since) {
            return;
        }
        const auto &running = found->second;
        queue_.after(SilenceReportInterval, [this, id, since]() { reportSilence(id, since); });
        apply(AttemptSilent{
            .attempt = id,
            .timeout = running.hasStarted ? Failure::ProgressTimeout : Failure::FirstTokenTimeout,
            .silentFor = queue_.now() - since,
            .lastEventId = running.nextEvent > 1 ? std::to_string(running.nextEvent - 1) : "",
        });
    }

    SilentFleetOptions options_;
    RouterStatePointer router_;
    EventQueue queue_{ Start };
    std::map<RequestId, Caller> requests_;
    std::map<AttemptId, Running> running_;
    std::uint64_t lastRequest_ = 0;
    std::uint32_t firstSends_ = 0;
    std::uint32_t repeats_ = 0;
    SilentFleetResult result_;
};

} // namespace

auto drawSilentFleet() -> SilentFleetOptions
{
    SilentFleetOptions options;
    options.servers = *rc::gen::inRange<std::size_t>(1, 6);
    options.attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
    options.retryAllowance = *rc::gen::element(0.0, 2.0, 50.0);
    for (auto left = *rc::gen::inRange(0, 12); left > 0; --left) {
        Silence silence{ .server = *rc::gen::inRange<std::size_t>(0, options.servers) };
        silence.from = std::chrono::milliseconds(*rc::gen::inRange(0, 12'000));
        if (*rc::gen::inRange(0, 5) > 0) {
            silence.until = silence.from + std::chrono::milliseconds(*rc::gen::inRange(200, 3000));
        }
        options.silences.push_back(silence);
    }
    return options;
}

auto runSilentFleet(const SilentFleetOptions &options) -> SilentFleetResult
{
    return SilentFleet(options).run();
}

} // namespace auburnspread::passthrough::tests
