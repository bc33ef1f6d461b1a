/// \file
/// The answer that a request of the server waits for.

#pragma once

#include "wire/http/message.h"

#include <evhtp/evhtp.h>

#include <functional>
#include <string_view>

namespace auburnspread::http::detail
{

/// The answer that one request waits for.
struct PendingReply {
    evhtp_request_t *raw = nullptr; ///< cleared when evhtp frees the request
    bool isPaused = false;
    bool closesConnection = false;
    std::function<void(evhtp_connection_t *)> onSent;     ///< the answer is on its way
    std::function<void(evhtp_connection_t *)> closeLater; ///< ends a connection outside of evhtp's calls

    PendingReply() = default;
    ~PendingReply();
    PendingReply(const PendingReply &) = delete;
    auto operator=(const PendingReply &) -> PendingReply & = delete;

    auto send(int status, std::string_view contentType, std::string_view body, const Headers &headers) -> void;
    auto abort() -> void;
};

} // namespace auburnspread::http::detail
