#include "runtime/metrics/reasoncounters.h"

namespace auburnspread::metrics
{

namespace
{

constexpr auto ReasonLabel = "reason";

auto reasonNames() -> std::vector<std::string_view>
{
    std::vector<std::string_view> names;
    names.reserve(reasonTable().size());
    for (const auto &entry : reasonTable()) {
        names.push_back(entry.name);
    }
    return names;
}

auto failureNames() -> std::vector<std::string_view>
{
    std::vector<std::string_view> names;
    names.reserve(failureTable().size());
    for (const auto &entry : failureTable()) {
        names.push_back(entry.name);
    }
    return names;
}

} // namespace

auto declareRefusals(Registry &registry) -> EnumCounters<Reason>
{
    constexpr Description Refusals{ .name = "auburnspread_refusals_total", .help = "Requests refused, by published reason." };
    return declareCounters<Reason>(registry, Refusals, ReasonLabel, reasonNames());
}

auto declareRetries(Registry &registry) -> EnumCounters<Failure>
{
    constexpr Description Retries{ .name = "auburnspread_retries_total", .help = "Attempts started again, by the failure before." };
    return declareCounters<Failure>(registry, Retries, ReasonLabel, failureNames());
}

auto declareAttemptFailures(Registry &registry) -> EnumCounters<Failure>
{
    constexpr Description Failures{ .name = "auburnspread_attempt_failures_total", .help = "Attempts that failed, retried or not." };
    return declareCounters<Failure>(registry, Failures, ReasonLabel, failureNames());
}

} // namespace auburnspread::metrics
