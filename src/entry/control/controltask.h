/// \file
/// The task towards the platform's service, other entries and operators: membership, configuration, claims,
/// quarantine notices, admin pages.

#pragma once

#include "entry/messages/messages.h"
#include "entry/settings/entrysettings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnspread::entry
{

struct ControlTaskOptions {
    EntrySettings settings;
    std::uint64_t incarnation = 0;
    /// Text of GET /metrics.
    std::function<std::string()> metricsText;
    /// Called once, in the task's thread: the entry has drained and its callers were redirected long enough.
    std::function<void()> drained;
};

class ControlTask
{
public:
    /// Listens on the admin and peer addresses. \throws std::runtime_error naming the address
    ControlTask(ControlTaskOptions options, Mailboxes &mailboxes);
    ~ControlTask();
    ControlTask(const ControlTask &) = delete;
    auto operator=(const ControlTask &) -> ControlTask & = delete;

    /// Runs until stop(), in the calling thread.
    auto run() -> void;
    /// From any thread.
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace auburnspread::entry
