#include "core/relay/relaystream.h"

namespace auburnspread::relay
{

auto acceptChunk(RelayStream &stream, std::string_view id, std::uint32_t offset) -> Verdict
{
    if (id != stream.attemptId || offset < stream.nextOffset) {
        ++stream.discardedTokens;
        return Verdict::Discard;
    }
    if (offset > stream.nextOffset) {
        return Verdict::Gap;
    }
    ++stream.nextOffset;
    return Verdict::Relay;
}

auto acceptEnd(RelayStream &stream, std::string_view id, std::uint32_t tokenCount) -> Verdict
{
    if (id != stream.attemptId) {
        return Verdict::Discard;
    }
    return tokenCount == stream.nextOffset ? Verdict::Relay : Verdict::Gap;
}

} // namespace auburnspread::relay
