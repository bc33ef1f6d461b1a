#include "core/usage/reporter.h"

#include <algorithm>
#include <utility>

namespace auburnspread::usage
{

namespace
{

/// After the end of a window until its counts are fixed: answers that tell late when their request began, and clocks that differ.
constexpr Duration Settling = std::chrono::milliseconds(1500);
/// An entry that has not told by then is not waited for.
constexpr Duration Patience = std::chrono::milliseconds(6000);
/// A new leader may have begun to hear the entries just now: by then each has told all its windows.
constexpr Duration Collecting = std::chrono::milliseconds(2000);
/// After a call that failed.
constexpr Duration FailurePause = std::chrono::milliseconds(400);
constexpr std::size_t RecordedWindows = 8;

class Stepper
{
public:
    Stepper(State &state, TimePoint now, Actions &actions)
        : state_(state)
        , now_(now)
        , actions_(actions)
    {
    }

    auto operator()(const TermBegun &event) -> void
    {
        endTerm();
        state_.token = event.token;
        state_.askAt = now_ + Collecting;
    }

    auto operator()(const TermEnded & /*event*/) -> void
    {
        endTerm();
    }

    auto operator()(const RecordRead &event) -> void
    {
        if (acceptAnswer(state_.pending, event.call)) {
            state_.record = event.record;
            state_.revision = event.revision;
        }
    }

    auto operator()(const RecordWritten &event) -> void
    {
        if (acceptAnswer(state_.pending, event.call)) {
            state_.record = std::move(state_.proposed);
            state_.revision = event.revision;
        }
    }

    /// A write that failed may have been executed, or be executed later: what is fixed is what the store shows.
    auto operator()(const RecordCallFailed &event) -> void
    {
        if (acceptAnswer(state_.pending, event.call)) {
            state_.record.reset();
            state_.askAt = now_ + FailurePause;
        }
    }

    auto operator()(const Sent &event) -> void
    {
        if (state_.sending.erase(event.window) > 0) {
            state_.sent.insert(event.window);
        }
    }

    auto operator()(const SendFailed &event) -> void
    {
        state_.sending.erase(event.window);
        state_.sendAt[event.window] = now_ + FailurePause;
    }

    auto operator()(const Tick &event) -> void
    {
        if (!state_.token || isCallInFlight(state_.pending)) {
            return;
        }
        if (!state_.record) {
            read();
            return;
        }
        fix(event);
        send(event);
    }

private:
    auto endTerm() -> void
    {
        state_.token.reset();
        state_.record.reset();
        cancelCall(state_.pending);
        state_.sent.clear();
        state_.sending.clear();
        state_.sendAt.clear();
        state_.askAt = now_;
    }

    auto read() -> void
    {
        if (now_ >= state_.askAt) {
            actions_.emplace_back(ReadRecord{ .call = beginCall(state_.pending) });
        }
    }

    [[nodiscard]] auto counts(Window window, TrueTime time) const -> bool
    {
        return time < endOf(window, state_.options.windowLength) + state_.options.due;
    }

    [[nodiscard]] auto isReady(Window window, const Tick &tick) const -> bool
    {
        const auto since = tick.time - endOf(window, state_.options.windowLength);
        return since >= Patience || (since >= Settling && haveTold(state_.ledger, tick.entries, window));
    }

    /// The first window that is not fixed and still counts. Windows from before anybody counted are nobody's.
    [[nodiscard]] auto firstOpen(TrueTime time) const -> Window
    {
        const auto current = windowAt(time, state_.options.windowLength);
        auto first = current;
        for (const auto &[key, teller] : state_.ledger.tellers) {
            first = teller.windows.empty() ? first : std::min(first, teller.windows.begin()->first);
        }
        // a clock that is years behind must not make this a walk over all windows since
        first = std::max(first, windowAt(time - std::chrono::duration_cast<TrueTime>(state_.options.due), state_.options.windowLength));
        return state_.record->empty() ? first : std::max(first, state_.record->rbegin()->first + 1);
    }

    /// Windows are fixed in their order: once a later one is, an earlier one that is missing stays so.
    auto fix(const Tick &tick) -> void
    {
        auto proposed = *state_.record;
        for (auto window = firstOpen(tick.time); isReady(window, tick); ++window) {
            proposed[window] = countsOf(state_.ledger, window);
        }
        if (proposed.size() == state_.record->size()) {
            return;
        }
        noteLeftOut(proposed);
        while (proposed.size() > RecordedWindows) {
            proposed.erase(proposed.begin());
        }
        state_.proposed = std::move(proposed);
        actions_.emplace_back(WriteRecord{
            .call = beginCall(state_.pending),
            .record = state_.proposed,
            .expectedRevision = state_.revision,
            .token = *state_.token,
        });
    }

    auto noteLeftOut(const Record &proposed) -> void
    {
        if (state_.record->empty()) {
            return;
        }
        const auto last = state_.record->rbegin()->first;
        const auto next = proposed.upper_bound(last)->first;
        if (next > last + 1) {
            actions_.emplace_back(LeftOut{ .first = last + 1, .last = next - 1 });
        }
    }

    /// A term may last for months.
    auto forgetDropped() -> void
    {
        const auto isDropped = [this](Window window) { return !state_.record->contains(window); };
        std::erase_if(state_.sent, isDropped);
        std::erase_if(state_.sendAt, [&isDropped](const auto &item) { return isDropped(item.first); });
    }

    auto send(const Tick &tick) -> void
    {
        forgetDropped();
        for (const auto &[window, counted] : *state_.record) {
            const auto isDone = state_.sent.contains(window) || state_.sending.contains(window);
            if (isDone || !counts(window, tick.time) || now_ < state_.sendAt[window]) {
                continue;
            }
            state_.sending.insert(window);
            actions_.emplace_back(Send{ .window = window, .counts = counted, .token = *state_.token });
        }
    }

    State &state_;
    TimePoint now_;
    Actions &actions_;
};

} // namespace

auto makeState(Options options) -> State
{
    return { .options = options };
}

auto step(State &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    std::visit(Stepper(state, now, actions), event);
    return actions;
}

} // namespace auburnspread::usage
