/// \file
/// Counters by enumerator: every name of a table stands at zero from the start, so that an alert on a rate sees the
/// first refusal or retry, and a reader of /metrics sees which reasons there are.

#pragma once

#include "core/base/failure.h"
#include "core/base/reason.h"
#include "runtime/metrics/registry.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnspread::metrics
{

/// One counter for each enumerator of a table whose enumerators count from 0.
template <typename Enum>
class EnumCounters
{
public:
    explicit EnumCounters(std::vector<Counter *> counters)
        : counters_(std::move(counters))
    {
    }

    auto add(Enum value, std::uint64_t amount = 1) -> void
    {
        counters_.at(static_cast<std::size_t>(value))->add(amount);
    }

private:
    std::vector<Counter *> counters_;
};

/// Declares \p description with one series for each of \p names, in the enumerators' order, below the label \p label.
template <typename Enum>
auto declareCounters(Registry &registry, const Description &description, const std::string &label, const std::vector<std::string_view> &names)
    -> EnumCounters<Enum>
{
    std::vector<Counter *> counters;
    counters.reserve(names.size());
    for (const auto name : names) {
        counters.push_back(&registry.counter(description, { { .name = label, .value = std::string(name) } }));
    }
    return EnumCounters<Enum>(std::move(counters));
}

/// auburnspread_refusals_total{reason}
auto declareRefusals(Registry &registry) -> EnumCounters<Reason>;

/// auburnspread_retries_total{reason}: retries by the failure that caused them.
auto declareRetries(Registry &registry) -> EnumCounters<Failure>;

/// auburnspread_attempt_failures_total{reason}: attempts by how they failed, retried or not.
auto declareAttemptFailures(Registry &registry) -> EnumCounters<Failure>;

} // namespace auburnspread::metrics
