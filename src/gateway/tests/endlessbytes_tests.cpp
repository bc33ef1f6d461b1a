#include "gateway/cachereader.h"
#include "gateway/clock.h"
#include "gateway/tests/site.h"
#include "gateway/tests/upstreamcallbacks.h"
#include "gateway/upstream.h"
#include "platform/standins/rejectionline.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <thread>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;
namespace standins = auburnspread::adapter::standins;

namespace
{

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = Kilobyte * Kilobyte;
constexpr std::size_t HeadLimit = 64 * Kilobyte;
constexpr std::size_t EventLimit = 256 * Kilobyte;
constexpr std::size_t BodyLimit = 16 * Megabyte;
/// What a library may hold beside the bytes themselves, and what one read may add.
constexpr std::size_t Overhead = Megabyte;
/// A text that grows holds up to twice its size, and as much again while it is moved.
constexpr std::size_t GrowthFactor = 3;
constexpr Duration AttemptTimeout = std::chrono::minutes(10);
/// Of an entry, beside some 20 MB that it needs at rest.
constexpr std::size_t EntryBytes = 90 * Megabyte;
/// A test that has failed anyway ends here.
constexpr std::size_t MostEver = 160 * Megabyte;
constexpr Duration HangTimeout = std::chrono::seconds(30); // only a failing test reaches it

/// How a server sends the bytes that it repeats.
enum class Pace {
    Fast,       ///< as many as the connection takes
    ByteByByte, ///< each in a segment of its own
    None,       ///< none: the bytes before them must suffice for the decision
};

/// A response that has no end.
struct Endless {
    const char *name;
    std::string start; ///< sent once
    std::string piece; ///< sent again and again
    Failure failure{};
    std::size_t limit = 0; ///< bytes that the entry may hold; 0: the start shows that the response can't be used
    bool isStream = false;
};

auto operator<<(std::ostream &stream, const Endless &response) -> std::ostream &
{
    return stream << response.name;
}

auto makeBodyHead(const std::string &headers, const std::string &id = "id-1", const std::string &status = "200 OK") -> std::string
{
    return makeAnswerHead(id, status) + headers + "\r\n";
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string chunkedEvents = "Content-Type: text/event-stream\r\n" + chunked;
const std::string notStarted = standins::notStartedLine() + "\r\n";

auto makeResponses() -> std::vector<Endless>
{
    constexpr auto Chunk = "5\r\naaaaa\r\n";
    constexpr auto StatusLine = "HTTP/1.1 200 OK\r\n";
    const auto wrongHead = makeBodyHead(chunked, "id-2");
    return {
        { "noResponse", "\x01\x02 no response", "}{", Failure::BadResponse },
        { "statusLine", "HTTP/1.1 200 ", "O", Failure::BadResponse, HeadLimit },
        { "headerLine", std::string(StatusLine) + "X-Line: ", "a", Failure::BadResponse, HeadLimit },
        { "headerLines", StatusLine, "X-Line: 1\r\n", Failure::BadResponse, HeadLimit },
        { "shortHeaderLines", StatusLine, "a:\r\n", Failure::BadResponse, HeadLimit },
        { "continuedHeaderLine", std::string(StatusLine) + "X-Line: 1\r\n", " a\r\n", Failure::BadResponse, HeadLimit },
        { "interim100", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", Failure::BadResponse },
        { "bytesAfterInterim100", "HTTP/1.1 100 Continue\r\n\r\n", "a", Failure::BadResponse },
        { "interim103", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", Failure::BadResponse },
        { "chunkSize", makeBodyHead(chunked), "0", Failure::BadResponse, HeadLimit },
        { "chunkSizeOfEvents", makeBodyHead(chunkedEvents), "0", Failure::BadResponse, HeadLimit, true },
        { "chunkExtension", makeBodyHead(chunked) + Chunk + "5 ", ";a", Failure::BadResponse, HeadLimit },
        { "chunkExtensionOfEvents", makeBodyHead(chunkedEvents) + Chunk + "5;", "a", Failure::BadResponse, HeadLimit, true },
        { "emptyChunkSizes", makeBodyHead(chunked) + Chunk, "\r\n", Failure::BadResponse, HeadLimit },
        { "trailers", makeBodyHead(chunked) + Chunk + "0\r\n", "X-Line: 1\r\n", Failure::BadResponse, HeadLimit },
        { "trailerLineOfEvents", makeBodyHead(chunkedEvents) + Chunk + "0\r\nX-Line: ", "a", Failure::BadResponse, HeadLimit, true },
        { "wrongAttempt", wrongHead, Chunk, Failure::WrongAttempt },
        { "wrongAttemptOfEvents", wrongHead, Chunk, Failure::WrongAttempt, 0, true },
        { "wrongAttemptToConnectionEnd", makeBodyHead("", "id-2"), "a", Failure::WrongAttempt },
        { "contentEncoding", makeBodyHead(chunked + "Content-Encoding: gzip\r\n"), Chunk, Failure::BadResponse },
        { "unsigned", std::string(StatusLine) + standins::attemptIdLine("id-1") + "\r\n" + chunked + "\r\n", Chunk, Failure::BadResponse },
        { "notStarted", makeBodyHead(chunked + notStarted, "id-1", "503 Busy"), Chunk, Failure::NotStarted },
        { "doubtful503", makeBodyHead(chunked, "id-1", "503 Busy"), Chunk, Failure::BadResponse },
        { "event", makeBodyHead(chunkedEvents), "7\r\ndata: a\r\n", Failure::BadResponse, EventLimit, true },
        { "eventToConnectionEnd", makeBodyHead("Content-Type: text/event-stream\r\n"), "data: a", Failure::BadResponse, EventLimit, true },
        { "eventInOneChunk", makeBodyHead(chunkedEvents) + "fff000\r\n", "a", Failure::BadResponse, 4 * EventLimit, true },
        { "documentInsteadOfEvents", makeBodyHead("Content-Type: application/json\r\n" + chunked), Chunk, Failure::BadResponse, EventLimit, true },
        { "body", makeBodyHead(chunked), "400\r\n" + std::string(Kilobyte, 'a') + "\r\n", Failure::BadResponse, BodyLimit },
        { "bodyToConnectionEnd", makeBodyHead(""), std::string(Kilobyte, 'a'), Failure::BadResponse, BodyLimit },
        { "longBody", makeBodyHead("Content-Length: 999999999999\r\n"), "a", Failure::BadResponse },
        { "longChunk", makeBodyHead(chunked) + "7fffffff\r\n", "a", Failure::BadResponse },
        { "bodyOfError", makeBodyHead(chunked, "id-1", "500 Error"), "400\r\n" + std::string(Kilobyte, 'a') + "\r\n", Failure::BadResponse, BodyLimit },
    };
}

/// A server in a thread that sends one response until the other side closes the connection.
class EndlessServer
{
public:
    EndlessServer(const Endless &response, Pace pace)
        : thread_([this, response, pace]() { run(response, pace); })
    {
    }
    ~EndlessServer()
    {
        thread_.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    auto operator=(const EndlessServer &) -> EndlessServer & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return server_.address();
    }
    [[nodiscard]] auto sawEnd() const -> bool
    {
        return sawEnd_;
    }

private:
    auto run(const Endless &response, Pace pace) -> void
    {
        constexpr std::size_t BlockBytes = 64 * Kilobyte;
        std::string block;
        while (block.size() < BlockBytes) {
            block += response.piece;
        }
        const auto connection = server_.accept();
        connection.readUntil(EndOfHead);
        connection.send(response.start);
        if (pace != Pace::None) {
            const auto step = pace == Pace::Fast ? block.size() : 1;
            for (std::size_t at = 0; connection.trySend(std::string_view(block).substr(at, step));) {
                at = (at + step) % block.size();
            }
        }
        sawEnd_ = connection.seesEndOrReset();
    }

    const Server server_;
    std::atomic<bool> sawEnd_ = false;
    std::thread thread_;
};

struct Outcome {
    std::vector<std::optional<Failure>> ends; ///< of the attempts; not set: a complete response
    bool isOver = false;                      ///< all have ended and all connections are closed
    std::size_t mostHeld = 0;                 ///< of the heap, beyond what was in use before
};

auto heapInUse() -> std::size_t
{
    const auto heap = ::mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

/// How much more of the heap is in use than at the construction.
class HeapGrowth
{
public:
    auto measure() -> void
    {
        const auto inUse = heapInUse();
        most_ = std::max(most_, inUse - std::min(before_, inUse));
    }
    [[nodiscard]] auto most() const -> std::size_t
    {
        return most_;
    }

private:
    std::size_t before_ = heapInUse();
    std::size_t most_ = 0;
};

/// A client for backend servers, on its own event loop. No time passes for its attempts.
class Client
{
public:
    /// Sends an attempt to each server. Ends when all attempts have ended and all connections are closed, or at a bound that only failures
    /// reach.
    auto play(const std::deque<EndlessServer> &servers, bool isStream) -> Outcome
    {
        for (const auto &server : servers) {
            upstream_.send(
                {
                    .attempt = AttemptId{ ++attempts_ },
                    .server = "i-1",
                    .address = server.address(),
                    .remaining = AttemptTimeout,
                    .isStream = isStream,
                },
                std::make_shared<const BufferedRequest>(BufferedRequest{ .target = "/check/1" }),
                "id-1");
        }
        HeapGrowth growth;
        const auto end = now() + HangTimeout;
        const auto observer = loop_.every(std::chrono::milliseconds(1), [&]() {
            growth.measure();
            outcome_.mostHeld = growth.most();
            const auto isOver = outcome_.ends.size() == servers.size() && std::all_of(servers.begin(), servers.end(), std::mem_fn(&EndlessServer::sawEnd));
            outcome_.isOver = isOver;
            if (isOver || now() > end || outcome_.mostHeld > MostEver) {
                loop_.stop();
            }
        });
        const auto reviewer = loop_.every(ReviewInterval, [&]() { upstream_.reviewAttempts(startedAt_); });
        loop_.run();
        return outcome_;
    }

private:
    auto callbacks() -> UpstreamCallbacks
    {
        auto callbacks = ignoringCallbacks();
        callbacks.onStreamEnded = [this](AttemptId, const BodyEnd &) { outcome_.ends.emplace_back(std::nullopt); };
        callbacks.onResponse = [this](AttemptId, const BufferedResponse &, const BodyEnd &) { outcome_.ends.emplace_back(std::nullopt); };
        callbacks.onFailed = [this](AttemptId, const AttemptFailure &failure) { outcome_.ends.emplace_back(failure.failure); };
        callbacks.onNoRoom = [this](AttemptId attempt) {
            outcome_.ends.emplace_back(Failure::BadResponse);
            upstream_.cancel(attempt);
        };
        return callbacks;
    }

    task::EventLoop loop_;
    std::uint64_t attempts_ = 0;
    TimePoint startedAt_ = now();
    Outcome outcome_;
    memory::Account account_{ loop_, { .bytes = std::size_t{ 32 } * 1024 * 1024 } };
    Upstream upstream_{ loop_, account_, callbacks() };
};

class EndlessResponseTests : public testing::TestWithParam<std::tuple<Endless, Pace>>
{
};

auto nameOf(const testing::TestParamInfo<EndlessResponseTests::ParamType> &parameters) -> std::string
{
    const auto [response, pace] = parameters.param;
    return std::string(response.name) + (pace == Pace::Fast ? "Fast" : pace == Pace::ByteByByte ? "ByteByByte" : "Stopped");
}

auto makeCases() -> std::vector<EndlessResponseTests::ParamType>
{
    std::vector<EndlessResponseTests::ParamType> cases;
    for (const auto &response : makeResponses()) {
        cases.emplace_back(response, Pace::Fast);
        if (response.limit < BodyLimit) {
            cases.emplace_back(response, Pace::ByteByByte);
        }
        if (response.limit == 0) {
            cases.emplace_back(response, Pace::None);
        }
    }
    return cases;
}

} // namespace

/// Guards against servers that send bytes without end and so hold an attempt, or the entry's memory, for as long as they like.
TEST_P(EndlessResponseTests, theAttemptEndsWithinItsLimits)
{
    const auto &[response, pace] = GetParam();
    std::deque<EndlessServer> servers;
    servers.emplace_back(response, pace);
    const auto outcome = Client().play(servers, response.isStream);
    EXPECT_EQ(outcome.ends, (std::vector<std::optional<Failure>>{ response.failure }));
    EXPECT_LE(outcome.mostHeld, GrowthFactor * response.limit + Overhead);
    EXPECT_TRUE(outcome.isOver);
}

INSTANTIATE_TEST_SUITE_P(Responses, EndlessResponseTests, testing::ValuesIn(makeCases()), nameOf);

/// Guards against bytes after a complete response, which hold the connection, or are taken for the next response.
TEST(EndlessBytesTests, bytesAfterAResponseCloseItsConnection)
{
    const Endless response{ "", makeAnswer("id-1", "answer"), "HTTP/1.1 200 OK\r\n", Failure::BadResponse };
    for (const auto pace : { Pace::Fast, Pace::ByteByByte }) {
        std::deque<EndlessServer> servers;
        servers.emplace_back(response, pace);
        const auto outcome = Client().play(servers, false);
        EXPECT_EQ(outcome.ends, std::vector<std::optional<Failure>>(1));
        EXPECT_LE(outcome.mostHeld, Overhead);
        EXPECT_TRUE(outcome.isOver);
    }
}

/// Guards against responses that are each within their limit and together exceed the memory of the entry.
TEST(EndlessBytesTests, responsesOfManyAttemptsFitIntoTheEntry)
{
    constexpr std::size_t Attempts = 12;
    const Endless response{ "", makeBodyHead("") + std::string(BodyLimit - Megabyte, 'a'), "a", Failure::BadResponse };
    std::deque<EndlessServer> servers;
    for (std::size_t i = 0; i < Attempts; ++i) {
        servers.emplace_back(response, Pace::ByteByByte);
    }
    EXPECT_LE(Client().play(servers, false).mostHeld, EntryBytes);
}

/// Guards against an entry that ends for want of memory right after its start, as engines send lists of their caches without end.
TEST(EndlessBytesTests, listsOfCachesWithoutEndFitIntoTheEntry)
{
    constexpr std::size_t Engines = 24;
    const Endless response{ "", makeBodyHead(""), "a", Failure::BadResponse };
    std::deque<EndlessServer> engines;
    std::vector<passthrough::Server> servers;
    for (std::size_t i = 0; i < Engines; ++i) {
        engines.emplace_back(response, Pace::Fast);
        servers.push_back({ .id = "i-" + std::to_string(i), .address = engines.back().address() });
    }
    task::EventLoop loop;
    std::size_t failed = 0;
    CacheReader reader(loop,
                       {
                           .onListed = [](const passthrough::CacheListed &) { FAIL(); },
                           .onFailed = [&](std::string_view, const std::string &) { failed += 1; },
                           .onNotice = [](const passthrough::CallNoticed &) {},
                       });
    HeapGrowth growth;
    const auto end = now() + HangTimeout;
    const auto observer = loop.every(std::chrono::milliseconds(1), [&]() {
        growth.measure();
        if (failed == Engines || now() > end || growth.most() > MostEver) {
            loop.stop();
        }
    });
    reader.readOnce(servers, { "entry-1" }, "entry-1");
    loop.run();
    EXPECT_EQ(failed, Engines);
    EXPECT_LE(growth.most(), EntryBytes);
}

/// Guards against requests that wait for the end of a response that can't be used, until their deadline.
TEST(EndlessBytesTests, aRequestGoesToAnotherServerWhenTheResponseIsKnownToBeBad)
{
    Site site;
    const Server faulty;
    site.addServer("i-1", "portal", faulty.address());
    Caller caller(site.callerAddress());
    caller.send(makeRequest("/fetch/1", "id-1"));
    const auto endless = faulty.accept();
    endless.readUntil(EndOfHead);
    const Server sound;
    site.addServer("i-2", "portal", sound.address());
    endless.send(makeBodyHead(chunked, "id-2") + "5\r\naaaaa\r\n");
    const auto connection = sound.accept();
    connection.readUntil(EndOfHead);
    connection.send(makeAnswer("id-1", "answer"));
    EXPECT_TRUE(caller.readUntil("answer").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(endless.seesEndOrReset());
}

/// The same for a request that must not be repeated.
TEST(EndlessBytesTests, aRequestThatMayRunOnceIsAnsweredWhenTheResponseIsKnownToBeBad)
{
    SiteWithServer served;
    const auto connection = served.sendAndAccept(makeRequest("/notice/1", "id-1", "x"));
    connection.send(makeBodyHead(chunked + "Content-Encoding: gzip\r\n") + "5\r\naaaaa\r\n");
    EXPECT_TRUE(served.caller.readUntil(EndOfHead).starts_with("HTTP/1.1 502 "));
    EXPECT_TRUE(connection.seesEndOrReset());
}
