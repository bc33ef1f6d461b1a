#include "core/quarantine/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::quarantine;

namespace
{

constexpr TimePoint Start{ std::chrono::hours(1) };
constexpr int ServerCount = 4;
constexpr Duration RestartTime = std::chrono::seconds(1);
constexpr int NoticeMs = 5; ///< longest time until an entry notices a crash
constexpr int PeerMs = 4;   ///< longest time until a notice reaches a peer
constexpr int PropagationMs = NoticeMs + PeerMs + 1;

/// Draws a uniformly distributed number, also in RapidCheck's first cases, which have a small size.
template <typename Number>
auto draw(Number from, Number to) -> Number
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to + 1));
}

/// Draws a run time that is mostly short and sometimes longer than any timeout of the module.
auto drawRunTime() -> Duration
{
    return std::chrono::milliseconds(draw(0, 3) == 0 ? draw(1, 5000) : draw(1, 60));
}

/// Draws an arrival time. Copies arrive in bursts, so that several run at once.
auto drawArrivalMs() -> int
{
    return (draw(0, 4) * 1000) + draw(0, 60);
}

/// One request of a caller, retried until it completes or is quarantined.
struct Request {
    std::uint64_t fingerprint = 0;
    std::size_t entry = 0;
    int atMs = 0;
    bool kills = false;
};

struct InFlightAttempt {
    std::size_t entry = 0;
    AttemptId attempt{};
    Request request;
    int server = 0;
};

