/// \file
/// Some entries that lead by turns, with a model of the platform's store and of its interface for duties, in virtual time. Calls are
/// delayed, lost, executed late or without an answer; entries are paused, killed and restarted. The same seed gives the same run.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::leadership::tests
{

/// Mistakes that the checks must find.
enum class Mistake {
    None,
    SameIncarnation,  ///< a start takes the claim of an earlier start for its own
    ActsAfterLease,   ///< a leader goes on although its lease may have ended
    SendsBeforeFixed, ///< counts are sent while the write that fixes them is under way
    NoRest,           ///< an entry that led may lead again at once
};

struct RunOptions {
    std::uint64_t seed = 1;
    Mistake mistake = Mistake::None;
    bool checksTokens = true; ///< the platform refuses tokens that are smaller than one it saw
};

struct RunResult {
    std::vector<std::string> violations;
    std::size_t accepted = 0; ///< usage reports
    std::size_t terms = 0;
};

auto run(const RunOptions &options) -> RunResult;

} // namespace auburnspread::leadership::tests
