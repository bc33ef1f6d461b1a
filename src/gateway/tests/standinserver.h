/// \file
/// A stand-in for a backend server, on an event loop in a separate thread.

#pragma once

#include "platform/standins/serverstandin.h"

#include "runtime/task/mailbox.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace auburnspread::gateway::tests
{

class StandinServer
{
public:
    /// \p configure is called before the server accepts its first request. Paths that begin with \p streamPrefix are answered by a stream.
    StandinServer(const std::string &id,
                  const std::function<void(adapter::standins::ServerStandin &standin)> &configure,
                  const std::string &streamPrefix = "/quote/");
    ~StandinServer();
    StandinServer(const StandinServer &) = delete;
    auto operator=(const StandinServer &) -> StandinServer & = delete;

    [[nodiscard]] auto address() const -> const std::string &;
    /// Number of requests that it has begun to execute.
    [[nodiscard]] auto executions() const -> int;
    /// Number of requests that it has rejected.
    [[nodiscard]] auto rejections() const -> int;
    /// Number of times that it has crashed.
    [[nodiscard]] auto crashes() const -> int;
    /// Ends a silence.
    auto goOn() -> void;
    /// Starts it again after a crash, at the same address.
    auto restart() -> void;

private:
    task::EventLoop loop_;
    task::Mailbox<bool> silences_; ///< for the loop's thread: whether the server is silent
    task::Mailbox<bool> restarts_;
    std::atomic<int> executions_ = 0;
    std::atomic<int> rejections_ = 0;
    std::atomic<int> crashes_ = 0;
    adapter::standins::ServerStandin standin_;
    task::Watch receiver_;
    task::Watch restarter_;
    std::thread thread_;
};

} // namespace auburnspread::gateway::tests
