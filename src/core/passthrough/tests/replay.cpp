#include "core/passthrough/tests/replay.h"

#include "core/fleet/hubs.h"
#include "core/passthrough/internal/milliseconds.h"
#include "core/passthrough/peerreports.h"
#include "core/passthrough/tests/world.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace auburnspread::passthrough::tests
{

namespace
{

constexpr TimePoint Start(std::chrono::hours(1));
constexpr Duration OneWay = std::chrono::milliseconds(1);
constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration LongTarget = std::chrono::milliseconds(600);
constexpr Duration ShortTarget = std::chrono::milliseconds(300);
constexpr Duration LongLongestPause = std::chrono::milliseconds(400); ///< between events of a long prompt's answer
constexpr Duration ShortLongestPause = std::chrono::milliseconds(250);
constexpr Duration CallerDeadline = std::chrono::seconds(5);

/// \name Engines as Highveld's larger fleet has them
/// @{
constexpr double StepMs = 4.7;
constexpr double StepMsPerRunning = 0.05;
constexpr double TokensPerMs = 41; ///< within a step; 37 with the steps themselves
constexpr std::uint32_t ChunkTokens = 2048;
constexpr std::uint32_t TokensPerEvent = 6;
constexpr std::uint64_t CacheTokens = 292'000;
constexpr double FetchTokensPerMs = 176;
constexpr Duration FetchSetup = std::chrono::milliseconds(3);
/// @}

constexpr std::uint32_t DocumentTokens = 2520;
constexpr std::uint32_t SessionTokens = 3780;
constexpr std::uint32_t OwnTokens = 2890;
constexpr std::uint32_t LongAnswerTokens = 20;
constexpr std::uint32_t LongAnnouncedTokens = 54;
constexpr std::uint32_t ShortSharedTokens = 198;
constexpr std::uint32_t ShortOwnTokens = 628;
constexpr std::uint32_t ShortAnswerTokens = 294;
constexpr std::uint64_t Documents = 4;
constexpr std::size_t MostDirectEntries = 13; ///< that tell each other themselves
constexpr std::int64_t ReportsPerSum = 2;
constexpr Duration BeliefInterval = std::chrono::milliseconds(500);

using detail::toDuration;

/// One caller's request with its tries.
struct Ask {
    bool isLong = false;
    Prompt prompt;
    TimePoint firstTry;
    bool cameBack = false;
    bool isCounted = false;
    bool isLate = false;
};

/// A prompt at an engine, read or being read.
struct Work {
    std::size_t entry = 0;
    AttemptId attempt{};
    std::size_t ask = 0;
    std::uint32_t unread = 0;
    std::uint32_t answerLeft = 0;
    std::uint32_t sinceEvent = 0;
    TimePoint lastEvent;
};

struct Engine {
    std::deque<Work> prompts;
    std::vector<Work> running;
    std::map<std::uint64_t, std::pair<std::uint32_t, TimePoint>> cache; ///< tokens and last use, by part
    std::uint64_t cachedTokens = 0;
    bool isStepping = false;
};

class Replay
{
public:
    explicit Replay(const ReplayOptions &options)
        : options_(options)
        , random_(options.load.seed)
        , engines_(options.load.engines)
    {
        addRouters();
    }

    auto run() -> ReplayResult
    {
        const auto end = Start + options_.load.length;
        scheduleAsk(true);
        scheduleAsk(false);
        tick();
        report();
        while (!queue_.empty() && queue_.top().at < end + options_.rest) {
            auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.action();
        }
        return result_;
    }

private:
    struct Planned {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        auto operator<(const Planned &other) const -> bool
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    auto after(Duration delay, std::function<void()> action) -> void
    {
        queue_.push({ now_ + delay, ++lastOrder_, std::move(action) });
    }

    auto addRouters() -> void
    {
        auto configuration = makeConfiguration();
        configuration.routes[0].target = LongTarget;
        configuration.routes[1].target = ShortTarget;
        configuration.services[0].fetchTokensPerMs = FetchTokensPerMs;
        std::vector<Server> servers;
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            servers.push_back(makeServer("engine-" + std::to_string(i), "engines", 32));
            servers.back().address = "127.0.0.1:" + std::to_string(i + 1);
            numbers_[servers.back().id] = i;
            addresses_[servers.back().address] = i;
        }
        for (std::size_t i = 0; i < options_.load.entries; ++i) {
            entries_.push_back({
                .name = "entry-" + std::to_string(i),
                .peerAddress = std::to_string(i),
                .failureDomain = domainOf(i),
                .strength = static_cast<std::uint32_t>(options_.load.entries - i),
            });
            routers_.push_back(makeRouter({ .entry = entries_.back().name, .failureDomain = domainOf(i) }));
            step(*routers_.back(), ConfigurationAdopted{ configuration }, now_);
            step(*routers_.back(), ConfigurationConfirmed{ .asOf = now_ + std::chrono::hours(1) }, now_);
            step(*routers_.back(), ServersListed{ .servers = servers, .asOf = now_ }, now_);
            step(*routers_.back(), EntriesCounted{ .entries = static_cast<std::uint32_t>(options_.load.entries) }, now_);
        }
    }

    [[nodiscard]] auto domainOf(std::size_t entry) const -> std::string
    {
        return std::string(1, static_cast<char>('a' + entry % options_.reports.failureDomains));
    }

    [[nodiscard]] auto isDead(std::size_t entry) const -> bool
    {
        return isBurst() && entry < options_.reports.lostHubs;
    }

    /// The entries that this one knows.
    [[nodiscard]] auto knownTo(std::size_t entry) const -> std::vector<fleet::EntryRecord>
    {
        constexpr std::size_t Third = 3;
        auto known = entries_;
        if (options_.reports.listsDiffer && isBurst() && entry % Third == 0) {
            std::erase_if(known, [](const fleet::EntryRecord &each) { return std::stoul(each.peerAddress) % Third == 0; });
        }
        return known;
    }

    auto drawBelow(std::size_t end) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
    }

    [[nodiscard]] auto isBurst() const -> bool
    {
        return now_ >= Start + options_.load.length / 2;
    }

    auto scheduleAsk(bool isLong) -> void
    {
        const auto longRate = options_.load.longPromptsPerSecond * (isBurst() ? options_.load.burst : 1);
        const auto rate = isLong ? longRate : options_.load.shortPromptsPerSecond;
        const auto gap = std::exponential_distribution<double>(rate)(random_);
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this, isLong]() {
            if (now_ < Start + options_.load.length) {
                ask(isLong);
                scheduleAsk(isLong);
            }
        });
    }

    auto makePrompt(bool isLong) -> Prompt
    {
        const auto own = PromptPart{ .id = ++lastOwnPart_, .tokens = isLong ? OwnTokens : ShortOwnTokens };
        if (!isLong) {
            return { .tokens = ShortSharedTokens + ShortOwnTokens,
                     .answerTokens = ShortAnswerTokens,
                     .parts = { { .id = 1, .tokens = ShortSharedTokens }, own } };
        }
        constexpr std::uint64_t FirstDocument = 10;
        constexpr std::uint64_t FirstSession = 100;
        const auto session = drawBelow(options_.load.sessions);
        return {
            .tokens = DocumentTokens + SessionTokens + OwnTokens,
            .answerTokens = LongAnnouncedTokens,
            .parts = { { .id = FirstDocument + session % Documents, .tokens = DocumentTokens }, { .id = FirstSession + session, .tokens = SessionTokens }, own }
        };
    }

    auto ask(bool isLong) -> void
    {
        asks_.push_back({ .isLong = isLong, .prompt = makePrompt(isLong), .firstTry = now_, .isCounted = isBurst() });
        auto &served = servedOf(asks_.back());
        served.asked += asks_.back().isCounted ? 1 : 0;
        arrive(asks_.size() - 1);
    }

    auto arrive(std::size_t number) -> void
    {
        const auto &ask = asks_.at(number);
        auto entry = drawBelow(routers_.size());
        while (isDead(entry)) {
            entry = drawBelow(routers_.size());
        }
        const auto id = RequestId{ ++lastRequest_ };
        RequestArrived arrived{ .request = id, .host = "quotes.example", .path = ask.isLong ? QuotePath : CheckPath, .key = "key-1" };
        arrived.deadline = CallerDeadline - (now_ - ask.firstTry);
        arrived.prompt = ask.prompt;
        arrived.fingerprint = Fingerprint{ lastRequest_ };
        asked_[id] = number;
        apply(entry, arrived);
    }

    auto servedOf(const Ask &ask) -> Served &
    {
        return ask.isLong ? result_.longPrompts : result_.shortPrompts;
    }

    auto apply(std::size_t entry, const Event &event) -> void
    {
        if (isDead(entry)) {
            return;
        }
        for (const auto &action : step(*routers_.at(entry), event, now_)) {
            if (const auto *send = std::get_if<Send>(&action)) {
                const auto engine = numbers_.at(send->server);
                noteBelief(*send, engine, entry);
                countAttempt(engine);
                tellSoon(entry);
                const Work work{ .entry = entry, .attempt = send->attempt, .ask = asked_.at(send->request) };
                const auto fetched = send->fetchFrom.empty() ? Duration::zero() : fetch(asks_.at(work.ask).prompt, addresses_.at(send->fetchFrom), engine);
                after(OneWay + fetched, [this, engine, work]() { enter(engine, work); });
            } else if (std::holds_alternative<Deliver>(action)) {
                result_.attempts.requestsLost += 1; // only errors are answered whole here
            } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
                takeRefusal(asked_.at(refuse->request), *refuse);
            }
        }
    }

    auto noteBelief(const Send &send, std::size_t engine, std::size_t entry) -> void
    {
        if (asks_.at(asked_.at(send.request)).isLong) {
            const auto place = static_cast<std::size_t>((now_ - Start) / BeliefInterval);
            result_.beliefs.resize(std::max(result_.beliefs.size(), place + 1));
            result_.beliefs[place].believed += send.requestsBefore;
            const auto &running = inFlight_[engine];
            result_.beliefs[place].true_
                += static_cast<std::uint64_t>(std::count_if(running.begin(), running.end(), [this](const auto &item) { return !isDead(item.second); }));
        }
        inFlight_[engine][{ entry, send.attempt }] = entry;
    }

    [[nodiscard]] auto isFailing(std::size_t engine) const -> bool
    {
        return isBurst() && engine < options_.engines.failing;
    }

    auto countAttempt(std::size_t engine) -> void
    {
        constexpr Duration Learning = std::chrono::seconds(1);
        if (now_ >= Start + options_.load.length / 2 + Learning) {
            result_.attempts.all += 1;
            result_.attempts.onFailing += isFailing(engine) ? 1 : 0;
        }
    }

    auto fail(std::size_t number, const Work &work) -> void
    {
        constexpr Duration ErrorTime = std::chrono::milliseconds(4);
        inFlight_[number].erase({ work.entry, work.attempt });
        result_.attempts.failed += 1;
        after(ErrorTime, [this, work]() { apply(work.entry, AttemptAnswered{ .attempt = work.attempt, .status = 500 }); });
    }

    auto takeRefusal(std::size_t number, const Refuse &refusal) -> void
    {
        auto &ask = asks_.at(number);
        if (std::exchange(ask.cameBack, true)) {
            servedOf(ask).refused += ask.isCounted ? 1 : 0;
            return;
        }
        after(refusal.retryAfter.value_or(Duration::zero()) + 2 * OneWay, [this, number]() { arrive(number); });
    }

    /// Copies what the source keeps of the prompt and the engine lacks. \return the time that it takes
    auto fetch(const Prompt &prompt, std::size_t source, std::size_t engine) -> Duration
    {
        auto copied = prompt;
        std::uint32_t tokens = 0;
        for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
            if (!engines_.at(source).cache.contains(prompt.parts[i].id)) {
                copied.parts.resize(i + 1);
                break;
            }
            tokens += engines_.at(engine).cache.contains(prompt.parts[i].id) ? 0 : prompt.parts[i].tokens;
        }
        remember(engines_.at(engine), copied);
        result_.tokensFetched += tokens;
        return FetchSetup + toDuration(tokens / FetchTokensPerMs);
    }

    auto enter(std::size_t number, Work work) -> void
    {
        if (isFailing(number)) {
            fail(number, work);
            return;
        }
        auto &engine = engines_.at(number);
        const auto &prompt = asks_.at(work.ask).prompt;
        work.unread = prompt.tokens;
        for (const auto &part : prompt.parts) {
            const auto found = engine.cache.find(part.id);
            if (found == engine.cache.end()) {
                break;
            }
            found->second.second = now_;
            work.unread -= part.tokens;
        }
        work.answerLeft = asks_.at(work.ask).isLong ? LongAnswerTokens : ShortAnswerTokens;
        const auto own = prompt.parts.back().tokens;
        result_.tokensRead += work.unread;
        result_.sharedTokensReadAgain += work.unread - std::min(work.unread, own);
        engine.prompts.push_back(work);
        if (!std::exchange(engine.isStepping, true)) {
            beginStep(number);
        }
    }

    auto beginStep(std::size_t number) -> void
    {
        auto &engine = engines_.at(number);
        auto room = ChunkTokens;
        std::size_t readWhole = 0;
        for (auto &prompt : engine.prompts) {
            const auto part = std::min(room, prompt.unread);
            prompt.unread -= part;
            room -= part;
            readWhole += prompt.unread == 0 ? 1 : 0;
            if (room == 0) {
                break;
            }
        }
        const auto reading = (ChunkTokens - room) / TokensPerMs;
        after(toDuration(StepMs + StepMsPerRunning * static_cast<double>(engine.running.size()) + reading),
              [this, number, readWhole]() { endStep(number, readWhole); });
    }

    auto endStep(std::size_t number, std::size_t readWhole) -> void
    {
        auto &engine = engines_.at(number);
        for (std::size_t i = 0; i < readWhole; ++i) {
            remember(engine, asks_.at(engine.prompts.front().ask).prompt);
            engine.running.push_back(engine.prompts.front());
            engine.prompts.pop_front();
        }
        for (auto &work : engine.running) {
            giveToken(work);
        }
        for (const auto &work : engine.running) {
            if (work.answerLeft == 0) {
                inFlight_[number].erase({ work.entry, work.attempt });
            }
        }
        std::erase_if(engine.running, [](const Work &work) { return work.answerLeft == 0; });
        engine.isStepping = !engine.running.empty() || !engine.prompts.empty();
        if (engine.isStepping) {
            beginStep(number);
        }
    }

    auto giveToken(Work &work) -> void
    {
        auto &ask = asks_.at(work.ask);
        const auto isFirst = work.lastEvent == TimePoint();
        work.answerLeft -= 1;
        work.sinceEvent += 1;
        if (isFirst) {
            ask.isLate = now_ + OneWay - ask.firstTry > (ask.isLong ? LongTarget : ShortTarget);
            after(OneWay, [this, work]() { apply(work.entry, AttemptStarted{ .attempt = work.attempt, .goesToCaller = true }); });
        } else if (work.sinceEvent == TokensPerEvent) {
            ask.isLate = ask.isLate || now_ - work.lastEvent > (ask.isLong ? LongLongestPause : ShortLongestPause);
            after(OneWay, [this, work]() { apply(work.entry, AttemptProgress{ .attempt = work.attempt }); });
        }
        if (isFirst || work.sinceEvent == TokensPerEvent) {
            work.sinceEvent = 0;
            work.lastEvent = now_;
        }
        if (work.answerLeft == 0) {
            auto &served = servedOf(ask);
            (ask.isLate ? served.late : served.onTime) += ask.isCounted ? 1 : 0;
            after(OneWay, [this, work]() { apply(work.entry, AttemptFinished{ .attempt = work.attempt }); });
        }
    }

    auto remember(Engine &engine, const Prompt &prompt) const -> void
    {
        for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
            const auto &part = prompt.parts[i];
            if (engine.cache.insert_or_assign(part.id, std::pair(part.tokens, now_)).second) {
                engine.cachedTokens += part.tokens;
            }
        }
        while (engine.cachedTokens > CacheTokens) {
            const auto oldest
                = std::min_element(engine.cache.begin(), engine.cache.end(), [](const auto &a, const auto &b) { return a.second.second < b.second.second; });
            engine.cachedTokens -= oldest->second.first;
            engine.cache.erase(oldest);
        }
    }

    auto tick() -> void
    {
        for (std::size_t entry = 0; entry < routers_.size(); ++entry) {
            apply(entry, Tick{});
        }
        after(TickInterval, [this]() { tick(); });
    }

    /// Each entry tells the hubs of its failure domain, or all others, each at a moment of its own.
    auto report() -> void
    {
        for (std::size_t entry = 0; entry < routers_.size(); ++entry) {
            constexpr std::size_t Step = 618; // so that neighbours, which may be hubs together, lie far apart
            constexpr std::size_t Phases = 1000;
            const auto phase = options_.reportInterval * static_cast<std::int64_t>(entry * Step % Phases) / static_cast<std::int64_t>(Phases);
            after(phase, [this, entry]() { tell(entry); });
        }
        turn_ += 1;
        after(options_.reportInterval, [this]() { report(); });
    }

    auto tellSoon(std::size_t entry) -> void
    {
        constexpr Duration Gathering = std::chrono::milliseconds(2);
        auto &due = tellsAt_[entry];
        if (due <= now_) {
            due = std::max(now_ + Gathering, toldAt_[entry] + LeastReportInterval);
            after(due - now_, [this, entry]() { tellReport(entry); });
        }
    }

    auto tell(std::size_t entry) -> void
    {
        tellReport(entry);
        const auto &hubs = chosenHubs_[entry];
        const auto own = std::find(hubs.begin(), hubs.end(), entries_.at(entry));
        if (own != hubs.end() && !isDead(entry)) {
            tellSums(entry, knownTo(entry), own == hubs.begin());
        }
    }

    auto tellReport(std::size_t entry) -> void
    {
        if (isDead(entry)) {
            return;
        }
        const auto known = knownTo(entry);
        const auto &self = entries_.at(entry);
        const auto told = takeReport(*routers_.at(entry));
        toldAt_[entry] = now_;
        if (entries_.size() <= MostDirectEntries) {
            sendTo(known, self, told);
            return;
        }
        auto &hubs = chosenHubs_[entry];
        hubs = fleet::chooseHubs(hubs_[entry], known, self, now_);
        sendTo(hubs, self, told);
    }

    auto tellSums(std::size_t entry, const std::vector<fleet::EntryRecord> &known, bool isFirst) -> void
    {
        const auto &self = entries_.at(entry);
        if (isFirst) {
            sendTo(fleet::hubsOfOtherDomains(known, self, static_cast<std::size_t>(turn_)), self, takeSum(*routers_.at(entry), ReportScope::FailureDomain));
        }
        std::vector<fleet::EntryRecord> members;
        std::int64_t number = 0;
        for (const auto &each : known) {
            if (each.failureDomain == self.failureDomain && (number++ + (isFirst ? 0 : 1)) % ReportsPerSum == turn_ % ReportsPerSum) {
                members.push_back(each);
            }
        }
        sendTo(members, self, takeSum(*routers_.at(entry), ReportScope::Fleet));
    }

    auto sendTo(const std::vector<fleet::EntryRecord> &receivers, const fleet::EntryRecord &self, PeerReported report) -> void
    {
        const auto told = std::make_shared<const PeerReported>(std::move(report));
        for (const auto &receiver : receivers) {
            const auto isLost = std::uniform_real_distribution<double>(0, 1)(datagrams_) < options_.reports.lostDatagrams;
            if (receiver.name != self.name && !isLost) {
                after(OneWay, [this, entry = std::stoul(receiver.peerAddress), told]() { hear(entry, *told); });
            }
        }
    }

    auto hear(std::size_t entry, const PeerReported &told) -> void
    {
        const auto &self = entries_.at(entry);
        const auto &hubs = chosenHubs_[entry];
        if (told.scope == ReportScope::Fleet) {
            fleet::noteSum(hubs_[entry], told.entry, now_);
        }
        const auto isHub = std::find(hubs.begin(), hubs.end(), self) != hubs.end();
        const auto isForHubs = told.scope == ReportScope::FailureDomain || (told.scope == ReportScope::Entry && !isHub);
        if (isForHubs && !told.isRelayed && !hubs.empty()) {
            auto relayed = told;
            relayed.isRelayed = true;
            sendTo(hubs, self, relayed);
        }
        apply(entry, told);
    }

    ReplayOptions options_;
    std::mt19937_64 random_;
    TimePoint now_ = Start;
    std::vector<Engine> engines_;
    std::vector<RouterStatePointer> routers_;
    std::map<std::string, std::size_t> numbers_;
    std::map<std::string, std::size_t> addresses_;
    std::priority_queue<Planned> queue_;
    std::uint64_t lastOrder_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastOwnPart_ = 1'000'000;
    std::vector<Ask> asks_;
    std::map<RequestId, std::size_t> asked_;
    std::vector<fleet::EntryRecord> entries_;
    std::map<std::size_t, fleet::Hubs> hubs_; ///< as each entry sees them
    std::map<std::size_t, std::vector<fleet::EntryRecord>> chosenHubs_;
    std::map<std::size_t, TimePoint> toldAt_;
    std::map<std::size_t, TimePoint> tellsAt_; ///< the next report that is due because of a request
    std::mt19937_64 datagrams_{ 7 };
    std::int64_t turn_ = 0;
    std::map<std::size_t, std::map<std::pair<std::size_t, AttemptId>, std::size_t>> inFlight_; ///< entry of each attempt, by engine
    ReplayResult result_;
};

} // namespace

auto replay(const ReplayOptions &options) -> ReplayResult
{
    return Replay(options).run();
}

} // namespace auburnspread::passthrough::tests
