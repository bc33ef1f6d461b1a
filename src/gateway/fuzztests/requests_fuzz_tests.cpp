// Corrupted requests on real connections, in a build with sanitizers that aborts at the first invalid memory access. Every
// accepted request must be safe to forward as it is: no line break in its target or headers, no ambiguous body length.

#include "gateway/frontend.h"
#include "gateway/fuzztests/mutation.h"
#include "runtime/net/endpoint.h"
#include "standins/testing/relayparts.h"

#include <gtest/gtest.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

constexpr std::size_t LargestAccount = std::size_t{ 1024 } * 1024 * 1024; // its limit is not what these tests are about
constexpr std::size_t MaxConnections = 100;

constexpr std::uint64_t Seed = 20261203;
constexpr int Rounds = 1500;

auto hasLineBreak(const std::string &text) -> bool
{
    return text.find_first_of(std::string("\r\n\0", 3)) != std::string::npos;
}

auto checkRequest(const BufferedRequest &message) -> void
{
    EXPECT_FALSE(hasLineBreak(message.target)) << message.target;
    auto lengths = 0;
    for (const auto &header : message.headers) {
        EXPECT_FALSE(hasLineBreak(header.name) || hasLineBreak(header.value)) << header.name << ": " << header.value;
        lengths += http::isSameWord(header.name, "Content-Length") || http::isSameWord(header.name, "Transfer-Encoding") ? 1 : 0;
    }
    EXPECT_LE(lengths, 1);
}

/// A frontend that responds to each request at once, and a client that sends it corrupted requests, each on its own connection.
class Target
{
public:
    Target()
        : frontend_(loop_,
                    account_,
                    MaxConnections,
                    { .onRequest =
                          [this](RequestId request, const BufferedRequestPointer &message) {
                              checkRequest(*message);
                              frontend_.respond(request, { .status = 200, .body = "done" });
                          },
                      .onCallerGone = [](RequestId) {},
                      .onAbandonedRequest = [](const http::Headers &) {},
                      .onBadRequest = [](std::string_view, std::string_view) {} })
    {
        frontend_.setLimits({ .headerBytes = 2000, .bodyBytes = 2000 });
        frontend_.listen("127.0.0.1:0");
    }

    /// Sends \p bytes on a new connection and reads until the frontend closes it or \p timeout has passed: an incomplete request
    /// would keep the connection open for the idle timeout. \return the bytes read
    auto send(const std::string &bytes, Duration timeout = std::chrono::milliseconds(3)) -> std::string
    {
        const auto address = net::toSocketAddress(net::parseEndpoint(frontend_.address()).value());
        const standins::BuffereventPointer connection(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(
            connection.get(),
            nullptr,
            nullptr,
            [](bufferevent *, short what, void *context) {
                if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                    static_cast<task::EventLoop *>(context)->stop();
                }
            },
            &loop_);
        bufferevent_enable(connection.get(), EV_READ);
        bufferevent_socket_connect(connection.get(), address.get(), static_cast<int>(address.size));
        bufferevent_write(connection.get(), bytes.data(), bytes.size());
        const auto timer = loop_.after(timeout, [this]() { loop_.stop(); });
        loop_.run();
        auto *input = bufferevent_get_input(connection.get());
        std::string answer(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, answer.data(), answer.size());
        return answer;
    }

private:
    task::EventLoop loop_;
    memory::Account account_{ loop_, { .bytes = LargestAccount } };
    Frontend frontend_;
};

} // namespace

TEST(RequestsFuzzTests, corruptedRequestsAreHandledSafely)
{
    const std::vector<std::string> valid = {
        "GET /fetch/1?a=b HTTP/1.1\r\nHost: quotes.example\r\nAccept: */*\r\n\r\n",
        "POST /notice/1 HTTP/1.1\r\nHost: quotes.example\r\nContent-Length: 5\r\n\r\nhello",
        "POST /quote/1 HTTP/1.1\r\nHost: quotes.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "POST /notice/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\nGET /fetch/2 HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    Mutator mutator(Seed,
                    { "\r\n",
                      "\n",
                      "\r",
                      std::string(1, '\0'),
                      " ",
                      "\t",
                      "Content-Length: 7\r\n",
                      "Content-Length: -1\r\n",
                      "Transfer-Encoding: chunked\r\n",
                      "Transfer-Encoding: identity\r\n",
                      "Expect: 100-continue\r\n",
                      "Connection: close\r\n",
                      "ffffffffffffffff\r\n",
                      "HTTP/1.0",
                      "HTTP/9.9",
                      "CONNECT ",
                      "PATCH ",
                      "http://other.example/",
                      "/../",
                      "%00",
                      "%zz",
                      std::string(3000, 'a') });
    Target target;
    for (auto round = 0; round < Rounds; ++round) {
        target.send(mutator.mutate(valid.at(static_cast<std::size_t>(round) % valid.size())));
    }
    const auto answer = target.send("GET /fetch/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", std::chrono::seconds(30));
    EXPECT_TRUE(answer.ends_with("done")) << "the frontend must still respond: " << answer;
}
