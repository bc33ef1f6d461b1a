#include "standins/engine/executionlog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburnspread::standins
{

namespace
{

constexpr std::size_t MostExecutions = 100'000;

} // namespace

auto ExecutionLog::start(BatchId id, std::string attempt, std::string digest) -> void
{
    open_[id] = forgotten_ + executions_.size();
    executions_.push_back({ .attempt = std::move(attempt), .digest = std::move(digest) });
    if (executions_.size() > MostExecutions) {
        executions_.pop_front();
        ++forgotten_;
    }
}

auto ExecutionLog::find(BatchId id) -> Execution *
{
    const auto found = open_.find(id);
    if (found == open_.end() || found->second < forgotten_) {
        return nullptr;
    }
    return &executions_[found->second - forgotten_];
}

auto ExecutionLog::countToken(BatchId id) -> void
{
    if (auto *execution = find(id)) {
        ++execution->tokens;
    }
}

auto ExecutionLog::finish(BatchId id) -> void
{
    if (auto *execution = find(id)) {
        execution->finished = true;
    }
    open_.erase(id);
}

auto ExecutionLog::abandon(BatchId id) -> void
{
    open_.erase(id);
}

auto ExecutionLog::toJson() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &execution : executions_) {
        list.push_back({ { "id", execution.attempt },
                         { "digest", execution.digest },
                         { "started", true },
                         { "finished", execution.finished },
                         { "tokens", execution.tokens } });
    }
    return list;
}

} // namespace auburnspread::standins
