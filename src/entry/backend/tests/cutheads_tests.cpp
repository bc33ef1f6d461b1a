/// \file
/// Answers of backend servers of the chat face whose head is cut off at each byte.

#include "entry/backend/tests/backendfixture.h"
#include "entry/backend/tests/chatbytes.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::entry;

namespace
{

constexpr auto Interim = "HTTP/1.1 100 Continue\r\n\r\n";

enum class End {
    Closed,
    Reset,
};

auto makeServicePayload() -> Payload
{
    return { .kind = routing::CallKind::Service, .method = "GET", .pathAndQuery = "/quotes" };
}

auto endConnection(TcpConnection &connection, End end) -> void
{
    if (end == End::Closed) {
        connection.close();
    } else {
        connection.reset();
    }
}

/// Answers an attempt with \p bytes and ends the connection. \return the first event that the router gets
auto firstEventAfter(Fixture &fixture, const Payload &payload, const std::string &bytes, End end) -> routing::Event
{
    fixture.order({}, payload);
    auto connection = fixture.server.accept();
    connection.readUntil(payload.kind == routing::CallKind::Service ? "\r\n\r\n" : "}");
    connection.send(bytes);
    endConnection(connection, end);
    return std::get<routing::Event>(Fixture::next(fixture.mailboxes.router, fixture.toRouter));
}

auto makeHeads() -> std::vector<std::string>
{
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    return {
        start + "Content-Length: 1000\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n",
        start + "\r\n",
        "HTTP/1.1 200 OK\nContent-Type: text/event-stream\nContent-Length: 1000\n\n",
    };
}

/// Expects that an attempt does not start with any part of a head, but fails, and that its caller gets nothing.
auto expectFailureAtEachByte(const Payload &payload, End end, const std::string &before = "") -> void
{
    for (const auto &head : makeHeads()) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            Fixture fixture;
            const auto sent = before + head.substr(0, bytes);
            const auto event = firstEventAfter(fixture, payload, sent, end);
            EXPECT_TRUE(std::holds_alternative<routing::AttemptFailed>(event)) << sent;
            EXPECT_TRUE(fixture.callerGotNothing()) << sent;
        }
    }
}

} // namespace

/// Guards against an empty answer that looks whole: the server ends the connection inside the head of its answer.
TEST(CutHeadTests, anAnswerWhoseHeadIsCutAtAnyByteIsAFailure)
{
    for (const auto end : { End::Closed, End::Reset }) {
        expectFailureAtEachByte(makeChatPayload(), end);
        expectFailureAtEachByte(makeServicePayload(), end);
    }
}

/// Guards against an interim head that stands for the answer's: the answer begins with it, and its own head is cut.
TEST(CutHeadTests, anAnswerWhoseHeadIsCutAfterAnInterimOneIsAFailure)
{
    expectFailureAtEachByte(makeChatPayload(), End::Closed, Interim);
    expectFailureAtEachByte(makeServicePayload(), End::Closed, Interim);
}

/// Guards against an empty answer that looks whole: for libevent an interim head other than 100 is a complete response.
TEST(CutHeadTests, anInterimHeadAloneIsNoAnswer)
{
    for (const auto *status : { "100 Continue", "102 Processing", "103 Early Hints" }) {
        for (const auto &payload : { makeChatPayload(), makeServicePayload() }) {
            Fixture fixture;
            const auto event = firstEventAfter(fixture, payload, "HTTP/1.1 " + std::string(status) + "\r\n\r\n", End::Closed);
            EXPECT_TRUE(std::holds_alternative<routing::AttemptFailed>(event)) << status;
            EXPECT_TRUE(fixture.callerGotNothing()) << status;
        }
    }
}

/// Guards against an answer that starts although its head states no status of the protocol, or several lengths.
TEST(CutHeadTests, anAnswerWithAnOddHeadIsAFailure)
{
    for (const auto *start : { "HTTP/1.1 4294967496 OK\r\n",
                               "HTTP/1.1 +200 OK\r\n",
                               "HTTP/1.1 200x OK\r\n",
                               "HTTP/1.1 600 Odd\r\n",
                               "HTTP/1.1 000 None\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" }) {
        for (const auto &payload : { makeChatPayload(), makeServicePayload() }) {
            Fixture fixture;
            const auto bytes = start + std::string("Content-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nok");
            const auto event = firstEventAfter(fixture, payload, bytes, End::Closed);
            EXPECT_TRUE(std::holds_alternative<routing::AttemptFailed>(event)) << start;
            EXPECT_TRUE(fixture.callerGotNothing()) << start;
        }
    }
}

/// Guards against what is left of an earlier answer being taken for the one that is cut: both use one connection.
TEST(CutHeadTests, aLaterAnswerWhoseHeadIsCutAtAnyByteIsAFailure)
{
    for (const auto &head : makeHeads()) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            Fixture fixture;
            fixture.order({}, makeServicePayload());
            auto connection = fixture.server.accept();
            connection.readUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            fixture.commit();
            fixture.nextEvent<routing::AttemptFinished>();
            // the task keeps the connection in a later turn of its loop: by the start of another attempt that turn is over
            fixture.order({ .attempt = AttemptId{ 2 }, .freshConnection = true }, makeServicePayload());
            const auto other = fixture.server.accept();
            other.readUntil("\r\n\r\n");
            other.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
            fixture.nextEvent<routing::AttemptStarted>();
            fixture.order({ .attempt = AttemptId{ 3 } }, makeServicePayload());
            connection.readUntil("\r\n\r\n");
            connection.send(head.substr(0, bytes));
            connection.close();
            const auto event = std::get<routing::Event>(Fixture::next(fixture.mailboxes.router, fixture.toRouter));
            EXPECT_TRUE(std::holds_alternative<routing::AttemptFailed>(event)) << head.substr(0, bytes);
        }
    }
}

/// Guards against tests above that find a failure in any answer.
TEST(CutHeadTests, anAnswerWhoseHeadIsNotCutStarts)
{
    Fixture fixture;
    const auto event = firstEventAfter(fixture, makeServicePayload(), "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", End::Closed);
    EXPECT_TRUE(std::holds_alternative<routing::AttemptStarted>(event));
}
