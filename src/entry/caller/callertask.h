/// \file
/// The task towards callers: reads requests, hands them to the router task, and writes the answers.

#pragma once

#include "entry/messages/messages.h"
#include "runtime/memory/account.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnspread::entry
{

struct CallerTaskOptions {
    std::string address;      ///< IP number and port to listen on; port 0 takes a free one
    std::string publicPrefix; ///< entry and incarnation: makes public request ids unique among all entries
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    std::size_t connections = 4096;
    std::size_t streamBufferBytes = 262144;            ///< unsent bytes of one answer before its backend server is held back
    std::size_t memoryBytes = memory::SmallestVmBytes; ///< of the VM, a part of which may be held for callers
    Duration readTimeout = std::chrono::seconds(10);   ///< a request must be complete within
    Duration idleTimeout = std::chrono::seconds(60);   ///< a connection without a request is closed after
    /// Called in the task's thread for each refusal sent, for counting and logging.
    std::function<void(const routing::Refuse &refusal, const std::string &detail)> refused;
};

class CallerTask
{
public:
    CallerTask(CallerTaskOptions options, Mailboxes &mailboxes);
    ~CallerTask();
    CallerTask(const CallerTask &) = delete;
    auto operator=(const CallerTask &) -> CallerTask & = delete;

    /// Listens. \throws std::runtime_error naming the address
    auto listen() -> void;
    /// The address it listens on, with the port that was taken.
    [[nodiscard]] auto address() const -> std::string;
    /// Runs until stop(), in the calling thread.
    auto run() -> void;
    /// From any thread: ends once every answer that is under way was written.
    auto stopWhenIdle() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace auburnspread::entry
