/// \file
/// Buffered requests and responses.

#pragma once

#include "wire/http/message.h"

#include <event2/http.h>

#include <memory>
#include <string>

namespace auburnspread::gateway
{

/// A caller's request as received. It is kept until the request ends, because each attempt sends it again.
struct BufferedRequest {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string target; ///< path and query as received
    http::Headers headers;
    std::string body;
};
using BufferedRequestPointer = std::shared_ptr<const BufferedRequest>;

/// A response that is forwarded once it is complete, in contrast to a relayed stream.
struct BufferedResponse {
    int status = 0;
    http::Headers headers;
    std::string body;
};

} // namespace auburnspread::gateway
