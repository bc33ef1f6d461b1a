#include "core/routing/internal/timers.h"

#include "core/routing/internal/ending.h"

namespace auburnspread::routing
{

auto fireTimers(RouterState &state, TimePoint now, Actions &actions) -> void
{
    while (!state.timers.empty() && std::get<TimePoint>(*state.timers.begin()) <= now) {
        const auto [time, id, kind] = *state.timers.begin();
        state.timers.erase(state.timers.begin());
        if (kind == TimerKind::LatestStart) {
            queueing::demote(state.queue, id);
            continue;
        }
        refuse(state, state.requests.at(id), { .reason = Reason::DeadlinePassed, .step = "wait" }, actions);
    }
}

} // namespace auburnspread::routing
