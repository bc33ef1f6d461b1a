/// \file
/// Carries out a scenario's faults: control messages to stand-ins, calls on entries' admin addresses, and signals to
/// processes that the site's own script started.

#pragma once

#include "load/httpclient.h"
#include "load/scenario.h"
#include "load/site.h"
#include "runtime/task/eventloop.h"

#include <string>
#include <vector>

namespace auburnspread::load
{

/// A fault as it was carried out, for the report.
struct FaultRecord {
    std::string name;
    Duration at{};
    std::string target;
    std::string address;  ///< where the target serves
    bool kills = false;   ///< by SIGKILL: the target cannot end its answers properly
    bool applied = false; ///< the message was answered with 2xx, or the signal was delivered
};

class FaultRunner
{
public:
    /// \throws std::runtime_error if a fault names a target that the site lacks.
    FaultRunner(task::EventLoop &loop, const Scenario &scenario, const Site &site);

    auto start() -> void;
    [[nodiscard]] auto records() const -> const std::vector<FaultRecord> &;

private:
    auto strike(std::size_t index) -> void;
    auto post(const std::string &address, const std::string &path, const std::string &body, std::size_t index) -> void;

    struct Blow {
        Fault fault;
        SiteProcess target;
    };
    task::EventLoop &loop_;
    HttpClient client_;
    std::vector<Blow> blows_;
    std::vector<FaultRecord> records_;
    std::vector<task::Watch> timers_;
    std::vector<HttpCallPointer> calls_;
};

} // namespace auburnspread::load
