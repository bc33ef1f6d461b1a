/// \file
/// Counts the requests of each workspace that started to run in each window of wall-clock time: the counts of one entry, and the counts
/// that all entries reported. Pure: no I/O, no clock.
///
/// Reports are cumulative, so lost, duplicated and reordered reports do not change the result.

#pragma once

#include "core/base/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace auburnspread::usage
{

/// Time since the Unix epoch.
using UnixTime = std::chrono::milliseconds;

/// Number of a window, counted in window lengths since the Unix epoch.
using Window = std::int64_t;

using Counts = std::map<std::string, std::uint64_t>; ///< number of requests by workspace

/// \return the window that contains \p time
auto windowAt(UnixTime time, Duration length) -> Window;
auto windowEnd(Window window, Duration length) -> UnixTime;

/// The requests that one entry has counted itself.
struct Tally {
    std::map<Window, Counts> windows;
};

/// Counts a request of \p workspace that started to run in \p window.
auto recordStart(Tally &tally, const std::string &workspace, Window window) -> void;

/// Report that an entry sends repeatedly: some windows of its tally, and its current window.
struct Report {
    std::string entry;
    std::uint64_t incarnation = 0;
    Window current = 0; ///< window of the entry's clock when it made the report
    std::map<Window, Counts> windows;
};

/// Makes a report of the current window, the window before it and one earlier window, which rotates with \p reportNumber. Removes windows
/// from \p tally that are too old to be reported.
auto makeReport(Tally &tally, const std::string &entry, std::uint64_t incarnation, Window current, std::uint64_t reportNumber) -> Report;

/// The counts that all entries reported to this entry.
struct Ledger {
    struct EntryCounts {
        Window current = 0; ///< newest current window that the entry reported
        std::map<Window, Counts> windows;
    };
    /// By entry and incarnation: the counts of an incarnation that has ended remain valid.
    std::map<std::pair<std::string, std::uint64_t>, EntryCounts> entryCounts;
};

/// Takes over the counts of \p report. Counts never decrease, so an old or duplicated report changes nothing.
auto applyReport(Ledger &ledger, const Report &report) -> void;
/// Removes entries whose last report is so much older than \p current, the window of this entry's own clock, that none of their counts can
/// still be reported.
auto removeSilentEntries(Ledger &ledger, Window current) -> void;
/// \return the counts of \p window, summed over all entries
auto totalCounts(const Ledger &ledger, Window window) -> Counts;
/// Whether each of \p entries has reported after the end of \p window.
auto haveReportedAfter(const Ledger &ledger, const std::set<std::string> &entries, Window window) -> bool;

} // namespace auburnspread::usage
