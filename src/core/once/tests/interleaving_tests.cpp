#include "core/once/claimtable.h"
#include "core/once/tests/claimstore.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <utility>

using namespace auburnspread;
using namespace auburnspread::once;
using namespace auburnspread::once::tests;

namespace
{

constexpr TimePoint Start{ std::chrono::hours(1) };
constexpr std::size_t EntryCount = 3;
constexpr int KeyCount = 2;

template <typename Number>
auto draw(Number from, Number to) -> Number
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to + 1));
}

/// A call on its way: it takes effect at some time or never, and its reply arrives or is lost, in any order with others.
struct Call {
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    ClaimerAction action;
    bool applied = false;
    bool replied = false;
    std::vector<std::size_t> conflicts;
    ReadResult read;
};

struct SimulatedEntry {
    std::uint64_t incarnation = 1;
    Claimer claimer;
    ClaimTable table;
    std::map<RequestId, int> keys; ///< of requests that wait for their claim
};

/// Entries, their calls to the service and callers' repeats, one random step at a time.
class Site
{
public:
    Site()
    {
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            restart(entry);
        }
    }

    auto step() -> void
    {
        switch (draw(0, 9)) {
        case 0:
        case 1:
            submitSome();
            break;
        case 2:
            now_ += std::chrono::milliseconds(draw(1, 1500));
            break;
        case 3:
            if (draw(0, 4) == 0) {
                restart(draw<std::size_t>(0, EntryCount - 1));
            }
            break;
        case 4:
        case 5:
        case 6:
            applySome();
            break;
        default:
            replySome();
            break;
        }
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            take(entry, advance(entries_[entry].claimer, now_));
        }
        std::erase_if(calls_, [](const Call &call) { return call.applied && call.replied; });
    }

    /// The service is well and nothing is lost any more.
    auto settleAll() -> void
    {
        constexpr int Rounds = 2000;
        for (int round = 0; round < Rounds && isBusyAnywhere(); ++round) {
            now_ += std::chrono::milliseconds(50);
            while (!calls_.empty()) {
                Call call = std::move(calls_.front());
                calls_.pop_front();
                apply(call);
                reply(call, false);
            }
            for (std::size_t entry = 0; entry < EntryCount; ++entry) {
                take(entry, advance(entries_[entry].claimer, now_));
            }
        }
    }

    auto isBusyAnywhere() const -> bool
    {
        return std::any_of(entries_.begin(), entries_.end(), [](const SimulatedEntry &entry) { return isBusy(entry.claimer) || !entry.keys.empty(); });
    }

    auto mostDispatches() const -> int
    {
        return mostDispatches_;
    }

