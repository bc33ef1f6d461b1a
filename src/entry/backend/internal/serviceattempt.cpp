#include "entry/backend/internal/attempt.h"

#include "wire/http/framing.h"

namespace auburnspread::entry
{

auto receiveServiceHeaders(Attempt &attempt, const http::Headers &headers) -> void
{
    const auto contentType = http::findHeader(headers, "Content-Type");
    attempt.mustEndWithEvent = http::isEventStream(contentType) && http::framingOf(attempt.status, headers) == http::Framing::ConnectionEnd;
    relayPart(attempt, ServiceAnswer{ .request = attempt.dispatch.request, .status = attempt.status, .contentType = std::string(contentType) });
    reportStarted(attempt);
    noteArrival(attempt);
}

auto receiveServiceBytes(Attempt &attempt, std::string_view bytes) -> void
{
    noteArrival(attempt);
    if (attempt.mustEndWithEvent) {
        text::scanEvents(attempt.events, bytes);
    }
    relayPart(attempt, AnswerPart{ .request = attempt.dispatch.request, .content = std::string(bytes) });
}

auto endServiceAnswer(Attempt &attempt) -> void
{
    if (attempt.mustEndWithEvent && !text::endsWithEvent(attempt.events)) {
        fail(attempt, Failure::BrokenStream);
        return;
    }
    finish(attempt);
}

} // namespace auburnspread::entry
