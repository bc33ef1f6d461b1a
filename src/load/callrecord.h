/// \file
/// What became of one call: the facts from which the report is computed.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::load
{

/// How a call ended for its caller.
enum class CallResult {
    Answered,     ///< whole, in order, its own, with its terminator
    Refused,      ///< an answer with a reason before the first byte
    Wrong,        ///< a token or field that is not this call's
    CutSilently,  ///< the answer ended early and nothing said so
    CutWithError, ///< the answer ended early with an error event
    Unterminated, ///< all tokens, but no terminator
    Broken,       ///< the connection ended before any answer
    GaveUp,       ///< the caller waited as long as it would and closed
    Unreachable,  ///< no entry accepted a connection
};

auto resultName(CallResult result) -> std::string_view;

/// One request that the caller sent; a call is repeated only if the scenario says so.
struct AttemptRecord {
    CallResult result = CallResult::GaveUp;
    int status = 0;
    std::string reason;  ///< of a refusal or error event
    std::string outcome; ///< of a refusal or error event
    std::string entry;   ///< address that answered
    Duration end{};      ///< from the call's due time
};

struct CallRecord {
    std::uint32_t number = 0;
    std::uint32_t flow = 0;
    std::string workspace;
    bool stream = false;
    bool service = false;
    bool repeatable = true;
    std::string digest;                 ///< of a model call: as the engines' execution logs show it
    std::string key;                    ///< idempotency key
    Duration at{};                      ///< when the call was due, from the run's start
    std::optional<Duration> firstToken; ///< from \c at
    Duration end{};                     ///< from \c at
    std::uint32_t tokens = 0;
    Duration longestGap{}; ///< between tokens
    std::uint32_t redirects = 0;
    std::uint32_t lookups = 0; ///< questions for entries' addresses
    std::vector<AttemptRecord> attempts;
    std::string detail; ///< what was wrong with an answer

    /// How the last attempt ended.
    [[nodiscard]] auto result() const -> CallResult
    {
        return attempts.empty() ? CallResult::Unreachable : attempts.back().result;
    }
};

} // namespace auburnspread::load
