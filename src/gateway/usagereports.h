/// \file
/// Counts the requests that this entry starts, makes the reports for the entries that may become the leader and, while this entry is the
/// leader, executes the actions of the usage core.

#pragma once

#include "core/usage/reporter.h"
#include "gateway/clock.h"
#include "platform/duties.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

struct UsageOptions {
    std::string store; ///< address of the platform's store
    std::string api;   ///< address of the platform's interface
    std::string entry;
    std::uint64_t incarnation = 0;
    usage::Options windows;
};

struct UsageCallbacks {
    /// The platform declined a call with \p token, since a later term has started.
    std::function<void(std::uint64_t token)> onTokenRefused;
    /// The counts of \p window were sent with \p outcome, or the window was skipped.
    std::function<void(usage::Window window, std::string_view outcome, std::uint64_t requests)> onWindowOutcome;
    std::function<void(std::string_view what, const std::string &detail)> onInvalid; ///< the store returned data that cannot be decoded
};

class UsageReports
{
public:
    UsageReports(task::EventLoop &loop, UsageOptions options, UsageCallbacks callbacks);

    /// Counts a request of \p workspace that started to run. Requests without a workspace are not counted.
    auto recordStart(const std::string &workspace, TimePoint at) -> void;
    /// Makes a report for the entries that may become the leader. This entry may be one of them, so its own ledger takes over the report at
    /// once.
    auto makeReport() -> usage::Report;
    /// Takes over the report of another entry.
    auto handleReport(const usage::Report &report) -> void;

    /// Starts reporting to the platform with the fencing token \p token.
    auto beginTerm(std::uint64_t token) -> void;
    auto endTerm() -> void;
    /// \param entries names of the live entries
    auto tick(const std::set<std::string> &entries) -> void;

    /// Number of calls to the store and to the platform's interface.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    auto apply(const usage::Event &event) -> void;
    auto execute(const usage::ReadRecord &action) -> void;
    auto execute(const usage::WriteRecord &action) -> void;
    auto execute(const usage::Send &action) -> void;
    auto execute(const usage::SkippedWindows &action) -> void;
    auto handleRecord(std::uint64_t call, const http::Result &result) -> void;
    auto handleSendResult(const usage::Send &action, const http::Result &result) -> void;

    UsageOptions options_;
    UsageCallbacks callbacks_;
    http::Client client_;
    WallClock clock_;
    usage::Tally tally_;
    usage::State state_;
    std::uint64_t reportNumber_ = 0; ///< selects the earlier window that a report contains
    std::uint64_t calls_ = 0;
};

} // namespace auburnspread::gateway
