/// \file
/// Clients that don't behave: the process lives, stays within the memory and the descriptors of its VM, and serves afterwards.

#include "failuretests/crowd/crowd.h"
#include "failuretests/crowd/crowdplay.h"
#include "failuretests/crowd/crowdsite.h"
#include "failuretests/crowd/processusage.h"
#include "platform/standins/wiretext.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

using namespace auburnspread;
using namespace auburnspread::failuretests;

namespace
{

constexpr std::size_t Megabyte = std::size_t{ 1024 } * 1024;
/// Memory of the smallest VM of the deployments, which is the default of the settings. Bytes unread in sockets count.
constexpr std::size_t VmBytes = 88 * Megabyte;
constexpr std::size_t BodyBytes = 4 * Megabyte; ///< limit of a request's body
constexpr std::size_t HeadBytes = 4096;         ///< more than the head of a request here has
constexpr std::size_t PipelinedBytes = 40 * Megabyte;
constexpr int OkStatus = 200;
/// More than the kernel takes for a connection whose other side reads nothing.
constexpr CrowdSiteOptions LargeAnswers{ .answerBytes = 10 * Megabyte };
constexpr CrowdSiteOptions LargeStreams{ .answerBytes = 5'200'000 };
constexpr auto Chunked = "Transfer-Encoding: chunked\r\n";

auto lengthLine(std::size_t bytes) -> std::string
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

constexpr std::size_t ChunkBytes = 0x10000;

auto makeChunk() -> std::string
{
    return "10000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
}

/// Plays \p crowd and checks what must hold whatever it does.
auto check(CrowdSite &site, const CrowdOptions &crowd) -> void
{
    const auto usage = playCrowd(site.gateway(), crowd);
    EXPECT_FALSE(site.gateway().exitCode()) << site.gateway().output();
    EXPECT_LE(usage.peakBytes, VmBytes);
    // one for each client, and one to a backend server for its request, with some for the gateway's own calls
    constexpr std::size_t OwnDescriptors = 50;
    EXPECT_LE(usage.descriptors, usage.descriptorsBefore + 2 * crowd.connections + OwnDescriptors);
    EXPECT_TRUE(site.serves());
}

auto checkAtCallers(CrowdOptions crowd, const CrowdSiteOptions &options = {}) -> void
{
    CrowdSite site(options);
    crowd.address = site.addresses().caller;
    check(site, crowd);
}

auto checkPipelined(const std::string CrowdSite::Addresses::*listener, const std::string &path) -> void
{
    CrowdSite site({});
    check(site,
          { .address = site.addresses().*listener,
            .connections = 5,
            .repeated = "GET " + path + " HTTP/1.1\r\nHost: page\r\n\r\n",
            .bytesEach = PipelinedBytes });
}

auto checkBodies(const std::string CrowdSite::Addresses::*listener) -> void
{
    CrowdSite site({});
    check(site,
          { .address = site.addresses().*listener,
            .connections = 200,
            .beginning = std::string("POST / HTTP/1.1\r\nHost: page\r\n") + Chunked + "\r\n",
            .repeated = makeChunk(),
            .bytesEach = BodyBytes });
}

} // namespace

/// Guards against input that is buffered without a limit while a response is pending.
TEST(CrowdTests, pipelinedRequests)
{
    checkAtCallers({ .connections = 5, .repeated = CrowdSite::makeRequest("GET", LargePath + std::string("1")), .bytesEach = PipelinedBytes });
}

/// Guards against responses that are added to those that the client does not read.
TEST(CrowdTests, pipelinedRequestsForReadiness)
{
    checkPipelined(&CrowdSite::Addresses::readiness, std::string(adapter::standins::ReadinessPath));
}

TEST(CrowdTests, pipelinedRequestsForAddresses)
{
    checkPipelined(&CrowdSite::Addresses::addresses, adapter::standins::addressesQuestion("quotes.example", "a"));
}

TEST(CrowdTests, pipelinedRequestsForMetrics)
{
    checkPipelined(&CrowdSite::Addresses::metrics, "/metrics");
}

TEST(CrowdTests, pipelinedRequestsOfPeers)
{
    checkPipelined(&CrowdSite::Addresses::peer, "/directory/overview");
}

/// Guards against complete responses that are held for any number of callers that read nothing.
TEST(CrowdTests, unreadAnswers)
{
    const auto request = CrowdSite::makeRequest("GET", LargePath + std::string("1"));
    checkAtCallers({ .connections = 40, .beginning = request, .bytesEach = request.size(), .beginPerRound = 2 }, LargeAnswers);
}

/// Guards against the same for callers that read so slowly that their connections never time out.
TEST(CrowdTests, slowlyReadAnswers)
{
    const auto request = CrowdSite::makeRequest("GET", LargePath + std::string("1"));
    checkAtCallers({ .connections = 40, .beginning = request, .bytesEach = request.size(), .readBytes = 1000, .beginPerRound = 2 }, LargeAnswers);
}

