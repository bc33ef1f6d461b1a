#include "core/balancing/tests/sharingsimulation.h"

#include "core/balancing/tests/deployment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <numeric>
#include <queue>
#include <random>
#include <utility>

namespace auburnspread::balancing::tests
{

namespace
{

constexpr Duration TimeStep = std::chrono::milliseconds(1);
constexpr Duration SampleInterval = std::chrono::milliseconds(10);
constexpr Duration WarmUp = std::chrono::seconds(10);
constexpr Duration BurstTurn = std::chrono::seconds(5);
constexpr Duration OutageStart = std::chrono::seconds(60);
constexpr Duration OwnerOutage = std::chrono::seconds(3);
constexpr double BurstPart = 2.0 / 3.0;

struct SimulatedRequest {
    TimePoint arrivedAt{};
    Duration service{};
};

struct SimulatedEntry {
    StatePointer state;
    std::mt19937_64 demand; ///< draws arrivals and service times: the same for every way
    std::deque<SimulatedRequest> waiting;
    std::vector<std::uint32_t> inFlight;         ///< by server
    std::vector<std::uint32_t> reportedInFlight; ///< of all entries together, as last heard
    TimePoint nextArrival{};
    TimePoint nextReport{};
};

struct Ending {
    TimePoint at{};
    std::size_t entry = 0;
    std::uint32_t server = 0;
    std::uint64_t attempt = 0;

    auto operator>(const Ending &other) const -> bool
    {
        return std::pair(at, attempt) > std::pair(other.at, other.attempt);
    }
};

struct Letter {
    TimePoint at{};
    UseReport report;
};

auto drawExponential(std::mt19937_64 &random, double mean) -> Duration
{
    return Duration(static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean)(random)) + 1);
}

class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options)
        : options_(options)
        , random_(options.seed)
        , total_(options.servers)
        , totalAtReport_(options.servers)
    {
        const auto names = entryNames(options.entries);
        const DeploymentOptions deployment{ .servers = options.servers, .concurrency = options.concurrency };
        for (std::size_t number = 0; number < options.entries; ++number) {
            auto &entry = entries_.emplace_back();
            entry.state = makeState({ .entry = names[number], .failureDomain = "domain-" + std::to_string(number % 3), .seed = options.seed });
            adopt(*entry.state, makeDocument(deployment), Start);
            noteCell(*entry.state, names, Start);
            entry.inFlight.resize(options.servers);
            entry.reportedInFlight.resize(options.servers);
            entry.nextReport = Start + (options.reportInterval * number / options.entries);
            entry.demand.seed(options.seed * options.entries + number);
            entry.nextArrival = Start + drawArrival(number);
        }
    }

    auto run() -> SimulationResult
    {
        for (; now_ < Start + options_.length; now_ += TimeStep) {
            endRequests();
            deliver();
            for (std::size_t number = 0; number < entries_.size(); ++number) {
                arrive(number);
                report(number);
                dispatchWaiting(number);
            }
            sample();
        }
        return summarize();
    }

