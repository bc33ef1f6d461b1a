#include "entry/backend/internal/attempt.h"

#include "wire/chat/chatanswer.h"

namespace auburnspread::entry
{

namespace
{

/// A discarded chunk changes nothing; a gap fails the attempt.
auto mayRelay(Attempt &attempt, relay::Verdict verdict) -> bool
{
    if (verdict == relay::Verdict::Gap) {
        fail(attempt, Failure::OffsetGap);
    }
    return verdict == relay::Verdict::Relay;
}

auto relayToken(Attempt &attempt, chat::AnswerChunk chunk) -> void
{
    if (!mayRelay(attempt, relay::acceptChunk(attempt.stream, chunk.id, chunk.offset))) {
        return;
    }
    reportStarted(attempt);
    noteArrival(attempt);
    if (attempt.committed && chunk.offset < attempt.relayFrom) {
        return;
    }
    AnswerPart part{ .request = attempt.dispatch.request };
    if (attempt.payload->stream) {
        part.event = chat::makeCallerEvent(std::move(chunk), attempt.payload->publicId);
    } else {
        part.content = std::move(chunk.content);
    }
    relayPart(attempt, std::move(part));
    if (attempt.committed) {
        attempt.shared->relayed = relayedTokensOf(attempt);
    }
    reportProgress(attempt);
}

auto relayLast(Attempt &attempt, chat::AnswerChunk chunk) -> void
{
    if (!mayRelay(attempt, relay::acceptEnd(attempt.stream, chunk.id, chunk.offset))) {
        return;
    }
    reportStarted(attempt);
    attempt.complete = true;
    AnswerPart part{ .request = attempt.dispatch.request, .finishReason = chunk.finishReason };
    part.usage = chunk.document.value("usage", nlohmann::json::object());
    if (attempt.payload->stream) {
        part.event = chat::makeCallerEvent(std::move(chunk), attempt.payload->publicId);
    }
    relayPart(attempt, std::move(part));
}

auto receiveEvent(Attempt &attempt, std::string_view data) -> void
{
    if (attempt.over || attempt.complete || data == chat::StreamTerminator) {
        return;
    }
    auto chunk = chat::parseAnswerChunk(data);
    if (!chunk) {
        fail(attempt, Failure::BadResponse);
        return;
    }
    if (chunk->finishReason.empty()) {
        relayToken(attempt, std::move(*chunk));
    } else {
        relayLast(attempt, std::move(*chunk));
    }
}

} // namespace

auto receiveChatBytes(Attempt &attempt, std::string_view bytes) -> void
{
    const auto receive = [&attempt](std::string_view data) { receiveEvent(attempt, data); };
    if (!attempt.reader.feed(bytes, receive)) {
        fail(attempt, Failure::BadResponse);
    }
}

auto endChatAnswer(Attempt &attempt) -> void
{
    if (!attempt.complete) {
        fail(attempt, Failure::Truncated);
        return;
    }
    finish(attempt);
}

} // namespace auburnspread::entry
