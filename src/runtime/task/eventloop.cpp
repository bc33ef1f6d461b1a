#include "runtime/task/eventloop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace auburnspread::task
{

namespace detail
{

auto EventDeleter::operator()(event *item) const -> void
{
    event_free(item);
}

auto BaseDeleter::operator()(event_base *base) const -> void
{
    event_base_free(base);
}

} // namespace detail

struct Watch::State {
    std::function<void()> action;
    EventPointer item;
};

namespace
{

auto toTimeval(Duration duration) -> timeval
{
    constexpr auto MicrosPerSecond = 1'000'000;
    return timeval{ .tv_sec = duration.count() / MicrosPerSecond, .tv_usec = duration.count() % MicrosPerSecond };
}

/// Priority of all events that are not given another one.
constexpr int UsualPriority = 1;
constexpr int Priorities = 2;
/// After so many events, the loop looks for urgent ones.
constexpr int MaxEventsBetweenLooks = 8;

//! NOTE the library's default clock ticks only every few milliseconds, which would add up over timers that follow each other
auto makeBase() -> event_base *
{
    auto *configuration = event_config_new();
    event_config_set_flag(configuration, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_config_set_max_dispatch_interval(configuration, nullptr, MaxEventsBetweenLooks, UsualPriority);
    auto *base = event_base_new_with_config(configuration);
    event_config_free(configuration);
    if (base != nullptr) {
        event_base_priority_init(base, Priorities);
    }
    return base;
}

/// Enables threads in the library, and ignores SIGPIPE: libevent writes without MSG_NOSIGNAL, so a peer that closes its connection during a
/// write would end the whole process. With the signal ignored, the write fails as any other error of that connection.
auto prepareProcess() -> void
{
    static std::once_flag once;
    std::call_once(once, []() {
        evthread_use_pthreads();
        std::signal(SIGPIPE, SIG_IGN);
    });
}

} // namespace

auto monotonicNow() -> TimePoint
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(now));
}

EventLoop::EventLoop()
{
    prepareProcess();
    base_.reset(makeBase());
    if (!base_) {
        throw std::runtime_error("event loop: event_base_new failed");
    }
}

EventLoop::~EventLoop() = default;

auto EventLoop::base() const -> event_base *
{
    return base_.get();
}

namespace
{

//! NOTE the action may end its own watch, so it runs on a copy that outlives the call
auto callAction(evutil_socket_t /*descriptor*/, short /*what*/, void *context) -> void
{
    const auto action = *static_cast<std::function<void()> *>(context);
    action();
}

//! NOTE the library counts from the beginning of the loop's turn, which may be long ago
auto startTimer(event_base *base, event *timer, Duration interval) -> void
{
    event_base_update_cache_time(base);
    const auto time = toTimeval(interval);
    event_add(timer, &time);
}

} // namespace

auto EventLoop::after(Duration delay, std::function<void()> action) -> Watch
{
    Watch watch;
    watch.state_ = std::make_shared<Watch::State>();
    watch.state_->action = std::move(action);
    watch.state_->item.reset(event_new(base(), -1, 0, callAction, &watch.state_->action));
    startTimer(base(), watch.state_->item.get(), delay);
    return watch;
}

auto EventLoop::callWithoutWaiting(std::function<void()> action, int priority) -> Watch
{
    Watch watch;
    watch.state_ = std::make_shared<Watch::State>();
    watch.state_->action = std::move(action);
    watch.state_->item.reset(event_new(base(), -1, 0, callAction, &watch.state_->action));
    event_priority_set(watch.state_->item.get(), priority);
    event_active(watch.state_->item.get(), EV_TIMEOUT, 1);
    return watch;
}

auto EventLoop::inThisTurn(std::function<void()> action) -> Watch
{
    return callWithoutWaiting(std::move(action), UsualPriority);
}

auto EventLoop::afterThisEvent(std::function<void()> action) -> Watch
{
    return callWithoutWaiting(std::move(action), UrgentPriority);
}

auto EventLoop::every(Duration interval, std::function<void()> action) -> Watch
{
    Watch watch;
    watch.state_ = std::make_shared<Watch::State>();
    watch.state_->action = std::move(action);
    watch.state_->item.reset(event_new(base(), -1, EV_PERSIST, callAction, &watch.state_->action));
    startTimer(base(), watch.state_->item.get(), interval);
    return watch;
}

auto EventLoop::whenReadable(int descriptor, std::function<void()> action) -> Watch
{
    Watch watch;
    watch.state_ = std::make_shared<Watch::State>();
    watch.state_->action = std::move(action);
    watch.state_->item.reset(event_new(base(), descriptor, EV_READ | EV_PERSIST, callAction, &watch.state_->action));
    event_add(watch.state_->item.get(), nullptr);
    return watch;
}

auto EventLoop::run() -> void
{
    event_base_loop(base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

auto EventLoop::stop() -> void
{
    event_base_loopbreak(base());
}

} // namespace auburnspread::task
