/// \file
/// One request of a caller while its answer is due, as plain data, and how the answer is written.

#pragma once

#include "entry/messages/messages.h"
#include "wire/chat/chatanswer.h"
#include "wire/http/disconnectwatch.h"
#include "wire/http/message.h"

#include <event2/buffer.h>

#include <string>

struct evhtp_request;

namespace auburnspread::entry
{

struct Exchange {
    RequestId id{};
    evhtp_request *request = nullptr; ///< owned by the library until it is resumed
    std::string publicId;
    routing::CallKind kind = routing::CallKind::Chat;
    bool stream = false;
    bool begun = false;   ///< the status line was written
    bool blocked = false; ///< more bytes wait for the caller than allowed
    http::DisconnectWatch disconnectWatch;
    evbuffer_cb_entry *drainWatch = nullptr;
    chat::WholeAnswer whole;
    int serviceStatus = 0;
    std::string serviceContentType;
    bool keepAnswer = false; ///< the call has an idempotency key: its answer is kept for repeats
    std::string keptBody;
};

/// Writes a token of a streamed answer, or keeps it for a whole one, or writes bytes of a service's answer.
auto writePart(Exchange &exchange, const AnswerPart &part) -> void;
/// Whether the answer of a service's call is whole and short enough to be kept.
auto isKept(const Exchange &exchange) -> bool;
/// Writes the end of the answer. The exchange is over afterwards.
auto writeEnd(Exchange &exchange) -> void;
/// Writes a refusal: a status and a body before the first byte, an SSE error event after it.
/// \return false if the answer cannot be ended properly and the connection must be cut
auto writeRefusal(Exchange &exchange, const chat::Refusal &refusal) -> bool;

/// Writes a complete answer outside any exchange.
auto writeDocument(evhtp_request *request, int status, const std::string &contentType, const std::string &body) -> void;
auto addReplyHeader(evhtp_request *request, const std::string &name, const std::string &value) -> void;
/// The two headers that every refusal carries, and Retry-After where a retry can help.
auto refusalHeaders(const chat::Refusal &refusal) -> http::Headers;
auto addRefusalHeaders(evhtp_request *request, const chat::Refusal &refusal) -> void;

} // namespace auburnspread::entry
