/// \file
/// Prints the table of docs/measurements/once.md: what an outage of the platform's service costs non-repeatable calls,
/// by the way they are claimed, in virtual time.

#include "core/once/claimer.h"
#include "core/once/tests/claimstore.h"
#include "core/once/ticket.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>

using namespace auburnspread;
using namespace auburnspread::once;
using namespace auburnspread::once::tests;

namespace
{

constexpr TimePoint Start{ std::chrono::hours(1) };
constexpr Duration TimeStep = std::chrono::milliseconds(1);
constexpr Duration Length = std::chrono::seconds(120);
constexpr Duration OutageFrom = std::chrono::seconds(30);
constexpr Duration OutageTo = std::chrono::seconds(90);
constexpr Duration RestartAt = std::chrono::seconds(60); ///< of the first entry
constexpr Duration ServiceTrip = std::chrono::milliseconds(3);
constexpr Duration CallTimeout = std::chrono::milliseconds(500); ///< of a call to the service that does not answer
constexpr std::size_t EntryCount = 8;
constexpr std::size_t CallerCount = 200;

enum class Way {
    Claims,        ///< refused as not run while the service is out
    TicketsAhead,  ///< each caller holds one ticket, obtained with its last request
    TicketsAtOnce, ///< each caller asks an entry for a ticket right before the request
};

constexpr std::array WayNames{ "claims only", "ticket held ahead", "ticket asked for first" };

struct Figures {
    std::uint64_t calls = 0;
    std::uint64_t run = 0;
    std::uint64_t refusedInOutage = 0;
    std::uint64_t callsInOutage = 0;
    std::uint64_t otherEntry = 0; ///< tickets of a process that is gone
    std::uint64_t serviceWrites = 0;
    std::uint64_t entryCalls = 0; ///< to obtain tickets
    double waitMs = 0;            ///< for the claim, of requests that ran, summed
};

struct SimulatedEntry {
    Claimer claimer;
    TicketOffice office;
    std::map<RequestId, TimePoint> submitted;
};

struct Reply {
    TimePoint at{};
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    ClaimerAction call;
    bool answered = false;
    std::vector<std::size_t> conflicts;
    ReadResult read;
};

struct Held {
    std::size_t entry = 0;
    std::optional<Ticket> ticket;
};

class Outage
{
public:
    Outage(Way way, double callsPerSecond)
        : way_(way)
        , callsPerSecond_(callsPerSecond)
    {
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            start(entry, 1);
        }
        for (std::size_t caller = 0; caller < CallerCount; ++caller) {
            obtain(callers_[caller], caller % EntryCount);
        }
    }

