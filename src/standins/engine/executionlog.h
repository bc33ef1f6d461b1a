/// \file
/// What an engine ran, for tests that ask whether something ran at all, or twice.

#pragma once

#include "standins/engine/batch.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace auburnspread::standins
{

struct Execution {
    std::string attempt;
    std::string digest;
    bool finished = false;
    std::size_t tokens = 0; ///< tokens made, also those that nobody received
};

/// The latest executions; older ones are forgotten.
class ExecutionLog
{
public:
    auto start(BatchId id, std::string attempt, std::string digest) -> void;
    auto countToken(BatchId id) -> void;
    auto finish(BatchId id) -> void;
    /// The request was cancelled or cut: its record stays unfinished.
    auto abandon(BatchId id) -> void;

    [[nodiscard]] auto toJson() const -> nlohmann::json;

private:
    std::deque<Execution> executions_;
    std::unordered_map<BatchId, std::size_t> open_; ///< number of the record, counted over the forgotten ones
    std::size_t forgotten_ = 0;

    auto find(BatchId id) -> Execution *;
};

} // namespace auburnspread::standins
