/// \file
/// Counts what this entry's requests use, tells those that may lead, and carries out what the usage core asks, while this entry leads.

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
    std::string store; ///< address
    std::string api;   ///< address of the platform's interface
    std::string entry;
    std::uint64_t incarnation = 0;
    usage::Options windows;
};

struct UsageCallbacks {
    std::function<void(std::uint64_t token)> onTokenRefused;
    /// A window was sent, declined or left out.
    std::function<void(usage::Window window, std::string_view outcome, std::uint64_t requests)> onWindow;
    std::function<void(std::string_view what, const std::string &detail)> onInvalid;
};

class UsageReports
{
public:
    UsageReports(task::EventLoop &loop, UsageOptions options, UsageCallbacks callbacks);

    /// A request of the workspace began to run.
    auto noteBegun(const std::string &workspace, TimePoint at) -> void;
    /// For those that may lead. This entry may be one of them, so it hears its own report at once.
    auto makeReport() -> usage::Report;
    auto hear(const usage::Report &report) -> void;

    auto beginTerm(std::uint64_t token) -> void;
    auto endTerm() -> void;
    /// \p entries: names of those that live
    auto tick(const std::set<std::string> &entries) -> void;

    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    auto apply(const usage::Event &event) -> void;
    auto run(const usage::ReadRecord &action) -> void;
    auto run(const usage::WriteRecord &action) -> void;
    auto run(const usage::Send &action) -> void;
    auto run(const usage::LeftOut &action) -> void;
    auto takeRecord(std::uint64_t call, const http::Result &result) -> void;
    auto takeSent(const usage::Send &action, const http::Result &result) -> void;

    UsageOptions options_;
    UsageCallbacks callbacks_;
    http::Client client_;
    WallClock clock_;
    usage::Tally tally_;
    usage::State state_;
    std::uint64_t turn_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace auburnspread::gateway
