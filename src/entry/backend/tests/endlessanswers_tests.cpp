/// \file
/// Answers without end at the chat face.

#include "entry/backend/tests/backendfixture.h"
#include "entry/backend/tests/chatbytes.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

using namespace auburnspread;
using namespace auburnspread::entry;

namespace
{

/// That a server gets rid of before the attempt ends: what the entry holds, and the kernel's buffers on both sides.
constexpr std::size_t MostBytes = std::size_t{ 16 } * 1024 * 1024;

struct Endless {
    const char *name;
    std::string start; ///< sent once
    std::string piece; ///< sent again and again
};

auto operator<<(std::ostream &stream, const Endless &answer) -> std::ostream &
{
    return stream << answer.name;
}

auto makeAnswers() -> std::vector<Endless>
{
    constexpr auto StatusLine = "HTTP/1.1 200 OK\r\n";
    return {
        { "statusLine", "HTTP/1.1 200 ", "a" },
        { "noResponse", "", "a" },
        { "headerLine", std::string(StatusLine) + "A: ", "a" },
        { "headerLines", StatusLine, "a:\r\n" },
        { "interimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "chunkSize", StreamHead, "0" },
        { "chunkExtension", std::string(StreamHead) + "5;", "a" },
        { "chunk", std::string(StreamHead) + "40000000\r\n", "a" },
        { "trailers", std::string(StreamHead) + "0\r\n", "a:\r\n" },
    };
}

auto repeat(const std::string &piece) -> std::string
{
    constexpr std::size_t BlockBytes = std::size_t{ 64 } * 1024;
    std::string block;
    while (block.size() < BlockBytes) {
        block += piece;
    }
    return block;
}

/// \return bytes sent until the connection ended, or MostBytes
auto sendWithoutEnd(const TcpConnection &connection, const std::string &piece) -> std::size_t
{
    const auto block = repeat(piece);
    std::size_t sent = 0;
    while (sent < MostBytes && connection.trySend(block)) {
        sent += block.size();
    }
    return sent;
}

class EndlessAnswerTests : public testing::TestWithParam<std::tuple<Endless, routing::CallKind>>
{
};

auto makePayload(routing::CallKind kind) -> Payload
{
    return kind == routing::CallKind::Chat ? makeChatPayload() : Payload{ .kind = kind, .method = "GET", .pathAndQuery = "/quotes" };
}

} // namespace

/// Guards against a server whose answer has no end and fills the memory of the entry.
TEST_P(EndlessAnswerTests, theConnectionEndsWithinItsLimits)
{
    const auto &[answer, kind] = GetParam();
    Fixture fixture;
    fixture.order({}, makePayload(kind));
    const auto connection = fixture.server.accept();
    connection.readUntil(kind == routing::CallKind::Chat ? "}" : "\r\n\r\n");
    connection.send(answer.start);
    EXPECT_LT(sendWithoutEnd(connection, answer.piece), MostBytes);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         EndlessAnswerTests,
                         testing::Combine(testing::ValuesIn(makeAnswers()), testing::Values(routing::CallKind::Chat, routing::CallKind::Service)),
                         [](const auto &parameters) {
                             return std::string(std::get<0>(parameters.param).name)
                                 + (std::get<1>(parameters.param) == routing::CallKind::Chat ? "Chat" : "Service");
                         });

/// Guards against a health probe whose answer fills the memory of the entry.
TEST(EndlessAnswerTests, theAnswerOfAHealthProbeIsBounded)
{
    Fixture fixture;
    fixture.mailboxes.backend.post(routing::ProbeBackend{ .backend = "i-1", .address = fixture.server.address() });
    const auto connection = fixture.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send("HTTP/1.1 200 OK\r\n\r\n");
    EXPECT_LT(sendWithoutEnd(connection, "a"), MostBytes);
}
