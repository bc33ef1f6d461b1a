/// \file
/// Counts and logs what the tasks of an entry do. Every refusal and retry reason has a counter from the start.

#pragma once

#include "core/routing/actions.h"
#include "entry/backend/backendtask.h"
#include "runtime/metrics/reasoncounters.h"
#include "runtime/metrics/registry.h"

#include <map>
#include <string>

namespace auburnspread::entry
{

/// Each function belongs to one task; the instruments behind them may be scraped from any thread.
class Accounting
{
public:
    Accounting();

    /// From the caller task, for each refusal sent to a caller.
    auto countRefusal(const routing::Refuse &refusal, const std::string &detail) -> void;
    /// From the router task, for each action.
    auto countAction(const routing::Action &action) -> void;
    /// From the backend task, for each failed attempt.
    auto countFailure(const AttemptReport &report) -> void;
    /// A timeout counts with the failures though the attempt goes on.
    auto countSilence(const AttemptReport &report) -> void;

    /// Prometheus text, from any thread.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct ClassInstruments {
        metrics::Counter &completed;
        metrics::Counter &onTime;
        metrics::Counter &tokens;
        metrics::Histogram &firstToken;
        metrics::Histogram &answer;
    };

    auto countCompleted(const routing::Completed &completed) -> void;
    auto instrumentsOf(const std::string &requestClass) -> ClassInstruments &;

    metrics::Registry registry_;
    metrics::EnumCounters<Reason> refusals_;
    metrics::EnumCounters<Failure> retries_;
    metrics::EnumCounters<Failure> failures_;
    metrics::Counter &dispatches_;
    metrics::Counter &resumed_;
    metrics::Counter &wastedTokens_;
    std::map<std::string, ClassInstruments> classes_; ///< used by the router task only
};

} // namespace auburnspread::entry
