#include "gateway/tests/site.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr auto OneCallerGone = "auburnspread_callers_gone_total 1\n";

} // namespace

TEST(PassThroughTests, methodPathQueryBodyAndHeadersAreForwardedUnchangedWithoutTheKey)
{
    SiteWithServer served;
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

TEST(PassThroughTests, aChunkedBodyIsForwardedCompletely)
{
    SiteWithServer served;
    served.caller.send(makeHead("POST /notice/1", "id-1")
                       + "Transfer-Encoding: chunked\r\n\r\n"
                         "5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n");
    const auto connection = served.server.accept();
    EXPECT_TRUE(contains(connection.readUntil("first second"), "Content-Length: 12"));
}

/// Guards against a truncated response that looks complete: the server closes the connection after fewer bytes than its
/// Content-Length. The request may have run, so it must not be retried, and the caller must get an error that does not
/// invite a retry.
TEST(PassThroughTests, aTruncatedResponseIsNotDelivered)
{
    SiteWithServer served;
    {
        const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
        auto answer = makeAnswer("id-1", "a whole answer");
        connection.send(answer.substr(0, answer.size() - 5));
    }
    const auto answer = served.caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_FALSE(contains(answer, "Retry-After"));
}

/// Guards against a caller that receives another caller's response: the response to an abandoned request arrives late on a
/// reused connection. Its attempt id does not match.
TEST(PassThroughTests, aResponseToAnotherRequestIsNotDelivered)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
    connection.send(makeAnswer("id-other", "secret of another"));
    const auto answer = served.caller.readUntil(EndOfHead);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_TRUE(connection.seesEnd()) << "further bytes on this connection can't be assigned to a request";
}

/// Guards against bytes after a complete response that the next caller would receive as its own response: the connection must
/// not be reused.
TEST(PassThroughTests, aConnectionWithUnreadBytesIsNotReused)
{
    SiteWithServer served;
    const auto first = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
    first.send(makeAnswer("id-1", "first") + makeAnswer("id-2", "forged"));
    EXPECT_TRUE(contains(served.caller.readUntil("first"), "200"));
    const auto second = served.sendAndAccept(makeRequest("/notice/2", "id-2", "x"));
    second.send(makeAnswer("id-2", "second"));
    EXPECT_TRUE(contains(served.caller.readUntil("second"), "200"));
}

TEST(PassThroughTests, aResponseWithoutLengthEndsWithItsConnection)
{
    SiteWithServer served;
    {
        const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
        connection.send(makeAnswerHead("id-1") + "\r\nuntil the end");
    }
    EXPECT_TRUE(contains(served.caller.readUntil("until the end"), "Content-Length: 13"));
}

/// Guards against a success that did not come from a backend server: a success needs the server's signature.
TEST(PassThroughTests, aSuccessWithoutSignatureIsNotDelivered)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
    connection.send("HTTP/1.1 200 OK\r\n" + standins::attemptIdLine("id-1") + "\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(served.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
}

/// Guards against a 503, which tells the caller to retry, for a request that ran. The server responds with 503 without the
/// header that states that the request was not executed.
TEST(PassThroughTests, a503WithoutNotExecutedHeaderIsNotPassedOn)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
    connection.send(makeAnswer("id-1", "", "503 Service Unavailable"));
    EXPECT_TRUE(served.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
}

/// Guards against retries that are missing from the metrics. The connection to the first server breaks and the request goes to
/// the second; the retry is counted under the failure that caused it.
TEST(PassThroughTests, anIdempotentRequestIsRetriedOnAnotherServerAfterABrokenConnection)
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

/// Guards against servers that work for callers that have disconnected: when the caller closes its connection before the
/// response, the connection to the server must be closed at once.
TEST(PassThroughTests, theDisconnectOfACallerCancelsItsAttempt)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/fetch/1", "id-1"));
    served.caller.close();
    EXPECT_TRUE(connection.seesEnd());
}

