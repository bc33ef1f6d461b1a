/// \file
/// One event loop: a libevent base with timers and mailboxes attached. Each task owns one and runs it in its thread. The process ignores
/// SIGPIPE from the construction of the first one.

#pragma once

#include "core/base/time.h"
#include "runtime/task/mailbox.h"

#include <functional>
#include <memory>
#include <thread>

struct event;
struct event_base;

namespace auburnspread::task
{

namespace detail
{
struct EventDeleter {
    auto operator()(event *item) const -> void;
};
struct BaseDeleter {
    auto operator()(event_base *base) const -> void;
};
} // namespace detail

using EventPointer = std::unique_ptr<event, detail::EventDeleter>;

/// Priority of libevent's events that are handled before all others, also before those that occurred earlier.
constexpr int UrgentPriority = 0;

/// The daemon's monotonic clock in the core's terms.
auto monotonicNow() -> TimePoint;

/// A timer or descriptor watch; it ends when this object ends. Used from the loop's thread only.
class Watch
{
public:
    Watch() = default;

private:
    friend class EventLoop;
    struct State;
    std::shared_ptr<State> state_;
};

class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    [[nodiscard]] auto base() const -> event_base *;

    /// Calls \p action once after \p delay.
    [[nodiscard]] auto after(Duration delay, std::function<void()> action) -> Watch;
    /// Calls \p action once in this turn, after the events that have occurred and before the loop waits for others.
    [[nodiscard]] auto inThisTurn(std::function<void()> action) -> Watch;
    /// Calls \p action right after the event that is being handled, before all others.
    [[nodiscard]] auto afterThisEvent(std::function<void()> action) -> Watch;
    /// Calls \p action every \p interval.
    [[nodiscard]] auto every(Duration interval, std::function<void()> action) -> Watch;
    /// Calls \p action while \p descriptor is readable.
    [[nodiscard]] auto whenReadable(int descriptor, std::function<void()> action) -> Watch;

    /// Calls \p receive for each message of \p mailbox, in order.
    template <typename Message, typename Receive>
    [[nodiscard]] auto receive(Mailbox<Message> &mailbox, Receive receive) -> Watch
    {
        return whenReadable(mailbox.descriptor(), [&mailbox, receive = std::move(receive)]() {
            for (auto &message : mailbox.takeAll()) {
                receive(std::move(message));
            }
        });
    }

    /// Runs until stop().
    auto run() -> void;
    /// From any thread.
    auto stop() -> void;

private:
    auto callWithoutWaiting(std::function<void()> action, int priority) -> Watch;

    std::unique_ptr<event_base, detail::BaseDeleter> base_;
};

} // namespace auburnspread::task
