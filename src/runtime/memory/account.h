/// \file
/// Account of the bytes that a process holds for the peers of its connections, in both directions. While they are many, connections wait or
/// are closed as core/memory/review.h decides. Used from one event loop's thread.

#pragma once

#include "core/memory/review.h"
#include "runtime/task/eventloop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnspread::memory
{

/// A connection, as the account needs it. The functions are called from the event loop, never from within a call to the account.
struct Connection {
    std::function<void(bool isPaused)> setPaused; ///< stops or goes on reading
    std::function<void(CloseCause cause)> close;  ///< may refuse what it is receiving; ends the holding
    std::function<std::string()> describe;        ///< listener and peer, for the log
};

namespace detail
{
struct Entry;
struct State;
} // namespace detail

/// What is held for one connection. Nothing is held any more when this object ends.
class Share
{
public:
    Share();
    ~Share();
    Share(Share &&other) noexcept;
    auto operator=(Share &&other) noexcept -> Share &;
    Share(const Share &) = delete;
    auto operator=(const Share &) -> Share & = delete;

    /// A message begins, or its next stage. Its age and its speed count from now.
    auto begin(Purpose purpose) -> void;
    /// \p bytes are held, and \p mayGrowBy may still arrive.
    auto hold(std::size_t bytes, std::size_t mayGrowBy = 0) -> void;
    /// \p bytes of the message were received or sent.
    auto move(std::size_t bytes) -> void;

private:
    friend class Account;
    std::shared_ptr<detail::State> state_;
    std::unique_ptr<detail::Entry> entry_;
};

class Account
{
public:
    Account(task::EventLoop &loop, const Limits &limits);
    ~Account();
    Account(const Account &) = delete;
    auto operator=(const Account &) -> Account & = delete;

    [[nodiscard]] auto open(Connection connection) -> Share;

    [[nodiscard]] auto limits() const -> const Limits &;
    [[nodiscard]] auto heldBytes() const -> std::size_t;
    /// \name Counts since the start
    /// @{
    [[nodiscard]] auto closed(CloseCause cause) const -> std::uint64_t; ///< connections
    [[nodiscard]] auto pauses() const -> std::uint64_t;
    /// @}

private:
    std::shared_ptr<detail::State> state_;
};

/// Memory of the smallest VM of the deployments.
constexpr std::size_t SmallestVmBytes = std::size_t{ 88 } * 1024 * 1024;

/// \return the limits for a process whose VM has \p vmBytes of memory
auto limitsOf(std::size_t vmBytes) -> Limits;

} // namespace auburnspread::memory
