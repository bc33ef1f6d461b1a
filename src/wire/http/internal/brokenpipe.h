/// \file
/// Writing to a connection that the peer has closed.

#pragma once

#include <csignal>

namespace auburnspread::http::detail
{

/// libevent writes without MSG_NOSIGNAL: a peer that closes at the wrong moment would end the whole process by SIGPIPE.
/// With the signal ignored the write fails and is reported as any other error of that one connection.
inline auto ignoreBrokenPipes() -> void
{
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace auburnspread::http::detail
