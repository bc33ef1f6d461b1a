#include "core/passthrough/internal/crashes.h"

#include <algorithm>

namespace auburnspread::passthrough::detail
{

namespace
{

/// A request is quarantined after this many crashes. Two may be a coincidence where many connections are reset, but a third server is
/// never put at risk.
constexpr std::uint32_t MaxCrashes = 2;
/// Callers retry within minutes; after that the fault of the server may have been fixed.
constexpr Duration CrashRecordLifetime = std::chrono::minutes(5);
constexpr std::size_t MaxRecords = 10'000;

} // namespace

auto recordCrash(RouterState &state, Fingerprint fingerprint, Actions &actions) -> void
{
    if (fingerprint == Fingerprint{} || state.crashes.size() >= MaxRecords) {
        return;
    }
    auto &record = state.crashes[fingerprint];
    record.crashes += 1;
    record.at = state.now;
    actions.emplace_back(ReportCrashes{ .fingerprint = fingerprint, .crashes = record.crashes });
}

auto mergeReportedCrashes(RouterState &state, const CrashesReported &report) -> void
{
    if (state.crashes.size() >= MaxRecords) {
        return;
    }
    auto &record = state.crashes[report.fingerprint];
    // each entry counts the crashes that it saw, and the reported crash happened after this entry reported its own
    record.crashes = std::max(record.crashes + 1, report.crashes);
    record.at = state.now;
}

auto clearCrashes(RouterState &state, Fingerprint fingerprint) -> void
{
    state.crashes.erase(fingerprint);
}

auto isQuarantined(const RouterState &state, Fingerprint fingerprint) -> bool
{
    const auto found = state.crashes.find(fingerprint);
    return found != state.crashes.end() && found->second.crashes >= MaxCrashes && state.now - found->second.at < CrashRecordLifetime;
}

auto expireCrashes(RouterState &state) -> void
{
    std::erase_if(state.crashes, [&state](const auto &item) { return state.now - item.second.at >= CrashRecordLifetime; });
}

} // namespace auburnspread::passthrough::detail
