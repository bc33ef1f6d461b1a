#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

TEST(PassThroughTests, methodPathQueryBodyAndHeadersPassUnchangedAndTheKeyDoesNot)
{
    ServedSite served;
    served.caller.send(makeRequest("/notice/a%2Fb?x=1&y=%20", "id-1", "body of the request", "X-Own: 7\r\n" + standins::deadlineLine(2500) + "\r\n"));
    const auto connection = served.server.accept();
    const auto received = connection.readUntil("body of the request");
    EXPECT_TRUE(received.starts_with("POST /notice/a%2Fb?x=1&y=%20 HTTP/1.1\r\n")) << received;
    const std::vector<std::string> headers = {
        "Host: quotes.example", "X-Own: 7", standins::attemptIdLine("id-1"), standins::workspaceLine("roofers"), standins::expectedServerLine("i-1"),
    };
    for (const auto &header : headers) {
        EXPECT_TRUE(contains(received, header)) << header << " in " << received;
    }
    EXPECT_FALSE(contains(received, "key-1"));
    connection.send(makeAnswer("id-1", "the answer", "201 Created"));
    const auto answer = served.caller.readUntil("the answer");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 201 ")) << answer;
    EXPECT_TRUE(contains(answer, standins::signatureLine("sig-id-1")));
    EXPECT_TRUE(contains(answer, "Content-Length: 10"));
}

TEST(PassThroughTests, aChunkedBodyPassesWhole)
{
    ServedSite served;
    served.caller.send(makeHead("POST /notice/1", "id-1")
                       + "Transfer-Encoding: chunked\r\n\r\n"
                         "5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n");
    const auto connection = served.server.accept();
    EXPECT_TRUE(contains(connection.readUntil("first second"), "Content-Length: 12"));
}

/// What a caller sees: half a quote that looks whole. The server promises more bytes than it sends and closes. The call may
/// have run, so nobody may repeat it, and the caller must get an error that promises nothing.
TEST(PassThroughTests, anAnswerThatWasCutIsNeverDelivered)
{
    ServedSite served;
    {
        const auto connection = served.receive(makeRequest("/notice/1", "id-1", "x"));
        auto answer = makeAnswer("id-1", "a whole answer");
        connection.send(answer.substr(0, answer.size() - 5));
    }
    const auto answer = served.caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_FALSE(contains(answer, "Retry-After"));
}

/// What a caller sees: another caller's answer. An answer that was given up arrives late on a connection that is used again;
/// its id gives it away.
TEST(PassThroughTests, anotherRequestsAnswerIsNeverDelivered)
{
    ServedSite served;
    const auto connection = served.receive(makeRequest("/notice/1", "id-1", "x"));
    connection.send(makeAnswer("id-other", "secret of another"));
    const auto answer = served.caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_TRUE(connection.seesEnd()) << "what still comes on this connection can't be told apart";
}

/// What a caller sees: the end of the last caller's answer as its own. Bytes follow a whole answer; the connection must
/// not be used again.
TEST(PassThroughTests, aConnectionWithBytesLeftOverIsNotUsedAgain)
{
    ServedSite served;
    const auto first = served.receive(makeRequest("/notice/1", "id-1", "x"));
    first.send(makeAnswer("id-1", "first") + makeAnswer("id-2", "forged"));
    EXPECT_TRUE(contains(served.caller.readUntil("first"), "200"));
    const auto second = served.receive(makeRequest("/notice/2", "id-2", "x"));
    second.send(makeAnswer("id-2", "second"));
    EXPECT_TRUE(contains(served.caller.readUntil("second"), "200"));
}

TEST(PassThroughTests, anAnswerWithoutLengthEndsWithItsConnection)
{
    ServedSite served;
    {
        const auto connection = served.receive(makeRequest("/notice/1", "id-1", "x"));
        connection.send(makeAnswerHead("id-1") + "\r\nuntil the end");
    }
    EXPECT_TRUE(contains(served.caller.readUntil("until the end"), "Content-Length: 13"));
}

