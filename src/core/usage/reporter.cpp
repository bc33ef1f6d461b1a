#include "core/usage/reporter.h"

#include <algorithm>
#include <utility>

namespace auburnspread::usage
{

namespace
{

/// Shortest time from the end of a window until its counts are fixed. Some responses show only late when their request started, and the
/// clocks of the entries differ.
constexpr Duration SettlingTime = std::chrono::milliseconds(1500);
/// Longest time from the end of a window for which the leader waits for the reports of all live entries.
constexpr Duration MaxReportWait = std::chrono::milliseconds(6000);
/// Time for which a new leader collects reports before it reads the record. It may have received no reports before its term; in this time
/// each entry reports all its windows.
constexpr Duration CollectionTime = std::chrono::milliseconds(2000);
/// Delay after a failed call.
constexpr Duration RetryDelay = std::chrono::milliseconds(400);
constexpr std::size_t MaxRecordedWindows = 8;

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
        state_.readNotBefore = now_ + CollectionTime;
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
            if (event.mayBeIncomplete) {
                state_.firstFixable = std::max(state_.firstFixable, windowAt(event.time, state_.options.windowLength));
            }
        }
    }

    auto operator()(const RecordWritten &event) -> void
    {
        if (acceptAnswer(state_.pending, event.call)) {
            state_.record = std::move(state_.proposed);
            state_.remembered = *state_.record;
            state_.revision = event.revision;
        }
    }

    /// A failed write may have been executed, or may still be executed. The record is therefore read again: only its content in the store is
    /// fixed.
    auto operator()(const RecordCallFailed &event) -> void
    {
        if (acceptAnswer(state_.pending, event.call)) {
            state_.record.reset();
            state_.readNotBefore = now_ + RetryDelay;
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
        state_.sendNotBefore[event.window] = now_ + RetryDelay;
    }

    auto operator()(const Tick &event) -> void
    {
        if (!state_.token || isCallInFlight(state_.pending)) {
            return;
        }
        if (!state_.record) {
            readRecord();
            return;
        }
        fixWindows(event);
        sendWindows(event);
    }

private:
    auto endTerm() -> void
    {
        state_.token.reset();
        state_.record.reset();
        cancelCall(state_.pending);
        state_.sent.clear();
        state_.sending.clear();
        state_.sendNotBefore.clear();
        state_.readNotBefore = now_;
    }

    auto readRecord() -> void
    {
        if (now_ >= state_.readNotBefore) {
            actions_.emplace_back(ReadRecord{ .call = beginCall(state_.pending) });
        }
    }

    /// Whether a report of \p window at \p time is still accepted.
    [[nodiscard]] auto isBeforeDeadline(Window window, UnixTime time) const -> bool
    {
        return time < windowEnd(window, state_.options.windowLength) + state_.options.reportDeadline;
    }

    /// Whether the counts of \p window are complete, or the longest wait for them is over.
    [[nodiscard]] auto isReady(Window window, const Tick &tick) const -> bool
    {
        const auto since = tick.time - windowEnd(window, state_.options.windowLength);
        return since >= MaxReportWait || (since >= SettlingTime && haveReportedAfter(state_.ledger, tick.entries, window));
    }

    /// \return the first window that is not fixed and whose report is still accepted. Windows before the first counts of any entry are
    /// omitted.
    [[nodiscard]] auto firstUnfixedWindow(UnixTime time) const -> Window
    {
        const auto current = windowAt(time, state_.options.windowLength);
        auto first = current;
        for (const auto &[key, entry] : state_.ledger.entryCounts) {
            first = entry.windows.empty() ? first : std::min(first, entry.windows.begin()->first);
        }
        // Without this bound, an entry whose clock is years behind would make the leader iterate over all windows since then.
        first = std::max(first, windowAt(time - std::chrono::duration_cast<UnixTime>(state_.options.reportDeadline), state_.options.windowLength));
        first = std::max(first, state_.firstFixable);
        return state_.record->empty() ? first : std::max(first, state_.record->rbegin()->first + 1);
    }

    /// The record with the windows that this entry had fixed and that a restore of the store has lost.
    [[nodiscard]] auto recordWithRemembered() const -> Record
    {
        auto record = *state_.record;
        for (const auto &[window, counts] : state_.remembered) {
            if (window >= nextAfter(*state_.record)) {
                record[window] = counts;
            }
        }
        return record;
    }

    static auto nextAfter(const Record &record) -> Window
    {
        return record.empty() ? Window{} : record.rbegin()->first + 1;
    }

    /// Fixes the counts of the windows that are ready. Windows are fixed in ascending order: a missing window is never added once a later one
    /// is fixed.
    auto fixWindows(const Tick &tick) -> void
    {
        auto proposed = recordWithRemembered();
        for (auto window = std::max(firstUnfixedWindow(tick.time), nextAfter(proposed)); isReady(window, tick); ++window) {
            proposed[window] = totalCounts(state_.ledger, window);
        }
        if (proposed.size() == state_.record->size()) {
            return;
        }
        reportSkippedWindows(proposed);
        while (proposed.size() > MaxRecordedWindows) {
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

    auto reportSkippedWindows(const Record &proposed) -> void
    {
        if (state_.record->empty()) {
            return;
        }
        const auto last = state_.record->rbegin()->first;
        const auto next = proposed.upper_bound(last)->first;
        if (next > last + 1) {
            actions_.emplace_back(SkippedWindows{ .first = last + 1, .last = next - 1 });
        }
    }

    /// Removes windows that the record no longer contains. Without this, the sets would grow during a term, which may last for months.
    auto removeDroppedWindows() -> void
    {
        const auto isDropped = [this](Window window) { return !state_.record->contains(window); };
        std::erase_if(state_.sent, isDropped);
        std::erase_if(state_.sendNotBefore, [&isDropped](const auto &item) { return isDropped(item.first); });
    }

    auto sendWindows(const Tick &tick) -> void
    {
        removeDroppedWindows();
        for (const auto &[window, counts] : *state_.record) {
            const auto isDone = state_.sent.contains(window) || state_.sending.contains(window);
            if (isDone || !isBeforeDeadline(window, tick.time) || now_ < state_.sendNotBefore[window]) {
                continue;
            }
            state_.sending.insert(window);
            actions_.emplace_back(Send{ .window = window, .counts = counts, .token = *state_.token });
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
