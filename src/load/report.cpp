#include "load/report.h"

#include "load/callbody.h"

#include <algorithm>
#include <set>

namespace auburnspread::load
{

namespace
{

constexpr std::size_t MostExamples = 20;

/// What the stand-ins ran, by what callers know of their calls.
struct Runs {
    struct OfDigest {
        std::uint64_t tokens = 0;
        std::uint64_t cutOff = 0;
        std::uint64_t finished = 0;
        std::uint32_t started = 0;
    };
    std::map<std::string, OfDigest> byDigest;
    std::map<std::string, std::uint32_t> byKey;
};

auto gatherRuns(const ExecutionLogs &logs) -> Runs
{
    Runs runs{ .byKey = logs.serviceRuns };
    for (const auto &execution : logs.engines) {
        auto &digest = runs.byDigest[execution.digest];
        digest.tokens += execution.tokens;
        digest.started += execution.started ? 1 : 0;
        (execution.finished ? digest.finished : digest.cutOff) += execution.tokens;
    }
    return runs;
}

auto startedRuns(const Runs &runs, const CallRecord &call) -> std::uint32_t
{
    if (call.service) {
        const auto found = runs.byKey.find(call.key);
        return found == runs.byKey.end() ? 0 : found->second;
    }
    const auto found = runs.byDigest.find(call.digest);
    return found == runs.byDigest.end() ? 0 : found->second.started;
}

auto meanGap(const CallRecord &call) -> Duration
{
    if (!call.firstToken || call.tokens < 2) {
        return Duration::zero();
    }
    return (call.end - *call.firstToken) / (call.tokens - 1);
}

/// Which of its class's targets an answered call met.
struct Met {
    bool firstToken = false;
    bool pace = false;
    bool answer = false;
    bool onTime = false;
};

auto targetsMet(const CallRecord &call, const configuration::RequestClass &requestClass) -> Met
{
    if (call.result() != CallResult::Answered) {
        return {};
    }
    Met met{ .answer = call.end <= requestClass.answerTarget };
    if (call.stream) {
        met.firstToken = call.firstToken && *call.firstToken <= requestClass.firstTokenTarget;
        met.pace = meanGap(call) <= requestClass.tokenTarget;
    }
    met.onTime = met.answer && (met.firstToken || !call.stream);
    return met;
}

auto isGood(const CallRecord &call, const Met &met, const Runs &runs) -> bool
{
    return met.onTime && call.attempts.size() == 1 && (call.repeatable || startedRuns(runs, call) <= 1);
}

auto countAttempts(const CallRecord &call, FlowReport &flow) -> void
{
    flow.repeats += call.attempts.empty() ? 0 : static_cast<std::uint32_t>(call.attempts.size() - 1);
    flow.redirects += call.redirects;
    for (const auto &attempt : call.attempts) {
        if (attempt.result == CallResult::Refused || attempt.result == CallResult::CutWithError) {
            ++flow.refusals[attempt.reason.empty() ? "(none)" : attempt.reason];
            ++flow.outcomes[attempt.outcome.empty() ? "(none)" : attempt.outcome];
        }
    }
}

auto countCall(const CallRecord &call, const Met &met, bool good, FlowReport &flow) -> void
{
    ++flow.offered;
    flow.streams += call.stream ? 1 : 0;
    flow.firstTokenMet += met.firstToken ? 1 : 0;
    flow.paceMet += met.pace ? 1 : 0;
    flow.answerMet += met.answer ? 1 : 0;
    flow.onTime += met.onTime ? 1 : 0;
    flow.good += good ? 1 : 0;
    ++flow.results[std::string(resultName(call.result()))];
    countAttempts(call, flow);
}

/// Times of a flow's answered calls.
struct Samples {
    std::vector<Duration> ends; ///< from the run's start
    std::vector<Duration> firstToken;
    std::vector<Duration> answer;
    std::vector<Duration> longestGap;
};

auto collectSamples(const CallRecord &call, Samples &samples) -> void
{
    if (call.result() != CallResult::Answered) {
        return;
    }
    samples.ends.push_back(call.at + call.end);
    samples.answer.push_back(call.end);
    if (call.stream && call.firstToken) {
        samples.firstToken.push_back(*call.firstToken);
        samples.longestGap.push_back(call.longestGap);
    }
}

auto longestSilence(std::vector<Duration> ends, Duration duration) -> Duration
{
    std::ranges::sort(ends);
    Duration longest{};
    Duration last{};
    for (const auto end : ends) {
        longest = std::max(longest, std::min(end, duration) - last);
        last = std::min(end, duration);
    }
    return std::max(longest, duration - last);
}

auto countTokens(const std::vector<CallRecord> &calls, const Runs &runs) -> TokenReport
{
    std::map<std::string, std::uint64_t> delivered;
    for (const auto &call : calls) {
        if (!call.service) {
            delivered[call.digest] += call.result() == CallResult::Answered ? call.tokens : 0;
        }
    }
    TokenReport report;
    for (const auto &[digest, run] : runs.byDigest) {
        report.generated += run.tokens;
        const auto found = delivered.find(digest);
        const std::uint64_t useful = found == delivered.end() ? 0 : found->second;
        if (useful == 0) {
            report.cutOff += run.cutOff;
            report.discarded += run.finished;
        } else {
            report.duplicated += run.tokens > useful ? run.tokens - useful : 0;
        }
    }
    for (const auto &[digest, useful] : delivered) {
        report.delivered += useful;
        const auto found = runs.byDigest.find(digest);
        const std::uint64_t made = found == runs.byDigest.end() ? 0 : found->second.tokens;
        report.unlogged += useful > made ? useful - made : 0;
    }
    return report;
}

auto saysNotRun(const AttemptRecord &attempt) -> bool
{
    return (attempt.result == CallResult::Refused || attempt.result == CallResult::CutWithError) && attempt.outcome == "not-run";
}

class ViolationCounter
{
public:
    ViolationCounter(const Scenario &scenario, const Runs &runs, const std::vector<FaultRecord> &faults)
        : scenario_(scenario)
        , runs_(runs)
    {
        for (const auto &fault : faults) {
            if (fault.kills) {
                killed_.insert(fault.address);
            }
        }
    }

