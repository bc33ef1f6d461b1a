#include "entry/caller/internal/exchange.h"

#include <evhtp/evhtp.h>

#include <memory>
#include <string_view>

namespace auburnspread::entry
{

namespace
{

constexpr int OkStatus = 200;
constexpr std::size_t MostKeptBytes = 4096;
constexpr auto Json = "application/json";
constexpr auto EventStream = "text/event-stream";

struct BufferDeleter {
    auto operator()(evbuffer *buffer) const -> void
    {
        evbuffer_free(buffer);
    }
};

auto writeChunk(Exchange &exchange, std::string_view bytes) -> void
{
    const std::unique_ptr<evbuffer, BufferDeleter> buffer(evbuffer_new());
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    evhtp_send_reply_chunk(exchange.request, buffer.get());
}

auto begin(Exchange &exchange, int status, const std::string &contentType) -> void
{
    if (exchange.begun) {
        return;
    }
    exchange.begun = true;
    addReplyHeader(exchange.request, "Auburnspread-Request", exchange.publicId);
    if (!contentType.empty()) {
        addReplyHeader(exchange.request, "Content-Type", contentType);
    }
    evhtp_send_reply_chunk_start(exchange.request, static_cast<evhtp_res>(status));
}

auto writeEvent(Exchange &exchange, std::string_view data) -> void
{
    begin(exchange, OkStatus, EventStream);
    std::string event = "data: ";
    event += data;
    event += "\n\n";
    writeChunk(exchange, event);
}

auto retryAfterSeconds(Duration wait) -> std::string
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace

auto writePart(Exchange &exchange, const AnswerPart &part) -> void
{
    if (exchange.kind == routing::CallKind::Service) {
        begin(exchange, exchange.serviceStatus, exchange.serviceContentType);
        writeChunk(exchange, part.content);
        if (exchange.keepAnswer && exchange.keptBody.size() <= MostKeptBytes) {
            exchange.keptBody += part.content;
        }
        return;
    }
    if (exchange.stream) {
        writeEvent(exchange, part.event);
        return;
    }
    exchange.whole.content += part.content;
    if (!part.finishReason.empty()) {
        exchange.whole.finishReason = part.finishReason;
        exchange.whole.usage = part.usage;
    }
}

auto isKept(const Exchange &exchange) -> bool
{
    return exchange.keepAnswer && exchange.keptBody.size() <= MostKeptBytes;
}

auto writeEnd(Exchange &exchange) -> void
{
    if (exchange.kind == routing::CallKind::Service) {
        begin(exchange, exchange.serviceStatus, exchange.serviceContentType);
        evhtp_send_reply_chunk_end(exchange.request);
        return;
    }
    if (exchange.stream) {
        writeEvent(exchange, chat::StreamTerminator);
        evhtp_send_reply_chunk_end(exchange.request);
        return;
    }
    addReplyHeader(exchange.request, "Auburnspread-Request", exchange.publicId);
    writeDocument(exchange.request, OkStatus, Json, chat::makeWholeAnswer(exchange.whole));
}

auto writeRefusal(Exchange &exchange, const chat::Refusal &refusal) -> bool
{
    if (!exchange.begun) {
        addReplyHeader(exchange.request, "Auburnspread-Request", exchange.publicId);
        addRefusalHeaders(exchange.request, refusal);
        writeDocument(exchange.request, reasonInfo(refusal.reason).status, Json, chat::makeRefusalBody(refusal));
        return true;
    }
    if (!exchange.stream) {
        return false;
    }
    writeChunk(exchange, "event: error\ndata: " + chat::makeRefusalBody(refusal) + "\n\n");
    evhtp_send_reply_chunk_end(exchange.request);
    return true;
}

auto writeDocument(evhtp_request *request, int status, const std::string &contentType, const std::string &body) -> void
{
    addReplyHeader(request, "Content-Type", contentType);
    if (evhtp_request_get_method(request) != htp_method_HEAD) { // libevhtp would write the body after the head
        evbuffer_add(request->buffer_out, body.data(), body.size());
    }
    evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

auto addReplyHeader(evhtp_request *request, const std::string &name, const std::string &value) -> void
{
    constexpr char Copied = 1;
    evhtp_headers_add_header(request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), Copied, Copied));
}

auto refusalHeaders(const chat::Refusal &refusal) -> http::Headers
{
    http::Headers headers = {
        { .name = "Auburnspread-Outcome", .value = std::string(outcomeName(refusal.outcome)) },
        { .name = "Auburnspread-Reason", .value = std::string(reasonInfo(refusal.reason).name) },
    };
    if (refusal.retryAfter) {
        headers.push_back({ .name = "Retry-After", .value = retryAfterSeconds(*refusal.retryAfter) });
    }
    return headers;
}

auto addRefusalHeaders(evhtp_request *request, const chat::Refusal &refusal) -> void
{
    for (const auto &header : refusalHeaders(refusal)) {
        addReplyHeader(request, header.name, header.value);
    }
}

} // namespace auburnspread::entry
