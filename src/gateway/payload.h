/// \file
/// A caller's request as received, kept for its attempts.

#pragma once

#include "wire/http/message.h"

#include <event2/http.h>

#include <memory>
#include <string>

namespace auburnspread::gateway
{

struct Payload {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target; ///< path and query as received
    http::Headers headers;
    std::string body;
};
using PayloadPointer = std::shared_ptr<const Payload>;

/// An answer that is passed on as a whole.
struct WholeAnswer {
    int status = 0;
    http::Headers headers;
    std::string body;
};

} // namespace auburnspread::gateway
