/// \file
/// Decides for each chunk of an attempt's streaming response whether it may be forwarded to the caller.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnspread::relay
{

/// Progress of the streaming response of one attempt.
struct RelayStream {
    std::string attemptId;        ///< id that the backend server must repeat in each chunk
    std::uint32_t nextOffset = 0; ///< token offset that the next chunk must have
    std::uint32_t discardedTokens = 0;
};

enum class Verdict {
    Relay,   ///< forward to the caller
    Discard, ///< ignore: a chunk of another attempt, or one that was forwarded before
    Gap,     ///< tokens are missing: the attempt has failed and the response must be resumed
};

/// Checks the chunk with token offset \p offset and attempt id \p id. Verdict::Relay advances the stream by one token.
///
/// A backend server or an intermediary may deliver a chunk of another stream, or a chunk late, twice or not at all.
/// The caller would then read text of another caller's answer, or an answer with missing tokens. A chunk is forwarded
/// only if it carries the id of this attempt and continues exactly at the end of the previous one, so the forwarded
/// text is always a prefix of the correct answer.
auto acceptChunk(RelayStream &stream, std::string_view id, std::uint32_t offset) -> Verdict;

/// Checks the end of the response: it is valid only if \p tokenCount equals the number of tokens forwarded so far.
auto acceptEnd(RelayStream &stream, std::string_view id, std::uint32_t tokenCount) -> Verdict;

} // namespace auburnspread::relay
