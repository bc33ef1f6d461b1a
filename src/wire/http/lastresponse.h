/// \file
/// A response to a request that is not read to its end. The servers' libraries can't send one.

#pragma once

#include "wire/http/message.h"

#include <string>
#include <string_view>

namespace auburnspread::http
{

struct LastResponse {
    int status = 0;
    std::string_view phrase = "Refused"; ///< of the status line
    Headers headers;                     ///< besides those of the framing and the connection
    std::string body;
};

/// Sends \p response straight to the socket of a connection, which is to be closed next: see LingeringClose.
/// \return whether the socket took all of it
auto sendLastResponse(int descriptor, const LastResponse &response) -> bool;

} // namespace auburnspread::http
