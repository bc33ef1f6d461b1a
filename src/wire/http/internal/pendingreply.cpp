#include "wire/http/internal/pendingreply.h"

#include "wire/http/server.h"

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace auburnspread::http
{

namespace
{

constexpr int InternalStatus = 500;
constexpr std::string_view JsonType = "application/json";

// libevhtp writes the value as it stands: a line end in it would forge a header or a second answer.
auto addHeader(evhtp_request_t *raw, const std::string &name, std::string value) -> void
{
    constexpr char Copied = 1;
    std::replace_if(
        value.begin(), value.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
    evhtp_headers_add_header(raw->headers_out, evhtp_header_new(name.c_str(), value.c_str(), Copied, Copied));
}

} // namespace

detail::PendingReply::~PendingReply()
{
    if (raw != nullptr) {
        send(InternalStatus, JsonType, R"({"error":"no answer"})", {});
    }
}

// libevhtp wants the answer to a paused request written first and the request resumed after it.
auto detail::PendingReply::send(int status, std::string_view contentType, std::string_view body, const Headers &headers) -> void
{
    auto *const target = std::exchange(raw, nullptr);
    if (target == nullptr) {
        return;
    }
    addHeader(target, "Content-Type", std::string(contentType));
    for (const auto &header : headers) {
        addHeader(target, header.name, header.value);
    }
    if (closesConnection) {
        evhtp_request_disable_flag(target, EVHTP_REQ_FLAG_KEEPALIVE); //! NOTE evhtp_request_set_keepalive(target, 0) would leave it set
    }
    if (evhtp_request_get_method(target) != htp_method_HEAD) { // libevhtp would write the body after the head
        evbuffer_add(target->buffer_out, body.data(), body.size());
    }
    evhtp_send_reply(target, static_cast<evhtp_res>(status));
    onSent(target->conn);
    if (isPaused) {
        evhtp_request_resume(target);
    }
}

auto detail::PendingReply::abort() -> void
{
    auto *const target = std::exchange(raw, nullptr);
    if (target != nullptr) {
        closeLater(target->conn);
    }
}

Replier::Replier(std::shared_ptr<detail::PendingReply> pending)
    : pending_(std::move(pending))
{
}

auto Replier::reply(int status, std::string_view contentType, std::string_view body, const Headers &headers) const -> void
{
    pending_->send(status, contentType, body, headers);
}

auto Replier::replyJson(int status, const nlohmann::json &body, const Headers &headers) const -> void
{
    reply(status, JsonType, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), headers);
}

auto Replier::replyError(int status, std::string_view text) const -> void
{
    replyJson(status, { { "error", text } });
}

auto Replier::abort() const -> void
{
    pending_->abort();
}

auto Replier::isOpen() const -> bool
{
    return pending_->raw != nullptr;
}

} // namespace auburnspread::http
