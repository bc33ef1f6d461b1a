/// \file
/// The queue through which tasks talk. Many senders, one receiver; the receiver's event loop is woken through an eventfd.

#pragma once

#include <deque>
#include <mutex>
#include <utility>

namespace auburnspread::task
{

namespace detail
{

/// A file descriptor that becomes readable when signalled.
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    auto operator=(const Wakeup &) -> Wakeup & = delete;

    [[nodiscard]] auto descriptor() const -> int;
    auto signal() const -> void;
    auto clear() const -> void;

private:
    int descriptor_;
};

} // namespace detail

template <typename Message>
class Mailbox
{
public:
    /// From any thread.
    auto post(Message message) -> void
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(mutex_);
            wasEmpty = messages_.empty();
            messages_.push_back(std::move(message));
        }
        if (wasEmpty) {
            wakeup_.signal();
        }
    }

    /// By the receiver only: everything posted so far, in order.
    auto takeAll() -> std::deque<Message>
    {
        wakeup_.clear();
        const std::lock_guard lock(mutex_);
        return std::exchange(messages_, {});
    }

    [[nodiscard]] auto descriptor() const -> int
    {
        return wakeup_.descriptor();
    }

private:
    std::mutex mutex_;
    std::deque<Message> messages_;
    detail::Wakeup wakeup_;
};

} // namespace auburnspread::task
