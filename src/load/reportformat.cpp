#include "load/report.h"

#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace auburnspread::load
{

namespace
{

using Json = nlohmann::ordered_json;

auto milliseconds(Duration duration) -> double
{
    constexpr double MicrosPerMillisecond = 1000;
    return static_cast<double>(duration.count()) / MicrosPerMillisecond;
}

auto seconds(Duration duration) -> double
{
    constexpr double MillisecondsPerSecond = 1000;
    return milliseconds(duration) / MillisecondsPerSecond;
}

/// Part of \p whole, rounded to four digits; 0 of nothing.
auto share(std::uint64_t part, std::uint64_t whole) -> double
{
    constexpr double Digits = 10'000;
    return whole == 0 ? 0 : std::round(static_cast<double>(part) / static_cast<double>(whole) * Digits) / Digits;
}

auto percentilesJson(const Percentiles &values) -> Json
{
    return { { "p50", milliseconds(values.p50) }, { "p95", milliseconds(values.p95) }, { "p99", milliseconds(values.p99) } };
}

auto flowJson(const FlowReport &flow, Duration duration) -> Json
{
    return { { "flow", flow.flow },
             { "class", flow.requestClass },
             { "tier", flow.tier },
             { "offered", flow.offered },
             { "attainment",
               { { "first_token", share(flow.firstTokenMet, flow.streams) },
                 { "pace", share(flow.paceMet, flow.streams) },
                 { "answer", share(flow.answerMet, flow.offered) },
                 { "on_time", share(flow.onTime, flow.offered) } } },
             { "good", flow.good },
             { "goodput_per_s", static_cast<double>(flow.good) / seconds(duration) },
             { "results", flow.results },
             { "refusals", flow.refusals },
             { "outcomes", flow.outcomes },
             { "repeats", flow.repeats },
             { "redirects", flow.redirects },
             { "longest_silence_ms", milliseconds(flow.longestSilence) },
             { "first_token_ms", percentilesJson(flow.firstToken) },
             { "answer_ms", percentilesJson(flow.answer) },
             { "longest_gap_ms", percentilesJson(flow.longestGap) } };
}

auto tokensJson(const TokenReport &tokens) -> Json
{
    return { { "generated", tokens.generated }, { "delivered", tokens.delivered },
             { "wasted", tokens.wasted() },     { "wasted_share", share(tokens.wasted(), tokens.generated) },
             { "cut_off", tokens.cutOff },      { "duplicated", tokens.duplicated },
             { "discarded", tokens.discarded }, { "unlogged", tokens.unlogged } };
}

auto violationsJson(const Violations &violations) -> Json
{
    return { { "total", violations.total() },
             { "wrong_answers", violations.wrongAnswers },
             { "silent_cuts", violations.silentCuts },
             { "unterminated", violations.unterminated },
             { "not_run_but_ran", violations.notRunButRan },
             { "ran_more_than_once", violations.ranMoreThanOnce },
             { "refused_without_reason", violations.refusedWithoutReason },
             { "refused_without_outcome", violations.refusedWithoutOutcome },
             { "examples", violations.examples } };
}

auto timelineJson(const std::vector<TimelinePoint> &points) -> Json
{
    Json json{ { "offered", Json::array() }, { "good", Json::array() }, { "refused", Json::array() } };
    for (const auto &point : points) {
        json["offered"].push_back(point.offered);
        json["good"].push_back(point.good);
        json["refused"].push_back(point.refused);
    }
    return json;
}

auto attemptJson(const AttemptRecord &attempt) -> Json
{
    return { { "result", resultName(attempt.result) }, { "status", attempt.status }, { "reason", attempt.reason },
             { "outcome", attempt.outcome },           { "entry", attempt.entry },   { "end_ms", milliseconds(attempt.end) } };
}

auto callJson(const CallRecord &call, const Scenario &scenario) -> Json
{
    Json json{ { "call", call.number },           { "flow", scenario.flows[call.flow].name },
               { "workspace", call.workspace },   { "stream", call.stream },
               { "digest", call.digest },         { "key", call.key },
               { "at_ms", milliseconds(call.at) } };
    if (call.firstToken) {
        json["first_token_ms"] = milliseconds(*call.firstToken);
    }
    json["end_ms"] = milliseconds(call.end);
    json["tokens"] = call.tokens;
    json["longest_gap_ms"] = milliseconds(call.longestGap);
    json["redirects"] = call.redirects;
    json["lookups"] = call.lookups;
    json["attempts"] = Json::array();
    for (const auto &attempt : call.attempts) {
        json["attempts"].push_back(attemptJson(attempt));
    }
    return json;
}

auto percent(std::uint64_t part, std::uint64_t whole) -> std::string
{
    constexpr double Whole = 100;
    if (whole == 0) {
        return "-";
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << Whole * static_cast<double>(part) / static_cast<double>(whole) << '%';
    return text.str();
}

auto countsText(const std::map<std::string, std::uint32_t> &counts) -> std::string
{
    std::ostringstream text;
    for (const auto &[name, count] : counts) {
        text << ' ' << name << '=' << count;
    }
    return text.str();
}

auto writeFlow(std::ostream &out, const FlowReport &flow, Duration duration) -> void
{
    constexpr int NameWidth = 18;
    constexpr int Width = 9;
    out << std::left << std::setw(NameWidth) << flow.flow << std::right << std::setw(5) << flow.tier << std::setw(Width) << flow.offered << std::setw(Width)
        << percent(flow.firstTokenMet, flow.streams) << std::setw(Width) << percent(flow.paceMet, flow.streams) << std::setw(Width)
        << percent(flow.answerMet, flow.offered) << std::setw(Width) << percent(flow.onTime, flow.offered) << std::setw(Width) << std::fixed
        << std::setprecision(2) << static_cast<double>(flow.good) / seconds(duration) << std::setw(Width) << std::setprecision(0)
        << milliseconds(flow.firstToken.p50) << std::setw(Width) << milliseconds(flow.firstToken.p95) << std::setw(Width) << milliseconds(flow.answer.p95)
        << '\n';
}

} // namespace

auto toJson(const RunReport &report) -> nlohmann::ordered_json
{
    Json json{ { "scenario", report.scenario }, { "policy", report.policy }, { "seed", report.seed }, { "duration_ms", milliseconds(report.duration) } };
    json["flows"] = Json::array();
    for (const auto &flow : report.flows) {
        json["flows"].push_back(flowJson(flow, report.duration));
    }
    json["tokens"] = tokensJson(report.tokens);
    json["violations"] = violationsJson(report.violations);
    json["faults"] = Json::array();
    for (const auto &fault : report.faults) {
        json["faults"].push_back({ { "name", fault.name }, { "at_ms", milliseconds(fault.at) }, { "target", fault.target }, { "applied", fault.applied } });
    }
    json["engine_starts"] = report.engineStarts;
    json["unreadable_logs"] = report.unreadableLogs;
    for (const auto &[flow, points] : report.timeline) {
        json["timeline"][flow] = timelineJson(points);
    }
    return json;
}

auto toJsonLines(const std::vector<CallRecord> &calls, const Scenario &scenario) -> std::string
{
    std::string lines;
    for (const auto &call : calls) {
        lines += callJson(call, scenario).dump() + '\n';
    }
    return lines;
}

auto toTable(const RunReport &report) -> std::string
{
    std::ostringstream out;
    out << "scenario " << report.scenario << ", policy " << report.policy << ", seed " << report.seed << ", " << seconds(report.duration) << " s\n";
    out << "flow               tier  offered    first     pace   answer  on time   good/s  ttft50   ttft95    ans95 (ms)\n";
    for (const auto &flow : report.flows) {
        writeFlow(out, flow, report.duration);
    }
    for (const auto &flow : report.flows) {
        out << "  " << flow.flow << ':' << countsText(flow.results) << " |" << countsText(flow.refusals) << " |" << countsText(flow.outcomes) << " | repeats "
            << flow.repeats << ", redirects " << flow.redirects << ", longest silence " << milliseconds(flow.longestSilence) << " ms\n";
    }
    const auto &tokens = report.tokens;
    out << "tokens: generated " << tokens.generated << ", delivered " << tokens.delivered << ", wasted " << tokens.wasted() << " ("
        << percent(tokens.wasted(), tokens.generated) << "): cut off " << tokens.cutOff << ", duplicated " << tokens.duplicated << ", discarded "
        << tokens.discarded << "; unlogged " << tokens.unlogged << '\n';
    const auto &violations = report.violations;
    out << "violations: wrong " << violations.wrongAnswers << ", silent cuts " << violations.silentCuts << ", unterminated " << violations.unterminated
        << ", not-run but ran " << violations.notRunButRan << ", ran more than once " << violations.ranMoreThanOnce << ", no reason "
        << violations.refusedWithoutReason << ", no outcome " << violations.refusedWithoutOutcome << '\n';
    for (const auto &example : violations.examples) {
        out << "  " << example << '\n';
    }
    for (const auto &fault : report.faults) {
        out << (fault.applied ? "" : "fault not applied: " + fault.name + " on " + fault.target + "\n");
    }
    return out.str();
}

} // namespace auburnspread::load