private:
    static auto keyOf(int key) -> ClaimKey
    {
        return makeClaimKey("workspace", std::to_string(key));
    }

    /// Short and small bounds, so that claims are also dropped while calls for them are under way.
    static auto makeOptions(std::size_t number, std::uint64_t incarnation) -> ClaimerOptions
    {
        return { .entry = "entry-" + std::to_string(number), .incarnation = incarnation, .cleanUpTime = std::chrono::seconds(4), .cleanUpCapacity = 1 };
    }

    auto restart(std::size_t number) -> void
    {
        auto &entry = entries_[number];
        const std::uint64_t incarnation = entry.incarnation + 1;
        entry = { .incarnation = incarnation, .claimer = { .options = makeOptions(number, incarnation) } };
    }

    auto submitSome() -> void
    {
        const auto number = draw<std::size_t>(0, EntryCount - 1);
        const int key = draw(0, KeyCount - 1);
        auto &entry = entries_[number];
        if (!begin(entry.table, keyOf(key), now_)) {
            return;
        }
        const RequestId request{ nextRequest_++ };
        entry.keys[request] = key;
        take(number, submit(entry.claimer, request, keyOf(key), now_));
    }

    auto take(std::size_t number, const ClaimerActions &actions) -> void
    {
        for (const auto &action : actions) {
            if (std::holds_alternative<ClaimDecision>(action)) {
                decide(number, std::get<ClaimDecision>(action));
            } else {
                calls_.push_back({ .entry = number, .incarnation = entries_[number].incarnation, .action = action });
            }
        }
    }

    auto decide(std::size_t number, const ClaimDecision &decision) -> void
    {
        auto &entry = entries_[number];
        const auto node = entry.keys.extract(decision.request);
        RC_ASSERT(!node.empty());
        const int key = node.mapped();
        if (decision.result != ClaimDecision::Result::Claimed) {
            abandon(entry.table, keyOf(key));
            return;
        }
        if (draw(0, 2) == 0) { // refused before it was dispatched
            abandon(entry.table, keyOf(key));
            take(number, release(entry.claimer, keyOf(key), now_));
            return;
        }
        mostDispatches_ = std::max(mostDispatches_, ++dispatches_[key]);
        settle(entry.table, keyOf(key), std::nullopt, now_);
    }

    auto applySome() -> void
    {
        if (!calls_.empty()) {
            apply(calls_[draw<std::size_t>(0, calls_.size() - 1)]);
        }
    }

    auto apply(Call &call) -> void
    {
        if (std::exchange(call.applied, true)) {
            return;
        }
        if (const auto *create = std::get_if<CreateCall>(&call.action)) {
            call.conflicts = applyCreate(store_, *create);
        } else if (const auto *read = std::get_if<ReadCall>(&call.action)) {
            call.read = applyRead(store_, *read);
        } else {
            applyDelete(store_, std::get<DeleteCall>(call.action));
        }
    }

    auto replySome() -> void
    {
        if (!calls_.empty()) {
            reply(calls_[draw<std::size_t>(0, calls_.size() - 1)], draw(0, 3) == 0);
        }
    }

    /// Before it took effect, a call can only have its reply lost: it may still take effect afterwards.
    auto reply(Call &call, bool lost) -> void
    {
        if (std::exchange(call.replied, true) || entries_[call.entry].incarnation != call.incarnation) {
            return;
        }
        const bool known = call.applied && !lost;
        auto &claimer = entries_[call.entry].claimer;
        if (const auto *create = std::get_if<CreateCall>(&call.action)) {
            const auto applied = call.conflicts.empty() ? CreateResult::Committed : CreateResult::Conflict;
            const auto conflicts = known && draw(0, 3) == 0 ? std::vector<std::size_t>{} : call.conflicts;
            take(call.entry, noteCreated(claimer, create->call, known ? applied : CreateResult::Unknown, conflicts, now_));
        } else if (const auto *read = std::get_if<ReadCall>(&call.action)) {
            take(call.entry, noteRead(claimer, read->call, known ? call.read : ReadResult{}, now_));
        } else {
            take(call.entry, noteDeleted(claimer, std::get<DeleteCall>(call.action).call, known, now_));
        }
    }

    ClaimStore store_;
    std::array<SimulatedEntry, EntryCount> entries_;
    std::deque<Call> calls_;
    std::map<int, int> dispatches_;
    int mostDispatches_ = 0;
    std::uint64_t nextRequest_ = 1;
    TimePoint now_ = Start;
};

} // namespace

// Callers send the same keys to three entries again and again while calls to the service take effect late or never,
// replies are lost, conflicts name no operation, entries restart, and claimed requests are refused before dispatch. No
// key is ever dispatched twice, and every claim is decided once the service is well.
RC_GTEST_PROP(InterleavingTests, noKeyIsDispatchedTwice, ())
{
    Site site;
    const int steps = draw(50, 400);
    for (int step = 0; step < steps; ++step) {
        site.step();
    }
    site.settleAll();
    RC_ASSERT(site.mostDispatches() <= 1);
    RC_ASSERT(!site.isBusyAnywhere());
}
