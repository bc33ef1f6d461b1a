/// \file
/// Replays a load against many routers and a model of their engines in virtual time: the same seed gives the same figures.
///
/// The model of an engine: it works in steps. Each gives every running answer a token and reads one chunk of the oldest
/// prompt. Parts of prompts that it has read before are skipped while all parts before them are there too.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/router.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnspread::passthrough::tests
{

/// Long prompts, each of a document that many sessions share, a session's part and one of its own, and short prompts.
struct LoadPattern {
    std::size_t entries = 66;
    std::size_t engines = 60;
    double longPromptsPerSecond = 220;
    double shortPromptsPerSecond = 187;
    double burst = 3; ///< times as many long prompts in the second half
    std::size_t sessions = 600;
    Duration length = std::chrono::seconds(12);
    std::uint64_t seed = 1;
};

/// What callers of one kind got whose first try lay in the burst. Engines begin with empty caches and fill them before it.
struct Served {
    std::size_t asked = 0;
    std::size_t onTime = 0;  ///< first event within the target, from the first try on, and no pause over the longest
    std::size_t late = 0;    ///< whole, but not on time
    std::size_t refused = 0; ///< twice: they came back once as told

    [[nodiscard]] auto onTimePart() const -> double
    {
        return static_cast<double>(onTime) / static_cast<double>(asked);
    }
    [[nodiscard]] auto refusedPart() const -> double
    {
        return static_cast<double>(refused) / static_cast<double>(asked);
    }
};

/// What entries believed of the engines that they chose, against what ran there.
struct Belief {
    std::uint64_t believed = 0; ///< requests on the chosen engine, summed over all that were sent
    std::uint64_t true_ = 0;

    [[nodiscard]] auto part() const -> double
    {
        return true_ == 0 ? 1 : static_cast<double>(believed) / static_cast<double>(true_);
    }
};

/// Engines that answer each request with an error at once, in the second half of the load.
struct EngineTroubles {
    std::size_t failing = 0; ///< the first ones
};

/// Attempts on engines in the second half.
struct Attempts {
    std::uint64_t all = 0;          ///< after its first second
    std::uint64_t onFailing = 0;    ///< after its first second
    std::uint64_t failed = 0;       ///< answered with an error
    std::uint64_t requestsLost = 0; ///< whose caller got the error

    /// Attempts on a failing engine for each one on an engine of the mean.
    [[nodiscard]] auto failingShare(std::size_t engines, std::size_t failing) const -> double
    {
        return static_cast<double>(onFailing) / static_cast<double>(failing) / (static_cast<double>(all) / static_cast<double>(engines));
    }
};

struct ReplayResult {
    Attempts attempts;
    std::vector<Belief> beliefs; ///< of long prompts, for each half second from the start
    Served longPrompts;
    Served shortPrompts;
    std::uint64_t tokensRead = 0;
    std::uint64_t sharedTokensReadAgain = 0; ///< of parts that another engine held
    std::uint64_t tokensFetched = 0;         ///< of parts that were copied from another engine
};

/// What befalls the exchange of reports.
struct ReportTroubles {
    std::size_t failureDomains = 1;
    std::size_t lostHubs = 0;     ///< entries that die in the middle, the first in rank
    bool listsDiffer = false;     ///< in the second half a third of the entries know only the other two thirds, and these know all
    double lostDatagrams = 0.001; ///< part of all
};

struct ReplayOptions {
    LoadPattern load;
    ReportTroubles reports;
    EngineTroubles engines;
    Duration reportInterval = ReportInterval;
    Duration rest = std::chrono::seconds(6); ///< after the load, until the last answers have ended
};

auto replay(const ReplayOptions &options) -> ReplayResult;

} // namespace auburnspread::passthrough::tests
