/// \file
/// The bytes of an engine's streaming response, for tests that play a backend server.

#pragma once

#include <nlohmann/json.hpp>

#include <sstream>
#include <string>

namespace auburnspread::entry
{

constexpr auto Id = "entry-1-7-1"; // of the first attempt, on the wire
constexpr auto StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr auto StreamEnd = "0\r\n\r\n";

inline auto makeHttpChunk(const std::string &bytes) -> std::string
{
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return chunk.str();
}

inline auto makeEvent(const std::string &data) -> std::string
{
    return makeHttpChunk("data: " + data + "\n\n");
}

inline auto makeToken(int offset, const std::string &content, const std::string &id = Id) -> std::string
{
    return makeEvent(
        nlohmann::json{ { "id", id }, { "offset", offset }, { "choices", { { { "delta", { { "content", content } } }, { "finish_reason", nullptr } } } } }
            .dump());
}

inline auto makeLast(int offset, const std::string &id = Id) -> std::string
{
    return makeEvent(nlohmann::json{
        { "id", id },
        { "offset", offset },
        { "choices", { { { "delta", nlohmann::json::object() }, { "finish_reason", "stop" } } } },
        { "usage", { { "completion_tokens", offset } } },
    }
                         .dump());
}

} // namespace auburnspread::entry
