/// \file
/// Heads that are cut off: of answers and of requests, at each byte.

#include "runtime/net/endpoint.h"
#include "wire/http/client.h"
#include "wire/http/server.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace auburnspread;
using http::tests::fetch;

namespace
{

enum class End {
    Closed,
    Reset,
};

constexpr auto Interim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr auto WholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

auto endConnection(int descriptor, End end) -> void
{
    constexpr linger NoLinger{ .l_onoff = 1, .l_linger = 0 };
    if (end == End::Reset) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof NoLinger);
    }
    ::close(descriptor);
}

/// A server that answers the n-th request of a connection with the n-th text, and ends the connection after the last one.
class CuttingServer
{
public:
    CuttingServer(task::EventLoop &loop, std::vector<std::string> answers, End end)
        : loop_(loop)
        , answers_(std::move(answers))
        , end_(end)
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        auto address = net::toSocketAddress({ .host = "127.0.0.1" });
        EXPECT_EQ(::bind(listener_, address.get(), address.size), 0);
        EXPECT_EQ(::listen(listener_, 16), 0);
        ::getsockname(listener_, address.get(), &address.size);
        address_ = net::formatAddress(address.get());
        accepting_ = loop.whenReadable(listener_, [this]() { accept(); });
    }
    ~CuttingServer()
    {
        if (connection_ >= 0) {
            reading_ = {};
            ::close(connection_);
        }
        accepting_ = {};
        ::close(listener_);
    }
    CuttingServer(const CuttingServer &) = delete;
    auto operator=(const CuttingServer &) -> CuttingServer & = delete;

    [[nodiscard]] auto address() const -> const std::string &
    {
        return address_;
    }
    [[nodiscard]] auto accepted() const -> int
    {
        return accepted_;
    }

private:
    auto accept() -> void
    {
        const auto descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (descriptor < 0) {
            return;
        }
        ++accepted_;
        connection_ = descriptor;
        answered_ = 0;
        received_.clear();
        reading_ = loop_.whenReadable(descriptor, [this]() { read(); });
    }

    auto read() -> void
    {
        std::array<char, 4096> buffer{};
        const auto size = ::recv(connection_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        received_.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        const auto isWhole = received_.find("\r\n\r\n") != std::string::npos;
        if (size > 0 && !isWhole) {
            return;
        }
        if (isWhole) {
            received_.clear();
            const auto &answer = answers_.at(answered_++);
            ::send(connection_, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        if (!isWhole || answered_ == answers_.size()) {
            reading_ = {};
            endConnection(std::exchange(connection_, -1), end_);
        }
    }

    task::EventLoop &loop_;
    std::vector<std::string> answers_;
    End end_;
    int listener_;
    int connection_ = -1;
    std::string address_;
    std::string received_;
    std::size_t answered_ = 0;
    int accepted_ = 0;
    task::Watch reading_;
    task::Watch accepting_;
};

auto makeHeads() -> std::vector<std::string>
{
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    return {
        start + "Content-Length: 1000\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n",
        start + "Connection: close\r\n\r\n",
        start + "\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Type: application/json\nContent-Length: 1000\n\n",
    };
}

/// Each of the heads without its last byte, without its last two, and so on.
auto makeCutHeads() -> std::vector<std::string>
{
    std::vector<std::string> cut;
    for (const auto &head : makeHeads()) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            cut.push_back(head.substr(0, bytes));
        }
    }
    return cut;
}

auto isError(const http::Result &result) -> bool
{
    return std::holds_alternative<http::Error>(result);
}

auto isWholeAnswer(const http::Result &result) -> bool
{
    return !isError(result) && std::get<http::Response>(result).body == "ok";
}

} // namespace

/// Guards against an empty document that stands for one: the peer ends the connection inside the head of its answer.
TEST(CutHeadTests, anAnswerWhoseHeadIsCutAtAnyByteIsAnError)
{
    task::EventLoop loop;
    for (const auto end : { End::Closed, End::Reset }) {
        for (const auto &cut : makeCutHeads()) {
            const CuttingServer server(loop, { cut }, end);
            http::Client client(loop);
            EXPECT_TRUE(isError(fetch(loop, client, { .address = server.address(), .path = "/" }))) << cut;
            EXPECT_EQ(client.idleConnections(), 0U) << cut;
        }
    }
}

