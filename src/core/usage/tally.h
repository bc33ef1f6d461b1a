/// \file
/// How many requests of each workspace began to run, by window of true time: as one entry counts them, and as all entries told. Pure.
///
/// Reports are cumulative, so that lost, doubled and reordered ones do no harm.

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

/// Since the start of 1970.
using TrueTime = std::chrono::milliseconds;

/// Number of a window: it begins so many windows after the start of 1970.
using Window = std::int64_t;

using Counts = std::map<std::string, std::uint64_t>; ///< requests, by workspace

auto windowAt(TrueTime time, Duration length) -> Window;
auto endOf(Window window, Duration length) -> TrueTime;

/// What one entry counted itself.
struct Tally {
    std::map<Window, Counts> windows;
};

auto noteBegun(Tally &tally, const std::string &workspace, Window window) -> void;

/// What an entry tells, again and again: a part of its tally, and how far it has come.
struct Report {
    std::string entry;
    std::uint64_t incarnation = 0;
    Window current = 0; ///< the entry's window as it reports
    std::map<Window, Counts> windows;
};

/// The current window and an earlier one, another one with each \p turn. Forgets windows that nobody needs any more.
auto makeReport(Tally &tally, const std::string &entry, std::uint64_t incarnation, Window current, std::uint64_t turn) -> Report;

/// What the entries told to this one.
struct Ledger {
    struct Teller {
        Window current = 0;
        std::map<Window, Counts> windows;
    };
    std::map<std::pair<std::string, std::uint64_t>, Teller> tellers; ///< by entry and incarnation: one that has ended counts on
};

auto noteReport(Ledger &ledger, const Report &report) -> void;
/// Forgets entries that told nothing for so long before \p current, the window of this entry's own clock, that no report needs them.
auto forgetSilent(Ledger &ledger, Window current) -> void;
auto countsOf(const Ledger &ledger, Window window) -> Counts;
/// Whether each of these entries has told after the end of the window.
auto haveTold(const Ledger &ledger, const std::set<std::string> &entries, Window window) -> bool;

} // namespace auburnspread::usage
