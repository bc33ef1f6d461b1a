#include "core/usage/tally.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::usage
{

namespace
{

/// Number of windows before the current one that may still be reported.
constexpr Window KeptWindows = 5;

auto removeBefore(std::map<Window, Counts> &windows, Window oldest) -> void
{
    windows.erase(windows.begin(), windows.lower_bound(oldest));
}

} // namespace

auto windowAt(UnixTime time, Duration length) -> Window
{
    return time / length;
}

auto windowEnd(Window window, Duration length) -> UnixTime
{
    return std::chrono::duration_cast<UnixTime>((window + 1) * length);
}

auto recordStart(Tally &tally, const std::string &workspace, Window window) -> void
{
    tally.windows[window][workspace] += 1;
}

auto makeReport(Tally &tally, const std::string &entry, std::uint64_t incarnation, Window current, std::uint64_t reportNumber) -> Report
{
    removeBefore(tally.windows, current - KeptWindows);
    Report report{ .entry = entry, .incarnation = incarnation, .current = current };
    const auto earlier = current - 1 - static_cast<Window>(reportNumber % KeptWindows);
    // Each report contains the window that has just ended, since its counts are fixed next.
    for (const auto window : { current, current - 1, earlier }) {
        const auto found = tally.windows.find(window);
        if (found != tally.windows.end()) {
            report.windows[window] = found->second;
        }
    }
    return report;
}

auto applyReport(Ledger &ledger, const Report &report) -> void
{
    auto &entry = ledger.entryCounts[{ report.entry, report.incarnation }];
    entry.current = std::max(entry.current, report.current);
    for (const auto &[window, counts] : report.windows) {
        auto &known = entry.windows[window];
        for (const auto &[workspace, count] : counts) {
            known[workspace] = std::max(known[workspace], count);
        }
    }
    removeBefore(entry.windows, entry.current - 2 * KeptWindows);
}

auto removeSilentEntries(Ledger &ledger, Window current) -> void
{
    std::erase_if(ledger.entryCounts, [current](const auto &item) { return item.second.current < current - 2 * KeptWindows; });
}

auto totalCounts(const Ledger &ledger, Window window) -> Counts
{
    Counts sum;
    for (const auto &[key, entry] : ledger.entryCounts) {
        const auto found = entry.windows.find(window);
        if (found == entry.windows.end()) {
            continue;
        }
        for (const auto &[workspace, count] : found->second) {
            sum[workspace] += count;
        }
    }
    return sum;
}

auto haveReportedAfter(const Ledger &ledger, const std::set<std::string> &entries, Window window) -> bool
{
    std::set<std::string> reported;
    for (const auto &[key, entry] : ledger.entryCounts) {
        if (entry.current > window) {
            reported.insert(key.first);
        }
    }
    return std::includes(reported.begin(), reported.end(), entries.begin(), entries.end());
}

} // namespace auburnspread::usage