struct Step {
    TimePoint at{};
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct Later {
    auto operator()(const Step &left, const Step &right) const -> bool
    {
        return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
};

/// Simulation of entries, servers and callers in virtual time. A crash ends all attempts of all entries on the server;
/// each end is noticed after its own delay. Until the server has restarted, it refuses connections. Notices reach peers
/// within a few milliseconds.
class Cell
{
public:
    explicit Cell(std::size_t entries)
    {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            states_.push_back(makeState({ .entry = "entry-" + std::to_string(entry) }));
        }
    }

    auto send(const Request &request) -> void
    {
        after(std::chrono::milliseconds(request.atMs), [this, request] { tryDispatch(request); });
    }

    /// Sends a request after the first crash; its time counts from when every entry has received the notices of that crash.
    auto sendAfterFirstCrash(const Request &request) -> void
    {
        pending_.push_back(request);
    }

    auto runAll() -> void
    {
        while (!steps_.empty()) {
            const Step step = steps_.top();
            steps_.pop();
            now_ = step.at;
            step.run();
        }
    }

    auto crashesBy(std::uint64_t fingerprint) const -> std::size_t
    {
        const auto found = crashesBy_.find(fingerprint);
        return found == crashesBy_.end() ? 0 : found->second;
    }

    auto crashesWith(std::uint64_t fingerprint) const -> std::size_t
    {
        const auto found = crashesWith_.find(fingerprint);
        return found == crashesWith_.end() ? 0 : found->second;
    }

    auto isQuarantinedSomewhere(std::uint64_t fingerprint) const -> bool
    {
        return std::any_of(states_.begin(), states_.end(), [&](const State &state) { return isQuarantined(state, Fingerprint{ fingerprint }, now_); });
    }

private:
    auto after(Duration delay, std::function<void()> run) -> void
    {
        steps_.push({ .at = now_ + delay, .order = nextOrder_++, .run = std::move(run) });
    }

    auto tryDispatch(const Request &request) -> void
    {
        auto &state = states_[request.entry];
        const auto decision = decide(state, Fingerprint{ request.fingerprint }, now_);
        if (decision.verdict == Verdict::Refuse) {
            return;
        }
        if (decision.verdict == Verdict::Wait) {
            broadcast(request.entry, announceRetry(state, Fingerprint{ request.fingerprint }, now_));
            after(std::chrono::milliseconds(10), [this, request] { tryDispatch(request); });
            return;
        }
        const bool bound = decision.verdict == Verdict::RunOnServer;
        const int server = bound ? std::stoi(decision.server) : draw(0, ServerCount - 1);
        const InFlightAttempt flight{ .entry = request.entry, .attempt = AttemptId{ nextAttempt_++ }, .request = request, .server = server };
        inFlight_[flight.attempt] = flight;
        broadcast(request.entry, recordDispatch(state, flight.attempt, Fingerprint{ request.fingerprint }, std::to_string(server), now_));
        if (now_ < restartedAt_[server]) {
            after(std::chrono::milliseconds(draw(1, 5)), [this, flight] { noticeRefusal(flight); });
            return;
        }
        after(drawRunTime(), [this, flight] { end(flight); });
    }

    auto noticeRefusal(const InFlightAttempt &flight) -> void
    {
        inFlight_.erase(flight.attempt);
        broadcast(flight.entry, recordInconclusiveEnd(states_[flight.entry], flight.attempt, now_));
        after(std::chrono::milliseconds(50), [this, flight] { tryDispatch(flight.request); });
    }

    auto end(const InFlightAttempt &flight) -> void
    {
        if (inFlight_.erase(flight.attempt) == 0) {
            return;
        }
        if (!flight.request.kills) {
            broadcast(flight.entry, recordCompletion(states_[flight.entry], flight.attempt, now_));
            return;
        }
        crashesBy_[flight.request.fingerprint] += 1;
        restartedAt_[flight.server] = now_ + RestartTime;
        sendPending();
        std::vector<InFlightAttempt> ended{ flight };
        std::erase_if(inFlight_, [&](const auto &row) {
            const bool dies = row.second.server == flight.server;
            if (dies) {
                ended.push_back(row.second);
            }
            return dies;
        });
        std::set<std::uint64_t> present;
        for (const auto &victim : ended) {
            present.insert(victim.request.fingerprint);
            noticeCrash(victim);
        }
        for (const auto fingerprint : present) {
            crashesWith_[fingerprint] += 1;
        }
    }

    auto sendPending() -> void
    {
        for (auto &request : std::exchange(pending_, {})) {
            request.atMs += PropagationMs;
            send(request);
        }
    }

    auto noticeCrash(const InFlightAttempt &victim) -> void
    {
        after(std::chrono::milliseconds(draw(0, NoticeMs)), [this, victim] {
            broadcast(victim.entry, recordCrash(states_[victim.entry], victim.attempt, now_));
            tryDispatch(victim.request);
        });
    }

    auto broadcast(std::size_t from, const std::vector<Notice> &notices) -> void
    {
        for (std::size_t to = 0; to < states_.size(); ++to) {
            if (to == from || notices.empty()) {
                continue;
            }
            after(std::chrono::milliseconds(draw(1, PeerMs)), [this, to, notices] {
                for (const auto &notice : notices) {
                    broadcast(to, applyNotice(states_[to], notice, now_));
                }
            });
        }
    }

    std::vector<State> states_;
    std::vector<Request> pending_;
    std::map<AttemptId, InFlightAttempt> inFlight_;
    std::map<int, TimePoint> restartedAt_;
    std::map<std::uint64_t, std::size_t> crashesBy_;
    std::map<std::uint64_t, std::size_t> crashesWith_;
    std::priority_queue<Step, std::vector<Step>, Later> steps_;
    TimePoint now_ = Start;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t nextAttempt_ = 1;
};

constexpr std::uint64_t FirstHarmless = 100;

auto sendHarmless(Cell &cell, std::size_t entries) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> fingerprints;
    const int count = draw(0, 20);
    for (int number = 0; number < count; ++number) {
        const std::uint64_t fingerprint = draw(FirstHarmless, FirstHarmless + 9);
        cell.send({ .fingerprint = fingerprint, .entry = draw<std::size_t>(0, entries - 1), .atMs = drawArrivalMs(), .kills = false });
        fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

auto checkHarmless(const Cell &cell, const std::vector<std::uint64_t> &fingerprints) -> void
{
    for (const auto fingerprint : fingerprints) {
        if (cell.isQuarantinedSomewhere(fingerprint)) {
            RC_ASSERT(cell.crashesWith(fingerprint) >= 2U);
        }
    }
}

auto checkOneEntry() -> void
{
    Cell cell(1);
    const int killers = draw(1, 3);
    const int copies = draw(1, 15);
    for (int copy = 0; copy < copies; ++copy) {
        cell.send({ .fingerprint = static_cast<std::uint64_t>(draw(0, killers - 1)), .entry = 0, .atMs = drawArrivalMs(), .kills = true });
    }
    const auto harmless = sendHarmless(cell, 1);
    cell.runAll();
    for (int killer = 0; killer < killers; ++killer) {
        RC_ASSERT(cell.crashesBy(static_cast<std::uint64_t>(killer)) <= 2U);
    }
    checkHarmless(cell, harmless);
}

auto checkCell() -> void
{
    constexpr std::size_t Entries = 4;
    const auto drawEntry = [] { return draw<std::size_t>(0, Entries - 1); };
    Cell cell(Entries);
    cell.send({ .fingerprint = 1, .entry = drawEntry(), .atMs = 0, .kills = true });
    cell.send({ .fingerprint = 1, .entry = drawEntry(), .atMs = draw(0, 60), .kills = true });
    const int repeats = draw(0, 10);
    for (int repeat = 0; repeat < repeats; ++repeat) {
        cell.sendAfterFirstCrash({ .fingerprint = 1, .entry = drawEntry(), .atMs = drawArrivalMs(), .kills = true });
    }
    const auto harmless = sendHarmless(cell, Entries);
    cell.runAll();
    RC_ASSERT(cell.crashesBy(1) <= 2U);
    checkHarmless(cell, harmless);
}

/// Random schedules per test case; most of them contain no race.
constexpr int SchedulesPerCase = 30;

} // namespace

// Killers and harmless requests arrive at one entry in any order, with any number of copies at any time. Each killer
// crashes at most two servers, and a request is quarantined only if it was running at two crashes.
RC_GTEST_PROP(CellTests, aKillerCrashesAtMostTwoServersAtOneEntry, ())
{
    for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
        checkOneEntry();
    }
}

// A caller sends a killer twice to any entries, possibly at the same time, and after the first crash repeatedly, in bursts
// and to any entry. The entries exchange notices without another service. At most two servers may crash, and no copy may
// wait indefinitely: the simulation would not end.
RC_GTEST_PROP(CellTests, aKillerCrashesAtMostTwoServersInTheCell, ())
{
    for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
        checkCell();
    }
}