/// What a caller sees: a success that no backend server gave. Only an answer with the server's signature may pass as one.
TEST(PassThroughTests, aSuccessWithoutSignatureIsNotDelivered)
{
    ServedSite served;
    const auto connection = served.receive(makeRequest("/notice/1", "id-1", "x"));
    connection.send("HTTP/1.1 200 OK\r\n" + standins::attemptIdLine("id-1") + "\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(served.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
}

/// What a caller sees: "not run, come again" for a notice that was sent. A server answers 503 without the word that it ran
/// nothing; passing it on would promise what nobody knows.
TEST(PassThroughTests, aBare503OfAServerIsNoPromise)
{
    ServedSite served;
    const auto connection = served.receive(makeRequest("/notice/1", "id-1", "x"));
    connection.send(makeAnswer("id-1", "", "503 Service Unavailable"));
    EXPECT_TRUE(served.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
}

/// What an operator sees: an alert on retries that never comes. A call breaks at its first server and goes to its second; the
/// repeat counts under the failure that caused it.
TEST(PassThroughTests, anIdempotentCallGoesToAnotherServerWhenItsFirstBreaks)
{
    Site site;
    auto first = std::make_unique<Server>();
    site.addServer("i-1", "portal", first->address());
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/fetch/1", "id-1"));
    auto broken = first->accept();
    broken.readUntil(EndOfHead);
    const Server second;
    site.addServer("i-2", "portal", second.address());
    broken.close();
    const auto connection = second.accept();
    EXPECT_TRUE(contains(connection.readUntil(EndOfHead), standins::expectedServerLine("i-2")));
    EXPECT_TRUE(contains(site.metrics(), "auburnspread_retries_total{reason=\"broken-before-first-byte\"} 1"));
    connection.send(makeAnswer("id-1", "answer"));
    EXPECT_TRUE(contains(caller.readUntil("answer"), "200"));
}

/// What an operator sees: servers at work for callers that left long ago. The caller closes before the answer; the
/// connection to the server must be closed at once.
TEST(PassThroughTests, aCallerThatLeavesEndsTheWorkAtTheServer)
{
    ServedSite served;
    const auto connection = served.receive(makeRequest("/fetch/1", "id-1"));
    served.caller.close();
    EXPECT_TRUE(connection.seesEnd());
}

/// What an operator sees: a request that its sender had no key for. The body's length is given twice; the two ends could
/// disagree on where the next request begins. Nothing behind it may be read.
TEST(PassThroughTests, aDoubtfulLengthIsRefusedAndTheConnectionClosed)
{
    Site site;
    const Server server;
    site.addServer("i-1", "portal", server.address());
    for (const auto *headers : { "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n" }) {
        Caller caller(site.callerAddress());
        caller.send(makeHead("POST /notice/1", "id-1") + headers + "\r\n0\r\n\r\n" + makeHead("GET /fetch/smuggled", "id-2") + "\r\n");
        const auto answer = caller.readToEnd();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << headers << answer;
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    }
    EXPECT_TRUE(contains(site.metrics(), "auburnspread_sends_total 0"));
}

/// What a caller sees: "withheld" for a call that harms nobody. Two callers fetch the same path; the connections of one break
/// twice. The other one's call has no body either, but is another request.
TEST(PassThroughTests, aCallIsNotWithheldForWhatBefellAnotherCaller)
{
    Site site;
    const Server server;
    site.addServer("i-1", "portal", server.address());
    for (auto i = 0; i < 2; ++i) {
        Caller caller(site.callerAddress());
        caller.send(makeRequest("/notice/popular", "id-1", "same"));
        auto connection = server.accept();
        connection.readUntil("same");
        connection.close();
        EXPECT_TRUE(caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
    }
    Caller again(site.callerAddress());
    again.send(makeRequest("/notice/popular", "id-2", "same"));
    EXPECT_TRUE(again.readUntil(EndOfHead).starts_with("HTTP/1.1 503 ")) << "this caller's request broke two connections";
    Caller other(site.callerAddress());
    other.send(makeHead("POST /notice/popular", "id-3", "key-other") + "Content-Length: 4\r\n\r\nsame");
    const auto connection = server.accept();
    connection.readUntil("same");
    connection.send(makeAnswer("id-3", "answer"));
    EXPECT_TRUE(contains(other.readUntil("answer"), "200"));
}

/// What an operator sees: as above. A lone carriage return stands in the target; a backend server that takes it for the end of
/// the line would read two requests.
TEST(PassThroughTests, aLineEndInTheTargetIsRefused)
{
    const ServedSite served;
    Caller caller(served.site.callerAddress());
    caller.send(makeHead("GET /fetch/1\rX-Smuggled: 1", "id-1") + "\r\n");
    EXPECT_TRUE(caller.readToEnd().starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(contains(served.site.metrics(), "auburnspread_sends_total 0"));
}

TEST(PassThroughTests, anOversizeHeadIsRefused)
{
    Site site;
    Caller caller(site.callerAddress());
    caller.send("GET /fetch/1 HTTP/1.1\r\nHost: quotes.example\r\nX-Long: " + std::string(40'000, 'x') + "\r\n\r\n");
    EXPECT_FALSE(contains(caller.readToEnd(), " 200 "));
}
