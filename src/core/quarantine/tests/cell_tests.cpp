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
constexpr int NoticeMs = 5; ///< to notice a crash, at most
constexpr int PeerMs = 4;   ///< to tell a peer, at most
constexpr int TellMs = NoticeMs + PeerMs + 1;

/// Evenly drawn, also in RapidCheck's first and small cases.
template <typename Number>
auto draw(Number from, Number to) -> Number
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to + 1));
}

/// Mostly short, sometimes longer than any of the module's waiting times.
auto drawRunTime() -> Duration
{
    return std::chrono::milliseconds(draw(0, 3) == 0 ? draw(1, 5000) : draw(1, 60));
}

/// Callers' copies come in bursts, so that several run at once.
auto drawArrivalMs() -> int
{
    return (draw(0, 4) * 1000) + draw(0, 60);
}

/// One request of a caller, sent again until it is answered, quarantined or sent often enough.
struct Request {
    std::uint64_t fingerprint = 0;
    std::size_t entry = 0;
    int atMs = 0;
    bool kills = false;
};

struct Flight {
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

/// Entries, servers and callers in virtual time. A crash ends all attempts on the server, from every entry, each
/// noticed after a delay of its own; until the server is back, connections to it are refused. Notices to peers take a
/// few milliseconds.
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

    /// Counted from the moment at which every entry can have heard of the first crash.
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
            tell(request.entry, announceRetry(state, Fingerprint{ request.fingerprint }, now_));
            after(std::chrono::milliseconds(10), [this, request] { tryDispatch(request); });
            return;
        }
        const bool bound = decision.verdict == Verdict::RunOnServer;
        const int server = bound ? std::stoi(decision.server) : draw(0, ServerCount - 1);
        const Flight flight{ .entry = request.entry, .attempt = AttemptId{ nextAttempt_++ }, .request = request, .server = server };
        flights_[flight.attempt] = flight;
        tell(request.entry, noteDispatched(state, flight.attempt, Fingerprint{ request.fingerprint }, std::to_string(server), now_));
        if (now_ < upAgain_[server]) {
            after(std::chrono::milliseconds(draw(1, 5)), [this, flight] { noticeRefusal(flight); });
            return;
        }
        after(drawRunTime(), [this, flight] { end(flight); });
    }

    auto noticeRefusal(const Flight &flight) -> void
    {
        flights_.erase(flight.attempt);
        tell(flight.entry, noteEnded(states_[flight.entry], flight.attempt, now_));
        after(std::chrono::milliseconds(50), [this, flight] { tryDispatch(flight.request); });
    }

    auto end(const Flight &flight) -> void
    {
        if (flights_.erase(flight.attempt) == 0) {
            return;
        }
        if (!flight.request.kills) {
            tell(flight.entry, noteCompleted(states_[flight.entry], flight.attempt, now_));
            return;
        }
        crashesBy_[flight.request.fingerprint] += 1;
        upAgain_[flight.server] = now_ + RestartTime;
        sendPending();
        std::vector<Flight> dead{ flight };
        std::erase_if(flights_, [&](const auto &row) {
            const bool dies = row.second.server == flight.server;
            if (dies) {
                dead.push_back(row.second);
            }
            return dies;
        });
        std::set<std::uint64_t> present;
        for (const auto &victim : dead) {
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
            request.atMs += TellMs;
            send(request);
        }
    }

    auto noticeCrash(const Flight &victim) -> void
    {
        after(std::chrono::milliseconds(draw(0, NoticeMs)), [this, victim] {
            tell(victim.entry, noteCrashed(states_[victim.entry], victim.attempt, now_));
            tryDispatch(victim.request);
        });
    }

    auto tell(std::size_t from, const std::vector<Notice> &notices) -> void
    {
        for (std::size_t to = 0; to < states_.size(); ++to) {
            if (to == from || notices.empty()) {
                continue;
            }
            after(std::chrono::milliseconds(draw(1, PeerMs)), [this, to, notices] {
                for (const auto &notice : notices) {
                    tell(to, hear(states_[to], notice, now_));
                }
            });
        }
    }

    std::vector<State> states_;
    std::vector<Request> pending_;
    std::map<AttemptId, Flight> flights_;
    std::map<int, TimePoint> upAgain_;
    std::map<std::uint64_t, std::size_t> crashesBy_;
    std::map<std::uint64_t, std::size_t> crashesWith_;
    std::priority_queue<Step, std::vector<Step>, Later> steps_;
    TimePoint now_ = Start;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t nextAttempt_ = 1;
};

constexpr std::uint64_t FirstInnocent = 100;

auto sendInnocents(Cell &cell, std::size_t entries) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> fingerprints;
    const int count = draw(0, 20);
    for (int number = 0; number < count; ++number) {
        const std::uint64_t fingerprint = draw(FirstInnocent, FirstInnocent + 9);
        cell.send({ .fingerprint = fingerprint, .entry = draw<std::size_t>(0, entries - 1), .atMs = drawArrivalMs(), .kills = false });
        fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

auto checkInnocents(const Cell &cell, const std::vector<std::uint64_t> &fingerprints) -> void
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
    const auto innocents = sendInnocents(cell, 1);
    cell.runAll();
    for (int killer = 0; killer < killers; ++killer) {
        RC_ASSERT(cell.crashesBy(static_cast<std::uint64_t>(killer)) <= 2U);
    }
    checkInnocents(cell, innocents);
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
    const auto innocents = sendInnocents(cell, Entries);
    cell.runAll();
    RC_ASSERT(cell.crashesBy(1) <= 2U);
    checkInnocents(cell, innocents);
}

/// Schedules of one case: most meet no race at all.
constexpr int SchedulesPerCase = 30;

} // namespace

// Killers and harmless requests arrive at one entry in any order, with any number of copies at any time. Each killer
// crashes at most two servers, and nothing is quarantined that was not present at two crashes.
RC_GTEST_PROP(CellTests, aKillerCrashesAtMostTwoServersAtOneEntry, ())
{
    for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
        checkOneEntry();
    }
}

// A caller sends a killer twice to any entries, also both at once, and after the first crash again and again, in
// bursts and to any entry. The entries tell each other; no other service is needed. Two servers crash, not more, and
// no copy waits for ever: the schedule would not end.
RC_GTEST_PROP(CellTests, aKillerCrashesAtMostTwoServersInTheCell, ())
{
    for (int schedule = 0; schedule < SchedulesPerCase; ++schedule) {
        checkCell();
    }
}
