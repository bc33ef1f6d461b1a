/// \file
/// Decides, chunk by chunk, what of an attempt's answer may reach the caller.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspread::relay
{

/// What one attempt has delivered so far.
struct RelayStream {
    std::string attemptId;        ///< as the backend server must echo it
    std::uint32_t nextOffset = 0; ///< token offset at which the next chunk must stand
    std::uint32_t discardedTokens = 0;
};

enum class Verdict {
    Relay,
    Discard, ///< not the caller's: another attempt's chunk, or one that was relayed before
    Gap,     ///< tokens are missing: the attempt has failed and must be resumed
};

/// Judges the chunk of token \p offset that carries \p id. Relay advances the stream by one token.
///
/// Failure: a backend server, or something on the way, delivers a chunk of another stream, or one late, twice
/// or not at all. Symptom: a caller reads another's quote, or a quote with a hole. A chunk is relayed only if it
/// names this attempt and stands exactly where the last one ended, so whatever is relayed is a prefix of the
/// right answer.
auto acceptChunk(RelayStream &stream, std::string_view id, std::uint32_t offset) -> Verdict;

/// Judges the end of the answer: right only if it stands where the last token ended.
auto acceptEnd(RelayStream &stream, std::string_view id, std::uint32_t tokenCount) -> Verdict;

} // namespace auburnspread::relay
