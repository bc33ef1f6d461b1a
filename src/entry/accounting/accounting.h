/// \file
/// Counts and logs what the tasks of an entry do. Every refusal and retry reason has a counter from the start.

#pragma once

#include "core/base/failure.h"
#include "core/base/reason.h"
#include "core/routing/actions.h"
#include "entry/backend/backendtask.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburnspread::entry
{

class Accounting
{
public:
    explicit Accounting(std::string entry);

    /// From the caller task, for each refusal sent to a caller.
    auto countRefusal(const routing::Refuse &refusal, const std::string &detail) -> void;
    /// From the router task, for each action.
    auto countAction(const routing::Action &action) -> void;
    /// From the backend task, for each failed attempt.
    auto countFailure(const AttemptReport &report) -> void;

    /// Prometheus text.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct ClassCounters {
        std::uint64_t completed = 0;
        std::uint64_t onTime = 0;
        std::uint64_t tokens = 0;
    };

    std::string entry_;
    mutable std::mutex mutex_;
    std::vector<std::uint64_t> refusals_; ///< by Reason
    std::vector<std::uint64_t> retries_;  ///< by Failure
    std::vector<std::uint64_t> failures_; ///< by Failure
    std::map<std::string, ClassCounters> classes_;
    std::uint64_t dispatches_ = 0;
    std::uint64_t wastedTokens_ = 0;
};

} // namespace auburnspread::entry