private:
    auto partOf(std::size_t number) const -> double
    {
        if (options_.load == Load::Even) {
            return 1.0 / options_.entries;
        }
        const auto turn = options_.load == Load::MovingBurst ? static_cast<std::size_t>((now_ - Start) / BurstTurn) : 0;
        return turn % options_.entries == number ? BurstPart : (1 - BurstPart) / (options_.entries - 1);
    }

    auto drawArrival(std::size_t number) -> Duration
    {
        const double slots = options_.offered * options_.servers * options_.concurrency * partOf(number);
        return drawExponential(entries_[number].demand, static_cast<double>(options_.serviceTime.count()) / slots);
    }

    auto arrive(std::size_t number) -> void
    {
        auto &entry = entries_[number];
        while (entry.nextArrival <= now_) {
            const Duration service = drawExponential(entry.demand, static_cast<double>(options_.serviceTime.count()));
            entry.waiting.push_back({ .arrivedAt = entry.nextArrival, .service = service });
            entry.nextArrival += drawArrival(number);
        }
    }

    auto report(std::size_t number) -> void
    {
        auto &entry = entries_[number];
        advance(*entry.state, now_);
        if (now_ < entry.nextReport) {
            return;
        }
        entry.nextReport += options_.reportInterval;
        const Demand demand{ .pool = demandName(Quote), .waiting = static_cast<std::uint32_t>(entry.waiting.size()) };
        letters_.push_back({ .at = now_ + options_.delay, .report = takeReport(*entry.state, std::span(&demand, 1), now_) });
        entry.reportedInFlight = total_;
    }

    auto deliver() -> void
    {
        while (!letters_.empty() && letters_.front().at <= now_) {
            for (auto &entry : entries_) {
                notePeerReport(*entry.state, letters_.front().report, now_);
            }
            letters_.pop_front();
        }
    }

    auto drawServer() -> std::uint32_t
    {
        return std::uniform_int_distribution<std::uint32_t>(0, options_.servers - 1)(random_);
    }

    auto chooseLocally(const SimulatedEntry &entry, std::uint32_t bound) -> std::optional<std::uint32_t>
    {
        const std::uint32_t first = drawServer();
        const std::uint32_t second = drawServer();
        const std::uint32_t better = entry.inFlight[second] < entry.inFlight[first] ? second : first;
        return entry.inFlight[better] < bound ? std::optional(better) : std::nullopt;
    }

    auto chooseLeast(const std::vector<std::uint32_t> &inFlight) const -> std::optional<std::uint32_t>
    {
        const auto least = std::min_element(inFlight.begin(), inFlight.end());
        return *least < options_.concurrency ? std::optional(static_cast<std::uint32_t>(least - inFlight.begin())) : std::nullopt;
    }

    auto chooseGranted() const -> std::optional<std::uint32_t>
    {
        const bool lost = now_ >= Start + OutageStart && now_ < Start + OutageStart + OwnerOutage;
        return lost ? std::nullopt : chooseLeast(total_);
    }

    auto choose(SimulatedEntry &entry) -> std::optional<std::uint32_t>
    {
        switch (options_.way) {
        case Way::LocalTwoChoices:
            return chooseLocally(entry, options_.concurrency);
        case Way::StaticSplit:
            return chooseLocally(entry, std::max(1U, options_.concurrency / options_.entries));
        case Way::LeastReported:
            return chooseLeast(entry.reportedInFlight);
        case Way::Owner:
            return chooseGranted();
        case Way::Exchanged:
            break;
        }
        const auto server = chooseServer(*entry.state, Quote, now_);
        return server ? std::optional(static_cast<std::uint32_t>(*server)) : std::nullopt;
    }

    auto dispatchWaiting(std::size_t number) -> void
    {
        auto &entry = entries_[number];
        while (!entry.waiting.empty()) {
            const auto server = choose(entry);
            if (!server) {
                return;
            }
            dispatch(number, *server);
        }
    }

    auto dispatch(std::size_t number, std::uint32_t server) -> void
    {
        auto &entry = entries_[number];
        const Duration grant = options_.way == Way::Owner ? options_.delay * 2 : Duration{};
        const SimulatedRequest request = entry.waiting.front();
        entry.waiting.pop_front();
        waits_.push_back(now_ + grant - request.arrivedAt);
        entry.inFlight[server] += 1;
        total_[server] += 1;
        const std::uint64_t attempt = nextAttempt_++;
        noteDispatched(*entry.state, AttemptId{ attempt }, ServerIndex{ server }, Quote, now_);
        endings_.push({ .at = now_ + grant + request.service, .entry = number, .server = server, .attempt = attempt });
    }

    auto endRequests() -> void
    {
        while (!endings_.empty() && endings_.top().at <= now_) {
            const Ending ending = endings_.top();
            endings_.pop();
            entries_[ending.entry].inFlight[ending.server] -= 1;
            total_[ending.server] -= 1;
            noteFinished(*entries_[ending.entry].state, AttemptId{ ending.attempt }, 0, now_);
            result_.served += 1;
        }
    }

    auto sample() -> void
    {
        const Duration elapsed = now_ - Start;
        if (elapsed < WarmUp) {
            waits_.clear();
            result_.served = 0;
            return;
        }
        if (elapsed % options_.reportInterval == Duration{}) {
            for (std::size_t server = 0; server < total_.size(); ++server) {
                jumped_ += std::abs(static_cast<double>(total_[server]) - totalAtReport_[server]);
                ++jumps_;
            }
            totalAtReport_ = total_;
        }
        if (elapsed % SampleInterval == Duration{}) {
            sampleServers();
        }
    }

    auto sampleServers() -> void
    {
        const double mean = std::accumulate(total_.begin(), total_.end(), 0.0) / options_.servers;
        double squares = 0;
        std::uint32_t idle = 0;
        for (const std::uint32_t inFlight : total_) {
            squares += (inFlight - mean) * (inFlight - mean);
            const std::uint32_t over = inFlight > options_.concurrency ? inFlight - options_.concurrency : 0;
            result_.mostOver = std::max(result_.mostOver, over);
            overSamples_ += over > 0 ? 1 : 0;
            idle += inFlight < options_.concurrency ? options_.concurrency - inFlight : 0;
        }
        const auto waiting = std::accumulate(
            entries_.begin(), entries_.end(), std::size_t{ 0 }, [](std::size_t sum, const SimulatedEntry &entry) { return sum + entry.waiting.size(); });
        idleWhileWaiting_ += static_cast<double>(std::min<std::size_t>(idle, waiting));
        result_.meanInFlight += mean;
        result_.spread += std::sqrt(squares / options_.servers);
        ++samples_;
    }

    auto summarize() -> SimulationResult
    {
        const auto samples = static_cast<double>(samples_);
        result_.meanInFlight /= samples;
        result_.spread /= samples;
        result_.overPercent = 100.0 * static_cast<double>(overSamples_) / (samples * options_.servers);
        result_.idlePercent = 100.0 * idleWhileWaiting_ / (samples * options_.servers * options_.concurrency);
        result_.jumps = jumped_ / static_cast<double>(jumps_);
        std::sort(waits_.begin(), waits_.end());
        const auto sum = std::accumulate(waits_.begin(), waits_.end(), Duration{});
        result_.meanWaitMs = static_cast<double>(sum.count()) / 1000 / static_cast<double>(waits_.size());
        result_.longWaitMs = static_cast<double>(waits_[waits_.size() * 99 / 100].count()) / 1000;
        return result_;
    }

    SimulationOptions options_;
    std::mt19937_64 random_;
    TimePoint now_ = Start;
    std::vector<SimulatedEntry> entries_;
    std::vector<std::uint32_t> total_; ///< in flight by server
    std::vector<std::uint32_t> totalAtReport_;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings_;
    std::deque<Letter> letters_;
    std::vector<Duration> waits_;
    std::uint64_t nextAttempt_ = 1;
    std::uint64_t samples_ = 0;
    std::uint64_t overSamples_ = 0;
    std::uint64_t jumps_ = 0;
    double jumped_ = 0;
    double idleWhileWaiting_ = 0;
    SimulationResult result_;
};

constexpr auto WayNames = std::to_array<std::pair<Way, std::string_view>>({
    { Way::Exchanged, "exchanged vectors" },
    { Way::LocalTwoChoices, "local two choices" },
    { Way::StaticSplit, "static split" },
    { Way::LeastReported, "least reported" },
    { Way::Owner, "owner grants" },
});

constexpr auto LoadNames = std::to_array<std::pair<Load, std::string_view>>({
    { Load::Even, "even" },
    { Load::OneBursts, "one bursts" },
    { Load::MovingBurst, "moving burst" },
});

constexpr std::array Ways{ Way::Exchanged, Way::LocalTwoChoices, Way::StaticSplit, Way::LeastReported, Way::Owner };

} // namespace

auto wayName(Way way) -> std::string_view
{
    return WayNames[static_cast<std::size_t>(way)].second;
}

auto loadName(Load load) -> std::string_view
{
    return LoadNames[static_cast<std::size_t>(load)].second;
}

auto allWays() -> std::span<const Way>
{
    return Ways;
}

auto simulate(const SimulationOptions &options) -> SimulationResult
{
    return Simulation(options).run();
}

} // namespace auburnspread::balancing::tests
