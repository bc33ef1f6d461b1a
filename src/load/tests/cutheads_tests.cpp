/// \file
/// Answers to the load program whose head is cut off at each byte.

#include "entry/backend/tests/tcpserver.h"
#include "load/httpclient.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <thread>

using namespace auburnspread;

namespace
{

/// What the load program makes of an answer.
struct Outcome {
    std::optional<load::HttpEnd> end;
    bool hasHead = false;
};

auto play(const std::string &bytes, bool isReset) -> Outcome
{
    const entry::TcpServer server;
    std::thread thread([&]() {
        auto connection = server.accept();
        connection.readUntil("\r\n\r\n");
        connection.send(bytes);
        if (isReset) {
            connection.reset();
        }
    });
    task::EventLoop loop;
    load::HttpClient client(loop);
    Outcome outcome;
    const auto call = client.start({ .address = server.address() },
                                   {
                                       .onHead = [&](const load::HttpHead &) { outcome.hasHead = true; },
                                       .onEnd =
                                           [&](load::HttpEnd end) {
                                               outcome.end = end;
                                               loop.stop();
                                           },
                                   });
    loop.run();
    thread.join();
    return outcome;
}

} // namespace

/// Guards against a measurement that counts a cut answer as a whole one: the entry ends the connection inside the head.
TEST(CutHeadTests, anAnswerWhoseHeadIsCutAtAnyByteIsBroken)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
    for (const auto isReset : { false, true }) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            const auto outcome = play(head.substr(0, bytes), isReset);
            EXPECT_EQ(outcome.end, load::HttpEnd::Broken) << bytes;
            EXPECT_FALSE(outcome.hasHead) << bytes;
        }
    }
}

/// Guards against a test above that finds any answer broken.
TEST(CutHeadTests, anAnswerWhoseHeadIsNotCutIsComplete)
{
    const auto outcome = play("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(outcome.end, load::HttpEnd::Complete);
    EXPECT_TRUE(outcome.hasHead);
}
