#include "wire/http/disconnectwatch.h"

#include <event2/event.h>

#include <poll.h>
#include <sys/time.h>

#include <utility>

namespace auburnspread::http
{

namespace
{

auto makeUrgentEvent(event_base *base, int descriptor, short what, event_callback_fn handle, void *context) -> task::EventPointer
{
    task::EventPointer made(event_new(base, descriptor, what, handle, context));
    event_priority_set(made.get(), task::UrgentPriority);
    return made;
}

/// Interval at which a connection with unread bytes is checked for a reset. It is readable all the time, so an event would not show it.
constexpr timeval ResetCheckInterval{ .tv_sec = 0, .tv_usec = 100'000 };

} // namespace

auto isDisconnected(int descriptor) -> bool
{
    pollfd status{ .fd = descriptor, .events = POLLRDHUP, .revents = 0 };
    constexpr auto Ends = POLLRDHUP | POLLERR | POLLHUP;
    return ::poll(&status, 1, 0) > 0 && (static_cast<unsigned>(status.revents) & Ends) != 0;
}

struct DisconnectWatch::State {
    std::function<void()> onDisconnected;
    std::function<void()> onUnread;
    task::EventPointer event; ///< for reading too, until the peer sends something, which may be its next request
};

DisconnectWatch::DisconnectWatch(task::EventLoop &loop, int descriptor, std::function<void()> onDisconnected, std::function<void()> onUnread)
    : state_(std::make_shared<State>())
{
    state_->onDisconnected = std::move(onDisconnected);
    state_->onUnread = std::move(onUnread);
    //! NOTE libevent reports a reset as readable only, not as closed
    state_->event = makeUrgentEvent(loop.base(), descriptor, EV_READ | EV_CLOSED, handle, state_.get());
    event_add(state_->event.get(), nullptr);
}

auto DisconnectWatch::handle(int descriptor, short what, void *context) -> void
{
    auto &state = *static_cast<State *>(context);
    if ((static_cast<unsigned>(what) & EV_CLOSED) != 0 || isDisconnected(descriptor)) {
        const auto onDisconnected = state.onDisconnected; // the call may destroy the state
        onDisconnected();
        return;
    }
    state.event = makeUrgentEvent(event_get_base(state.event.get()), descriptor, EV_CLOSED, handle, &state);
    event_add(state.event.get(), &ResetCheckInterval);
    if (state.onUnread) {
        state.onUnread();
    }
}

} // namespace auburnspread::http
