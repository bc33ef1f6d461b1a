/// \file
/// Headers in evhttp's form.

#pragma once

#include "wire/http/message.h"

struct evhttp_request;
struct evkeyvalq;

namespace auburnspread::http
{

/// In the order in which they were received; a name may stand more than once.
auto readHeaders(const evkeyvalq *list) -> Headers;

/// Removes all headers of this name.
auto removeHeaders(evkeyvalq *list, const char *name) -> void;

/// Makes evhttp read the body of a response without length and chunks up to the end of its connection, and close the connection then. For
/// the header callback of a request. Without it, evhttp rejects such a response if its Connection header has any value but close.
auto readBodyToConnectionEnd(evhttp_request *request) -> void;

} // namespace auburnspread::http
