/// \file
/// Answers of backend servers that libevent reads more kindly than the protocol allows, and answers that end before their request was read.

#include "gateway/tests/site.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

constexpr auto LastChunk = "0\r\n\r\n";
constexpr auto Event = "id: 1\ndata: a\n\n";

/// The first words of status lines that state no status from 100 to 599.
const std::vector<std::string> oddStatuses{ "000", "0", "099", "600", "999", "2000", "4294967496", "+200", "200x", "2e2", "-20", "20", " 200" };

/// How a server sends a part of an answer before it has read its request.
struct EarlyAnswer {
    std::string framing; ///< header lines
    bool isReset = false;
    std::string path;
    bool isChunkedUpload = false;
};

auto makeUpload(const EarlyAnswer &answer) -> std::string
{
    constexpr std::size_t UploadBytes = std::size_t{ 1024 } * 1024;
    const std::string body(UploadBytes, 'u');
    const auto head = makeHead("POST " + answer.path, "id-1");
    return answer.isChunkedUpload ? head + "Transfer-Encoding: chunked\r\n\r\n" + makeChunk(body) + LastChunk
                                  : head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto makeEarlyAnswers() -> std::vector<EarlyAnswer>
{
    std::vector<EarlyAnswer> answers;
    for (const auto *framing : { "", "Connection: close\r\n", "Content-Length: 5000\r\n", "Transfer-Encoding: chunked\r\n" }) {
        for (const auto isReset : { true, false }) {
            for (const auto *path : { "/notice/1", "/quote/1" }) {
                for (const auto isChunkedUpload : { true, false }) {
                    answers.push_back({ .framing = framing, .isReset = isReset, .path = path, .isChunkedUpload = isChunkedUpload });
                }
            }
        }
    }
    return answers;
}

auto sendAndEnd(Connection connection, const EarlyAnswer &answer) -> void
{
    const auto isChunked = contains(answer.framing, "chunked");
    const auto head = makeAnswerHead("id-1") + "Content-Type: text/event-stream\r\n" + answer.framing + "\r\n";
    connection.send(head + (isChunked ? makeChunk(Event) : std::string(Event)));
    answer.isReset ? connection.reset() : connection.close();
}

/// Whether the answer that the caller gets is a success that looks complete.
auto isCompleteSuccess(Caller &caller) -> bool
{
    const auto head = caller.readUntil(EndOfHead);
    if (!head.starts_with("HTTP/1.1 200 ")) {
        return false;
    }
    return contains(head, "Content-Length") || contains(caller.readToEnd(), LastChunk);
}

} // namespace

/// Guards against an answer without a status of the protocol that the caller gets as it is, or as a success.
TEST(OddAnswerTests, aStatusThatIsNoneIsAnError)
{
    for (const auto *path : { "/notice/1", "/quote/1" }) {
        for (const auto &status : oddStatuses) {
            SiteWithServer served;
            served.sendAndAccept(makeRequest(path, "id-1")).send(makeAnswer("id-1", Event, status + " Odd"));
            const auto answer = served.caller.readUntil(EndOfHead);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << status << "\n" << answer;
        }
    }
}

/// The same in a later answer on the connection, and in an answer without a reason.
TEST(OddAnswerTests, aLaterStatusThatIsNoneIsAnError)
{
    for (const auto &status : oddStatuses) {
        SiteWithServer served;
        const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1"));
        connection.send(makeAnswer("id-1", "first"));
        served.caller.readUntil("first");
        served.caller.send(makeRequest("/notice/2", "id-2"));
        connection.readUntil(EndOfHead);
        connection.send(makeAnswer("id-2", "second", status));
        const auto answer = served.caller.readUntil(EndOfHead);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << status << "\n" << answer;
    }
}

TEST(OddAnswerTests, anyStatusOfTheProtocolIsPassedOn)
{
    for (const auto *status : { "200 OK", "200", "201 Created", "299 ", "404 Not Found", "500 Error", "599 Odd" }) {
        SiteWithServer served;
        served.sendAndAccept(makeRequest("/notice/1", "id-1")).send(makeAnswer("id-1", "answer", status));
        const auto answer = served.caller.readUntil(EndOfHead);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::string(status).substr(0, 3) + " ")) << status << "\n" << answer;
    }
}

/// Guards against a body that is cut off at one of two lengths and looks complete.
TEST(OddAnswerTests, aBodyOfUnclearLengthIsAnError)
{
    for (const auto *framing : { "Content-Length: 2\r\nContent-Length: 6\r\n",
                                 "Content-Length: 6\r\nContent-Length: 2\r\n",
                                 "Content-Length: +2\r\n",
                                 "Content-Length : 100\r\n",
                                 "Transfer-Encoding: gzip, chunked\r\n",
                                 "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n" }) {
        SiteWithServer served;
        auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1"));
        connection.send(makeAnswerHead("id-1") + framing + "\r\nanswer");
        connection.close();
        const auto answer = served.caller.readUntil(EndOfHead);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << framing << "\n" << answer;
    }
}

/// Guards against a part of an answer that looks complete: the server sent it while the request was still being written, and ended the connection.
TEST(OddAnswerTests, anAnswerThatIsCutDuringItsUploadIsNoSuccess)
{
    for (const auto &early : makeEarlyAnswers()) {
        SiteWithServer served;
        sendAndEnd(served.sendAndAccept(makeUpload(early)), early);
        EXPECT_FALSE(isCompleteSuccess(served.caller)) << early.framing << early.path << " reset " << early.isReset << " chunks " << early.isChunkedUpload;
    }
}

/// The same where another entry has the request, which is forwarded with a length in any case.
TEST(OddAnswerTests, anAnswerOfAnotherEntryThatIsCutDuringItsUploadIsNoSuccess)
{
    for (const auto &early : makeEarlyAnswers()) {
        if (early.isChunkedUpload || !early.isReset) {
            continue;
        }
        Site site;
        const Server other;
        site.addServer("i-1", "portal", makeRefusingAddress());
        site.addServer("i-2", "portal", makeRefusingAddress());
        site.addServer("i-3", "portal", makeRefusingAddress());
        site.addEntry("entry-2", other.address());
        Caller caller(site.callerAddress());
        caller.send(makeUpload(early));
        auto connection = other.accept();
        connection.readUntil(EndOfHead);
        sendAndEnd(std::move(connection), early);
        EXPECT_FALSE(isCompleteSuccess(caller)) << early.framing << early.path << " reset " << early.isReset << " chunks " << early.isChunkedUpload;
    }
}
