/// \file
/// The task that holds the connections to backend servers: sends attempts, judges what comes back, relays it to
/// the caller task and reports to the router task.

#pragma once

#include "entry/messages/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnspread::entry
{

/// A failed or silent attempt, for counting and logging.
struct AttemptReport {
    std::string request; ///< public id
    std::string attempt;
    std::string backend;
    Failure failure{};
    std::uint32_t wastedTokens = 0;
};

struct BackendTaskOptions {
    std::string attemptPrefix;          ///< entry and incarnation: makes attempt ids unique among all entries
    std::size_t mostEventBytes = 65536; ///< one event of a stream may not be longer
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleAge = std::chrono::seconds(5); ///< an idle connection older than this is not used again
    /// Called in the task's thread for each failed attempt.
    std::function<void(const AttemptReport &report)> failed;
    /// Called in the task's thread when an attempt meets a timeout. It goes on.
    std::function<void(const AttemptReport &report)> silent;
};

class BackendTask
{
public:
    BackendTask(BackendTaskOptions options, Mailboxes &mailboxes);
    ~BackendTask();
    BackendTask(const BackendTask &) = delete;
    auto operator=(const BackendTask &) -> BackendTask & = delete;

    /// Runs until stop(), in the calling thread.
    auto run() -> void;
    /// From any thread.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace auburnspread::entry
