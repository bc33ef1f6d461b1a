/// \file
/// The task that hosts the decision core: events in, actions out to the other tasks.

#pragma once

#include "entry/messages/messages.h"

#include <functional>
#include <memory>

namespace auburnspread::entry
{

struct RouterTaskOptions {
    routing::RouterOptions router;
    Duration tickInterval = std::chrono::milliseconds(20);
    Duration publishInterval = std::chrono::milliseconds(250);
    /// Called in the task's thread, for counting and logging.
    std::function<void(const routing::Action &action)> acted;
};

class RouterTask
{
public:
    RouterTask(RouterTaskOptions options, Mailboxes &mailboxes);
    ~RouterTask();
    RouterTask(const RouterTask &) = delete;
    auto operator=(const RouterTask &) -> RouterTask & = delete;

    /// Runs until stop(), in the calling thread.
    auto run() -> void;
    /// From any thread.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace auburnspread::entry
