#include "core/passthrough/internal/crashes.h"

#include <algorithm>

namespace auburnspread::passthrough::detail
{

namespace
{

/// Two breaks may be chance where connections are reset widely; a third server is never risked.
constexpr std::uint32_t MostCrashes = 2;
/// Callers come back within minutes; afterwards the server may have been mended.
constexpr Duration CrashMemory = std::chrono::minutes(5);
constexpr std::size_t MostRecords = 10'000;

} // namespace

auto noteCrash(RouterState &state, Fingerprint fingerprint, Actions &actions) -> void
{
    if (fingerprint == Fingerprint{} || state.crashes.size() >= MostRecords) {
        return;
    }
    auto &record = state.crashes[fingerprint];
    record.crashes += 1;
    record.at = state.now;
    actions.emplace_back(TellCrashes{ .fingerprint = fingerprint, .crashes = record.crashes });
}

auto hearCrashes(RouterState &state, const CrashesHeard &heard) -> void
{
    if (state.crashes.size() >= MostRecords) {
        return;
    }
    auto &record = state.crashes[heard.fingerprint];
    // each entry counts what it saw, and a crash seen there came after ours was told
    record.crashes = std::max(record.crashes + 1, heard.crashes);
    record.at = state.now;
}

auto clearCrashes(RouterState &state, Fingerprint fingerprint) -> void
{
    state.crashes.erase(fingerprint);
}

auto isWithheld(const RouterState &state, Fingerprint fingerprint) -> bool
{
    const auto found = state.crashes.find(fingerprint);
    return found != state.crashes.end() && found->second.crashes >= MostCrashes && state.now - found->second.at < CrashMemory;
}

auto expireCrashes(RouterState &state) -> void
{
    std::erase_if(state.crashes, [&state](const auto &item) { return state.now - item.second.at >= CrashMemory; });
}

} // namespace auburnspread::passthrough::detail
