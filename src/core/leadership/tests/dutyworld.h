/// \file
/// Simulation in virtual time of several entries that compete for leadership, with a model of the platform's store and of its interface for
/// duties. Calls are delayed, lost, executed late, or executed without an answer; entries are paused, killed and restarted; the store
/// may come back from a copy. The run is
/// determined by the seed.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::leadership::tests
{

/// Deliberate mistakes that the checked invariants must detect.
enum class Mistake {
    None,
    SameIncarnation,   ///< an entry treats the claim of its previous incarnation as its own
    ActsAfterLease,    ///< a leader continues although its lease may have ended
    SendsBeforeCommit, ///< counts are sent while the write that commits them is in flight
    NoCooldown,        ///< an entry may lead again immediately after a term
    IgnoresEra,        ///< an entry compares revisions of the store without their era
};

struct RunOptions {
    std::uint64_t seed = 1;
    Mistake mistake = Mistake::None;
    bool checksTokens = true;   ///< the platform refuses tokens lower than one that it has seen
    bool restoresStore = false; ///< the store comes back from a copy some seconds old, several times
};

/// Violated invariants and totals of one run.
struct RunResult {
    std::vector<std::string> violations;
    std::size_t accepted = 0; ///< usage reports that the platform accepted
    std::size_t terms = 0;
};

auto run(const RunOptions &options) -> RunResult;

} // namespace auburnspread::leadership::tests
