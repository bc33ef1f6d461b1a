/// \file
/// What the stand-ins ran, read from their execution logs. A crash loses a stand-in's log, so the logs are read
/// again and again during a run and merged.

#pragma once

#include "load/httpclient.h"
#include "load/site.h"
#include "runtime/task/eventloop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburnspread::load
{

/// One run of a model call on an engine.
struct Execution {
    std::string engine;
    std::string attempt;
    std::string digest;
    bool started = false;
    bool finished = false;
    std::uint32_t tokens = 0;
};

struct ExecutionLogs {
    std::vector<Execution> engines;
    std::map<std::string, std::uint32_t> serviceRuns;                 ///< by idempotency key, over all servers
    std::map<std::string, std::vector<std::uint32_t>> startedByRound; ///< executions an engine had started at each reading
    std::vector<std::string> unreadable;                              ///< stand-ins whose log could not be read at the end
};

/// Reads the logs of all engines and services of a site.
class ExecutionReader
{
public:
    ExecutionReader(task::EventLoop &loop, const Site &site);
    ~ExecutionReader();
    ExecutionReader(const ExecutionReader &) = delete;
    auto operator=(const ExecutionReader &) -> ExecutionReader & = delete;

    /// Asks every stand-in once; calls \p onDone when all have answered, failed or timed out.
    auto readAll(std::function<void()> onDone) -> void;
    /// What was read so far.
    [[nodiscard]] auto logs() const -> ExecutionLogs;

private:
    struct Round;
    auto takeLog(const SiteProcess &process, const std::string &body) -> void;

    task::EventLoop &loop_;
    HttpClient client_;
    std::vector<SiteProcess> standIns_;
    std::map<std::string, Execution> executions_;                              ///< by engine, attempt and digest
    std::map<std::pair<std::string, std::string>, std::uint32_t> serviceRuns_; ///< by server and key
    std::map<std::string, std::vector<std::uint32_t>> startedByRound_;
    std::vector<std::string> unreadable_; ///< in the latest round
    std::shared_ptr<Round> round_;
};

} // namespace auburnspread::load
