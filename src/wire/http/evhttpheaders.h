/// \file
/// Headers in evhttp's form.

#pragma once

#include "wire/http/message.h"

struct evkeyvalq;

namespace auburnspread::http
{

/// In the order in which they were received; a name may stand more than once.
auto readHeaders(const evkeyvalq *list) -> Headers;

} // namespace auburnspread::http
