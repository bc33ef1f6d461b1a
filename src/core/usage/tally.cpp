#include "core/usage/tally.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::usage
{

namespace
{

/// Windows before the current one that may still be reported.
constexpr Window KeptWindows = 5;

auto forgetBefore(std::map<Window, Counts> &windows, Window oldest) -> void
{
    windows.erase(windows.begin(), windows.lower_bound(oldest));
}

} // namespace

auto windowAt(TrueTime time, Duration length) -> Window
{
    return time / length;
}

auto endOf(Window window, Duration length) -> TrueTime
{
    return std::chrono::duration_cast<TrueTime>((window + 1) * length);
}

auto noteBegun(Tally &tally, const std::string &workspace, Window window) -> void
{
    tally.windows[window][workspace] += 1;
}

auto makeReport(Tally &tally, const std::string &entry, std::uint64_t incarnation, Window current, std::uint64_t turn) -> Report
{
    forgetBefore(tally.windows, current - KeptWindows);
    Report report{ .entry = entry, .incarnation = incarnation, .current = current };
    const auto earlier = current - 1 - static_cast<Window>(turn % KeptWindows);
    // the window that has just ended is told each time until it is fixed
    for (const auto window : { current, current - 1, earlier }) {
        const auto found = tally.windows.find(window);
        if (found != tally.windows.end()) {
            report.windows[window] = found->second;
        }
    }
    return report;
}

auto noteReport(Ledger &ledger, const Report &report) -> void
{
    auto &teller = ledger.tellers[{ report.entry, report.incarnation }];
    teller.current = std::max(teller.current, report.current);
    for (const auto &[window, counts] : report.windows) {
        auto &known = teller.windows[window];
        for (const auto &[workspace, count] : counts) {
            known[workspace] = std::max(known[workspace], count);
        }
    }
    forgetBefore(teller.windows, teller.current - 2 * KeptWindows);
}

auto forgetSilent(Ledger &ledger, Window current) -> void
{
    std::erase_if(ledger.tellers, [current](const auto &item) { return item.second.current < current - 2 * KeptWindows; });
}

auto countsOf(const Ledger &ledger, Window window) -> Counts
{
    Counts sum;
    for (const auto &[key, teller] : ledger.tellers) {
        const auto found = teller.windows.find(window);
        if (found == teller.windows.end()) {
            continue;
        }
        for (const auto &[workspace, count] : found->second) {
            sum[workspace] += count;
        }
    }
    return sum;
}

auto haveTold(const Ledger &ledger, const std::set<std::string> &entries, Window window) -> bool
{
    std::set<std::string> told;
    for (const auto &[key, teller] : ledger.tellers) {
        if (teller.current > window) {
            told.insert(key.first);
        }
    }
    return std::includes(told.begin(), told.end(), entries.begin(), entries.end());
}

} // namespace auburnspread::usage