    auto check(const CallRecord &call) -> void
    {
        const auto result = call.result();
        countIf(result == CallResult::Wrong, violations_.wrongAnswers, call, "wrong answer: " + call.detail);
        countIf(result == CallResult::CutSilently && !killed_.contains(call.attempts.back().entry),
                violations_.silentCuts,
                call,
                "cut silently after " + std::to_string(call.tokens) + " tokens");
        countIf(result == CallResult::Unterminated, violations_.unterminated, call, "no terminator");
        checkRuns(call);
        for (const auto &attempt : call.attempts) {
            const bool refused = attempt.result == CallResult::Refused;
            countIf(
                refused && attempt.reason.empty(), violations_.refusedWithoutReason, call, "status " + std::to_string(attempt.status) + " without a reason");
            countIf(refused && attempt.outcome.empty(),
                    violations_.refusedWithoutOutcome,
                    call,
                    "status " + std::to_string(attempt.status) + " without an outcome");
        }
    }

    [[nodiscard]] auto violations() const -> const Violations &
    {
        return violations_;
    }

private:
    auto checkRuns(const CallRecord &call) -> void
    {
        if (scenario_.flows[call.flow].sameBody) {
            return; // equal bodies share one digest: their executions cannot be told apart
        }
        const auto runs = startedRuns(runs_, call);
        const bool neverRun = !call.attempts.empty() && std::ranges::all_of(call.attempts, saysNotRun);
        const std::string count = std::to_string(runs) + " executions";
        countIf(neverRun && runs > 0, violations_.notRunButRan, call, "refused as not-run, but " + count);
        countIf(!call.repeatable && runs > 1, violations_.ranMoreThanOnce, call, "not repeatable, but " + count);
    }

    auto countIf(bool violated, std::uint32_t &counter, const CallRecord &call, const std::string &what) -> void
    {
        if (!violated) {
            return;
        }
        ++counter;
        if (violations_.examples.size() >= MostExamples) {
            return;
        }
        const auto &flow = scenario_.flows[call.flow].name;
        const std::string entry = call.attempts.empty() ? std::string() : call.attempts.back().entry;
        violations_.examples.push_back(flow + " call " + std::to_string(call.number) + " at " + std::to_string(call.at.count() / 1000) + " ms, entry " + entry
                                       + ", digest " + call.digest + ", key " + call.key + ": " + what);
    }

    const Scenario &scenario_;
    const Runs &runs_;
    std::set<std::string> killed_; ///< addresses of entries that a fault killed
    Violations violations_;
};

auto atRank(const std::vector<Duration> &sorted, std::size_t percent) -> Duration
{
    constexpr std::size_t Whole = 100;
    return sorted[std::min(sorted.size() - 1, sorted.size() * percent / Whole)];
}

} // namespace

auto percentilesOf(std::vector<Duration> samples) -> Percentiles
{
    if (samples.empty()) {
        return {};
    }
    std::ranges::sort(samples);
    return { .p50 = atRank(samples, 50), .p95 = atRank(samples, 95), .p99 = atRank(samples, 99) };
}

auto makeReport(const RunFacts &facts) -> RunReport
{
    const auto &scenario = *facts.scenario;
    const auto runs = gatherRuns(facts.logs);
    RunReport report{ .scenario = scenario.name, .policy = facts.policy, .seed = scenario.seed, .duration = scenario.duration };
    std::vector<Samples> samples(scenario.flows.size());
    const auto seconds = static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(scenario.duration).count());
    for (const auto &flow : scenario.flows) {
        const auto &requestClass = findClass(*facts.document, flow.requestClass);
        report.flows.push_back({ .flow = flow.name, .requestClass = flow.requestClass, .tier = requestClass.tier });
        report.timeline[flow.name].resize(seconds);
    }
    ViolationCounter violations(scenario, runs, facts.faults);
    for (const auto &call : facts.calls) {
        const auto &flow = scenario.flows[call.flow];
        const auto met = targetsMet(call, findClass(*facts.document, flow.requestClass));
        const bool good = isGood(call, met, runs);
        countCall(call, met, good, report.flows[call.flow]);
        collectSamples(call, samples[call.flow]);
        violations.check(call);
        auto &point = report.timeline[flow.name].at(static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(call.at).count()));
        ++point.offered;
        point.good += good ? 1 : 0;
        point.refused += call.result() == CallResult::Refused ? 1 : 0;
    }
    for (std::size_t index = 0; index < samples.size(); ++index) {
        report.flows[index].longestSilence = longestSilence(std::move(samples[index].ends), scenario.duration);
        report.flows[index].firstToken = percentilesOf(std::move(samples[index].firstToken));
        report.flows[index].answer = percentilesOf(std::move(samples[index].answer));
        report.flows[index].longestGap = percentilesOf(std::move(samples[index].longestGap));
    }
    report.tokens = countTokens(facts.calls, runs);
    report.violations = violations.violations();
    report.faults = facts.faults;
    report.engineStarts = facts.logs.startedByRound;
    report.unreadableLogs = facts.logs.unreadable;
    return report;
}

} // namespace auburnspread::load