    auto run() -> Figures
    {
        TimePoint nextCall = Start;
        for (; now_ < Start + Length; now_ += TimeStep) {
            if (now_ == Start + RestartAt) {
                start(0, 2);
            }
            for (; nextCall <= now_; nextCall += drawGap()) {
                call();
            }
            deliver();
            for (std::size_t entry = 0; entry < EntryCount; ++entry) {
                take(entry, advance(entries_[entry].claimer, now_));
            }
        }
        return figures_;
    }

private:
    auto drawGap() -> Duration
    {
        return Duration(static_cast<Duration::rep>(std::exponential_distribution<double>(callsPerSecond_ / 1e6)(random_)) + 1);
    }
    auto drawBelow(std::size_t bound) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }
    auto isOut() const -> bool
    {
        return now_ >= Start + OutageFrom && now_ < Start + OutageTo;
    }

    auto start(std::size_t number, std::uint64_t incarnation) -> void
    {
        const std::string name = "entry-" + std::to_string(number);
        entries_[number] = { .claimer = { .options = { .entry = name, .incarnation = incarnation } },
                             .office = { .options = { .entry = name, .incarnation = incarnation } } };
    }

    auto obtain(Held &held, std::size_t entry) -> void
    {
        held = { .entry = entry, .ticket = issueTicket(entries_[entry].office, "workspace", now_) };
        figures_.entryCalls += 1;
    }

    auto call() -> void
    {
        figures_.calls += 1;
        figures_.callsInOutage += isOut() ? 1 : 0;
        const std::size_t entry = drawBelow(EntryCount);
        if (way_ == Way::Claims) {
            const RequestId request{ nextRequest_++ };
            entries_[entry].submitted[request] = now_;
            take(entry, submit(entries_[entry].claimer, request, makeClaimKey("workspace", std::to_string(nextRequest_)), now_));
            return;
        }
        auto &held = callers_[drawBelow(CallerCount)];
        if (way_ == Way::TicketsAtOnce) {
            obtain(held, entry);
        }
        const auto verdict = useTicket(entries_[held.entry].office, *held.ticket, "workspace", now_);
        figures_.run += verdict == TicketVerdict::Run ? 1 : 0;
        figures_.otherEntry += verdict == TicketVerdict::Run ? 0 : 1;
        if (way_ == Way::TicketsAhead) {
            obtain(held, entry);
        }
    }

    auto take(std::size_t entry, const ClaimerActions &actions) -> void
    {
        for (const auto &action : actions) {
            if (const auto *decision = std::get_if<ClaimDecision>(&action)) {
                decide(entry, *decision);
            } else {
                sendCall(entry, action);
            }
        }
    }

    auto decide(std::size_t entry, const ClaimDecision &decision) -> void
    {
        const auto submitted = entries_[entry].submitted.extract(decision.request).mapped();
        if (decision.result != ClaimDecision::Result::Claimed) {
            figures_.refusedInOutage += 1;
            return;
        }
        figures_.run += 1;
        figures_.waitMs += static_cast<double>((now_ - submitted).count()) / 1000;
    }

    auto sendCall(std::size_t entry, const ClaimerAction &action) -> void
    {
        Reply reply{
            .at = now_ + (isOut() ? CallTimeout : ServiceTrip), .entry = entry, .incarnation = entries_[entry].claimer.options.incarnation, .call = action
        };
        reply.answered = !isOut();
        if (const auto *create = std::get_if<CreateCall>(&action)) {
            figures_.serviceWrites += 1;
            reply.conflicts = reply.answered ? applyCreate(store_, *create) : std::vector<std::size_t>{};
        } else if (const auto *read = std::get_if<ReadCall>(&action)) {
            reply.read = reply.answered ? applyRead(store_, *read) : ReadResult{};
        }
        replies_.emplace(reply.at, reply);
    }

    auto deliver() -> void
    {
        while (!replies_.empty() && replies_.begin()->first <= now_) {
            const Reply reply = replies_.begin()->second;
            replies_.erase(replies_.begin());
            auto &claimer = entries_[reply.entry].claimer;
            if (claimer.options.incarnation != reply.incarnation) {
                continue;
            }
            if (const auto *create = std::get_if<CreateCall>(&reply.call)) {
                const auto applied = reply.conflicts.empty() ? CreateResult::Committed : CreateResult::Conflict;
                take(reply.entry, noteCreated(claimer, create->call, reply.answered ? applied : CreateResult::Unknown, reply.conflicts, now_));
            } else if (const auto *read = std::get_if<ReadCall>(&reply.call)) {
                take(reply.entry, noteRead(claimer, read->call, reply.read, now_));
            }
        }
    }

    Way way_;
    double callsPerSecond_;
    std::mt19937_64 random_{ 1 };
    TimePoint now_ = Start;
    std::array<SimulatedEntry, EntryCount> entries_;
    std::array<Held, CallerCount> callers_;
    ClaimStore store_;
    std::multimap<TimePoint, Reply> replies_;
    std::uint64_t nextRequest_ = 1;
    Figures figures_;
};

} // namespace

auto main() -> int
{
    std::printf(
        "| way | calls/s | calls | in the outage | run | refused not run | ticket of a dead process | calls for tickets | transactions | mean wait ms |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
    for (const double callsPerSecond : { 10.0, 100.0, 1000.0 }) {
        for (const Way way : { Way::Claims, Way::TicketsAhead, Way::TicketsAtOnce }) {
            const Figures figures = Outage(way, callsPerSecond).run();
            const bool claims = way == Way::Claims;
            std::printf("| %s | %.0f | %llu | %llu | %llu | %llu | %llu | %llu | %llu | %.1f |\n",
                        WayNames[static_cast<std::size_t>(way)],
                        callsPerSecond,
                        static_cast<unsigned long long>(figures.calls),
                        static_cast<unsigned long long>(figures.callsInOutage),
                        static_cast<unsigned long long>(figures.run),
                        static_cast<unsigned long long>(figures.refusedInOutage),
                        static_cast<unsigned long long>(figures.otherEntry),
                        static_cast<unsigned long long>(claims ? 0 : figures.entryCalls),
                        static_cast<unsigned long long>(figures.serviceWrites),
                        figures.run == 0 ? 0.0 : figures.waitMs / static_cast<double>(figures.run));
        }
    }
    return 0;
}
