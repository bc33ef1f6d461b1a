#include "entry/backend/internal/attempt.h"

namespace auburnspread::entry
{

auto receiveServiceHeaders(Attempt &attempt, const std::string &contentType) -> void
{
    relayPart(attempt, ServiceAnswer{ .request = attempt.dispatch.request, .status = attempt.status, .contentType = contentType });
    reportStarted(attempt);
    extendDeadline(attempt);
}

auto receiveServiceBytes(Attempt &attempt, std::string_view bytes) -> void
{
    extendDeadline(attempt);
    relayPart(attempt, AnswerPart{ .request = attempt.dispatch.request, .content = std::string(bytes) });
}

auto endServiceAnswer(Attempt &attempt) -> void
{
    finish(attempt);
}

} // namespace auburnspread::entry