/// Guards against the same after a reset, which a caller's host sends if the caller ends without having read everything.
TEST(PassThroughTests, aResetByACallerCancelsItsAttempt)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/quote/1", "id-1", "x"));
    served.caller.reset();
    EXPECT_TRUE(connection.seesEnd());
    EXPECT_TRUE(contains(served.site.metrics(), OneCallerGone));
}

/// Guards against the same for a caller that has already sent its next request on the connection.
TEST(PassThroughTests, aResetByACallerWithPipelinedRequestsCancelsItsAttempt)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/quote/1", "id-1", "x") + makeRequest("/fetch/2", "id-2"));
    served.caller.reset();
    EXPECT_TRUE(connection.seesEnd());
    EXPECT_TRUE(contains(served.site.metrics(), OneCallerGone));
}

/// Guards against work for callers that left while their request waited to be read. The entry is busy when the request arrives and its
/// caller closes the connection.
TEST(PassThroughTests, aRequestWhoseCallerLeftBeforeItWasReadIsNotSent)
{
    SiteWithServer served;
    served.site.runOnLoop([&](const auto &) {
        served.caller.send(makeRequest("/quote/1", "id-1", "x"));
        served.caller.close();
    });
    EXPECT_TRUE(waitUntil([&]() { return contains(served.site.metrics(), OneCallerGone); }));
    EXPECT_TRUE(contains(served.site.metrics(), "auburnspread_sends_total 0\n"));
    EXPECT_FALSE(served.server.hasConnection());
}

/// Guards against request smuggling: with two indications of the body length, entry and server could disagree on where the
/// next request begins, and a request would run that its sender had no key for. Nothing after such a request may be read.
TEST(PassThroughTests, anAmbiguousLengthIsRejectedAndTheConnectionClosed)
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

/// Guards against request smuggling through a header name that other programs read as one that states a length: what stands in the body of a request
/// would run as a request of its own (review/8).
TEST(PassThroughTests, anInvalidHeaderNameIsRejectedAndTheConnectionClosed)
{
    Site site;
    const Server server;
    site.addServer("i-1", "portal", server.address());
    const auto inner = makeHead("GET /fetch/smuggled", "id-2") + "\r\n";
    const auto length = std::to_string(inner.size());
    for (const auto &header : { "Content-Length : " + length,
                                "Content-Length\t: " + length,
                                std::string("Transfer-Encoding : chunked"),
                                std::string("Odd Name: x"),
                                std::string("Odd(Name): x"),
                                std::string(": x") }) {
        Caller caller(site.callerAddress());
        auto request = makeHead("POST /notice/1", "id-1");
        request.append(header).append(EndOfHead).append(inner);
        caller.send(request);
        const auto answer = caller.readToEnd();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << header << answer;
        EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
    }
    EXPECT_TRUE(contains(site.metrics(), "auburnspread_sends_total 0"));
}

/// Guards against a harmless request that is quarantined. Two callers send equal requests with different keys; the connections
/// of the first caller's attempts break at two servers. The other caller's request must count as a different one.
TEST(PassThroughTests, aRequestIsNotQuarantinedForTheFailuresOfAnotherCaller)
{
    Site site;
    const Server server;
    site.addServer("i-1", "portal", server.address());
    site.addServer("i-2", "portal", server.address());
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

/// Guards against request smuggling through a lone carriage return in the target: a backend server that takes it for the end of
/// the line would read two requests.
TEST(PassThroughTests, aLineBreakInTheTargetIsRejected)
{
    const SiteWithServer served;
    Caller caller(served.site.callerAddress());
    caller.send(makeHead("GET /fetch/1\rX-Smuggled: 1", "id-1") + "\r\n");
    EXPECT_TRUE(caller.readToEnd().starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(contains(served.site.metrics(), "auburnspread_sends_total 0"));
}

TEST(PassThroughTests, anOversizedHeadIsRejected)
{
    Site site;
    Caller caller(site.callerAddress());
    caller.send("GET /fetch/1 HTTP/1.1\r\nHost: quotes.example\r\nX-Long: " + std::string(40'000, 'x') + "\r\n\r\n");
    EXPECT_FALSE(contains(caller.readToEnd(), " 200 "));
}