/// Guards against what is left of an earlier answer being taken for the one that is cut: both use one connection.
TEST(CutHeadTests, aLaterAnswerWhoseHeadIsCutAtAnyByteIsAnError)
{
    task::EventLoop loop;
    for (const auto &cut : makeCutHeads()) {
        const CuttingServer server(loop, { WholeAnswer, cut }, End::Closed);
        http::Client client(loop);
        const http::Request request{ .address = server.address(), .path = "/" };
        EXPECT_TRUE(isWholeAnswer(fetch(loop, client, request)));
        EXPECT_TRUE(isError(fetch(loop, client, request))) << cut;
        EXPECT_EQ(server.accepted(), 1);
    }
}

/// Guards against an interim head that stands for the one that is cut.
TEST(CutHeadTests, anAnswerWhoseHeadIsCutAfterAnInterimOneIsAnError)
{
    task::EventLoop loop;
    for (const auto &cut : makeCutHeads()) {
        const CuttingServer server(loop, { Interim + cut }, End::Closed);
        http::Client client(loop);
        EXPECT_TRUE(isError(fetch(loop, client, { .address = server.address(), .path = "/" }))) << cut;
    }
}

/// Guards against tests above that find an error in any answer.
TEST(CutHeadTests, anAnswerThatIsNotCutIsWhole)
{
    task::EventLoop loop;
    for (const auto *answer : { WholeAnswer,
                                "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
                                "HTTP/1.0 200 OK\r\n\r\nok",
                                "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" }) {
        const CuttingServer server(loop, { answer }, End::Closed);
        http::Client client(loop);
        EXPECT_TRUE(isWholeAnswer(fetch(loop, client, { .address = server.address(), .path = "/" }))) << answer;
    }
}

/// Guards against a document that stands for one although its head states no status of the protocol, or several lengths.
TEST(CutHeadTests, anAnswerWithAnOddHeadIsAnError)
{
    task::EventLoop loop;
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    for (const auto &answer : { "HTTP/1.1 4294967496 OK" + rest,
                                "HTTP/1.1 +200 OK" + rest,
                                "HTTP/1.1 200x OK" + rest,
                                "HTTP/1.1 600 Odd" + rest,
                                "HTTP/1.1 000" + rest,
                                "HTTP/1.1  200 OK" + rest,
                                "HTTP/1.x 200 OK" + rest,
                                "HTTP/1.1 200 OK\r\nContent-Length: 8" + rest,
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip" + rest,
                                std::string("HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok") }) {
        for (const auto isLater : { false, true }) {
            const CuttingServer server(loop, isLater ? std::vector<std::string>{ WholeAnswer, answer } : std::vector<std::string>{ answer }, End::Closed);
            http::Client client(loop);
            const http::Request request{ .address = server.address(), .path = "/" };
            EXPECT_EQ(isWholeAnswer(fetch(loop, client, request)), isLater) << answer;
            EXPECT_TRUE(isError(fetch(loop, client, request))) << answer;
        }
    }
}

/// Guards against a change that nobody has asked for: the connection ends inside the head of a request, or inside its body.
TEST(CutHeadTests, aRequestThatIsCutAtAnyByteIsNotHandled)
{
    task::EventLoop loop;
    http::Server server(loop, {});
    std::vector<std::string> handled;
    server.route("/", [&](const http::IncomingRequest &request, const http::Replier &replier) {
        handled.push_back(request.path);
        replier.replyJson(200, {});
    });
    const auto address = server.listen("127.0.0.1:0");
    const auto target = net::toSocketAddress(*net::parseEndpoint(address));
    http::Client client(loop);
    const std::string requestText = "PUT /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789";
    for (const auto end : { End::Closed, End::Reset }) {
        for (std::size_t bytes = 0; bytes < requestText.size(); ++bytes) {
            const auto caller = ::socket(AF_INET, SOCK_STREAM, 0);
            ASSERT_EQ(::connect(caller, target.get(), target.size), 0);
            ::send(caller, requestText.data(), bytes, MSG_NOSIGNAL);
            endConnection(caller, end);
            // a whole request after it, so that the server has read the cut one
            EXPECT_FALSE(isError(fetch(loop, client, { .address = address, .path = "/whole", .freshConnection = true })));
        }
    }
    EXPECT_EQ(std::count(handled.begin(), handled.end(), "/cut"), 0);
    EXPECT_EQ(handled.size(), 2 * requestText.size());
}
