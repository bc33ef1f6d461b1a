/// \file
/// Adds a text to a buffer of libevent without a copy.

#pragma once

#include <memory>
#include <string>

struct evbuffer;

namespace auburnspread::http
{

/// A large text is not copied; the buffer keeps it until its last byte is sent.
auto addBytes(evbuffer *buffer, std::shared_ptr<const std::string> text) -> void;

} // namespace auburnspread::http
