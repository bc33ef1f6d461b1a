/// \file
/// The figures of a run, computed from what the callers saw and what the stand-ins ran.

#pragma once

#include "core/configuration/document.h"
#include "load/callrecord.h"
#include "load/executions.h"
#include "load/faults.h"
#include "load/scenario.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace auburnspread::load
{

/// 50th, 95th and 99th percentile; zero if there was no sample.
struct Percentiles {
    Duration p50{};
    Duration p95{};
    Duration p99{};
};

auto percentilesOf(std::vector<Duration> samples) -> Percentiles;

struct FlowReport {
    std::string flow;
    std::string requestClass;
    int tier = 0;
    std::uint32_t offered = 0;
    std::uint32_t streams = 0;       ///< offered calls that asked for a stream
    std::uint32_t firstTokenMet = 0; ///< streams answered whole with the first token within its target
    std::uint32_t paceMet = 0;       ///< streams answered whole whose mean time between tokens is within its target
    std::uint32_t answerMet = 0;     ///< calls answered whole within the answer's target
    std::uint32_t onTime = 0;        ///< answered whole, first token (of a stream) and answer within their targets
    std::uint32_t good = 0;          ///< on time, asked once, and not executed twice if not repeatable
    std::uint32_t repeats = 0;       ///< requests beyond a call's first
    std::uint32_t redirects = 0;
    std::map<std::string, std::uint32_t> results;  ///< how calls ended, by name
    std::map<std::string, std::uint32_t> refusals; ///< refusals and error events of all attempts, by reason
    std::map<std::string, std::uint32_t> outcomes; ///< the same by outcome
    Duration longestSilence{};                     ///< the longest part of the run in which no answer of this flow was completed
    Percentiles firstToken;                        ///< of streams answered whole
    Percentiles answer;                            ///< of calls answered whole
    Percentiles longestGap;                        ///< between tokens, of streams answered whole
};

/// Tokens that engines made, and what became of them.
struct TokenReport {
    std::uint64_t generated = 0;
    std::uint64_t delivered = 0;  ///< in whole right answers
    std::uint64_t duplicated = 0; ///< beyond what an answered call needed
    std::uint64_t cutOff = 0;     ///< of unfinished executions of calls that got no whole answer
    std::uint64_t discarded = 0;  ///< of finished executions of calls that got no whole answer
    std::uint64_t unlogged = 0;   ///< delivered tokens whose engine's log was lost in a crash

    [[nodiscard]] auto wasted() const -> std::uint64_t
    {
        return duplicated + cutOff + discarded;
    }
};

/// Promises broken. Every count is zero in a right run; the examples name calls for a search in the logs.
struct Violations {
    std::uint32_t wrongAnswers = 0;
    std::uint32_t silentCuts = 0; ///< not by an entry that the scenario killed
    std::uint32_t unterminated = 0;
    std::uint32_t notRunButRan = 0;    ///< every request of the call was refused as not-run, yet an engine or service ran it
    std::uint32_t ranMoreThanOnce = 0; ///< calls not repeatable with more than one execution
    std::uint32_t refusedWithoutReason = 0;
    std::uint32_t refusedWithoutOutcome = 0;
    std::vector<std::string> examples;

    [[nodiscard]] auto total() const -> std::uint32_t
    {
        return wrongAnswers + silentCuts + unterminated + notRunButRan + ranMoreThanOnce + refusedWithoutReason + refusedWithoutOutcome;
    }
};

/// Calls that arrived within one second of the run.
struct TimelinePoint {
    std::uint32_t offered = 0;
    std::uint32_t good = 0;
    std::uint32_t refused = 0;
};

struct RunReport {
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    Duration duration{};
    std::vector<FlowReport> flows;
    TokenReport tokens;
    Violations violations;
    std::map<std::string, std::vector<TimelinePoint>> timeline; ///< by flow, by second
    std::vector<FaultRecord> faults;
    std::map<std::string, std::vector<std::uint32_t>> engineStarts; ///< executions an engine had started, about each second
    std::vector<std::string> unreadableLogs;
};

/// What the report is computed from.
struct RunFacts {
    const Scenario *scenario = nullptr;
    const configuration::Document *document = nullptr;
    std::string policy;
    std::vector<CallRecord> calls;
    ExecutionLogs logs;
    std::vector<FaultRecord> faults;
};

auto makeReport(const RunFacts &facts) -> RunReport;

auto toJson(const RunReport &report) -> nlohmann::ordered_json;
auto toTable(const RunReport &report) -> std::string;
/// One JSON line a call with all its attempts, for searching what went wrong.
auto toJsonLines(const std::vector<CallRecord> &calls, const Scenario &scenario) -> std::string;

} // namespace auburnspread::load