/// Guards against streams whose backlog is limited for each caller, but not for all callers together.
TEST(CrowdTests, slowlyReadStreams)
{
    const auto request = CrowdSite::makeRequest("GET", LargeStreamPath + std::string("1"));
    checkAtCallers({ .connections = 500, .beginning = request, .bytesEach = request.size(), .readBytes = 1000, .beginPerRound = 20 }, LargeStreams);
}

/// Guards against responses of backend servers that are held for any number of requests while they arrive.
TEST(CrowdTests, answersBeyondAllBounds)
{
    const auto request = CrowdSite::makeRequest("GET", LargePath + std::string("1"));
    checkAtCallers({ .connections = 40, .beginning = request, .bytesEach = request.size() }, { .answerBytes = 15 * Megabyte });
}

/// Guards against bodies that are within the limit of one request and exceed the memory together, here of chunks without end.
TEST(CrowdTests, endlessBodies)
{
    checkAtCallers({ .connections = 40,
                     .beginning = CrowdSite::makeRequest("POST", PlainPath + std::string("1"), Chunked),
                     .repeated = makeChunk(),
                     .bytesEach = 2 * BodyBytes });
}

/// Guards against the same for complete requests, which are held until they are answered, with copies for their backend servers.
TEST(CrowdTests, allowedBodies)
{
    const auto head = CrowdSite::makeRequest("POST", PlainPath + std::string("1"), lengthLine(BodyBytes - HeadBytes));
    checkAtCallers({ .connections = 40, .beginning = head, .repeated = std::string(ChunkBytes, 'x'), .bytesEach = head.size() + BodyBytes - HeadBytes });
}

/// Guards against the same for requests whose last byte never comes.
TEST(CrowdTests, stalledBodies)
{
    const auto head = CrowdSite::makeRequest("POST", PlainPath + std::string("1"), lengthLine(BodyBytes - HeadBytes));
    checkAtCallers({ .connections = 40, .beginning = head, .repeated = std::string(ChunkBytes, 'x'), .bytesEach = head.size() + BodyBytes - HeadBytes - 1 });
}

/// Guards against the same for requests that another entry has forwarded, or that pretend to be such.
TEST(CrowdTests, forwardedBodies)
{
    const auto framing = "Auburnspread-Forwarded: 0\r\n" + lengthLine(BodyBytes - HeadBytes);
    const auto head = CrowdSite::makeRequest("POST", PlainPath + std::string("1"), framing);
    checkAtCallers({ .connections = 40, .beginning = head, .repeated = std::string(ChunkBytes, 'x'), .bytesEach = head.size() + BodyBytes - HeadBytes });
}

/// Guards against bodies that wait for room in the sockets of so many connections that the kernel holds more than the process.
TEST(CrowdTests, bodiesThatWaitInSockets)
{
    const auto head = CrowdSite::makeRequest("POST", PlainPath + std::string("1"), lengthLine(BodyBytes - HeadBytes));
    checkAtCallers({ .connections = 1900, .beginning = head, .repeated = std::string(ChunkBytes, 'x'), .bytesEach = head.size() + BodyBytes - HeadBytes });
}

/// Guards against bodies that are read at listeners whose requests have none.
TEST(CrowdTests, bodiesForReadiness)
{
    checkBodies(&CrowdSite::Addresses::readiness);
}

TEST(CrowdTests, bodiesForAddresses)
{
    checkBodies(&CrowdSite::Addresses::addresses);
}

TEST(CrowdTests, bodiesForMetrics)
{
    checkBodies(&CrowdSite::Addresses::metrics);
}

TEST(CrowdTests, bodiesOfPeers)
{
    checkBodies(&CrowdSite::Addresses::peer);
}

/// Guards against a listener that tries to accept again and again without a descriptor left, and serves nobody as long as silent
/// connections stay.
TEST(CrowdTests, silentConnections)
{
    constexpr std::size_t Descriptors = 200;
    CrowdSite site({ .limits = { .idleTimeout = std::chrono::minutes(10) }, .descriptors = Descriptors });
    Crowd clients({ .address = site.addresses().caller, .connections = 300 });
    const auto pid = site.gateway().pid();
    auto asleep = 0;
    constexpr int Samples = 20;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (asleep < Samples && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        asleep = isAsleep(pid) ? asleep + 1 : 0;
    }
    EXPECT_EQ(asleep, Samples) << "the process never waits";
    EXPECT_TRUE(site.serves());
    EXPECT_FALSE(site.gateway().exitCode());
    EXPECT_LE(openDescriptors(pid), Descriptors);
}

/// Guards against limits that reject what the operator's limits allow, one request at a time.
TEST(CrowdTests, largestSingleRequest)
{
    CrowdSite site({});
    for (auto i = 0; i < 3; ++i) {
        const auto body = std::string(BodyBytes - HeadBytes, 'x');
        EXPECT_EQ(site.ask(CrowdSite::makeRequest("POST", LargePath + std::string("1"), lengthLine(body.size())) + body), OkStatus);
    }
}
