/// \file
/// The same before the processes of the chat face: entry, console and placer.

#include "failuretests/crowd/crowdplay.h"
#include "failuretests/smallsite.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

using namespace auburnspread;
using namespace auburnspread::failuretests;

namespace
{

constexpr std::size_t Megabyte = std::size_t{ 1024 } * 1024;
constexpr std::size_t VmBytes = 88 * Megabyte; ///< of the smallest VM
constexpr std::size_t BodyBytes = Megabyte;    ///< limit of a request's body
constexpr std::size_t PipelinedBytes = 40 * Megabyte;
constexpr std::size_t PartBytes = std::size_t{ 64 } * 1024;

auto check(SmallSite &site, Process &process, const CrowdOptions &crowd) -> void
{
    const auto usage = playCrowd(process, crowd);
    EXPECT_FALSE(process.exitCode()) << site.logs();
    EXPECT_LE(usage.peakBytes, VmBytes);
    constexpr std::size_t OwnDescriptors = 50;
    EXPECT_LE(usage.descriptors, usage.descriptorsBefore + 2 * crowd.connections + OwnDescriptors);
    const auto call = site.startQuote(site.entry(1), 5);
    ASSERT_TRUE(site.caller.waitUntil([&]() { return call->ended(); })) << site.logs();
    EXPECT_TRUE(call->isWhole()) << call->describe();
}

auto makePipelined(const std::string &address, const std::string &path) -> CrowdOptions
{
    return { .address = address, .connections = 5, .repeated = "GET " + path + " HTTP/1.1\r\nHost: entry\r\n\r\n", .bytesEach = PipelinedBytes };
}

auto startPlacer(SmallSite &site) -> Placer &
{
    auto &placer = site.startPlacer("placer-1");
    if (!site.caller.waitUntil([&]() { return placer.process->output().find("\"started\"") != std::string::npos; })) {
        throw std::runtime_error("the placer did not start: " + site.logs());
    }
    return placer;
}

auto startConsole(SmallSite &site) -> Console &
{
    auto &console = site.startConsole();
    if (!site.caller.waitUntil([&]() { return console.process->output().find("\"listening\"") != std::string::npos; })) {
        throw std::runtime_error("the console did not start: " + site.logs());
    }
    return console;
}

/// A console answers nobody without a token, but it answers.
auto checkConsole(SmallSite &site, const CrowdOptions &crowd) -> void
{
    constexpr int UnauthorizedStatus = 401;
    check(site, *site.console.process, crowd);
    EXPECT_EQ(site.caller.fetch({ .address = site.console.address, .path = "/" })->head.status, UnauthorizedStatus);
}

constexpr auto LinkHead = "GET / HTTP/1.1\r\nHost: entry\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                          "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n";

/// Connections of strangers to the address at which an entry expects the others.
auto checkLinks(const std::string &beginning, std::size_t bytesEach) -> void
{
    SmallSite site({});
    check(
        site,
        *site.entry(1).process,
        { .address = site.entry(1).peerAddress, .connections = 300, .beginning = beginning, .repeated = std::string(PartBytes, 'x'), .bytesEach = bytesEach });
}

/// Bodies within the limit, whose last byte never comes.
auto makeBodies(const std::string &address, const std::string &path) -> CrowdOptions
{
    const auto head = "POST " + path + " HTTP/1.1\r\nHost: entry\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
    return { .address = address, .connections = 200, .beginning = head, .repeated = std::string(PartBytes, 'x'), .bytesEach = head.size() + BodyBytes - 1 };
}

} // namespace

/// Guards against answers that are added to those that the caller does not read.
TEST(ChatCrowdTests, pipelinedRequests)
{
    SmallSite site({});
    check(site, *site.entry(1).process, makePipelined(site.entry(1).callerAddress, "/v1/entries"));
}

/// Guards against bodies that are within the limit of one request and exceed the memory together.
TEST(ChatCrowdTests, stalledBodies)
{
    SmallSite site({});
    check(site, *site.entry(1).process, makeBodies(site.entry(1).callerAddress, "/v1/chat/completions"));
}

TEST(ChatCrowdTests, pipelinedRequestsForTheAdminAddress)
{
    SmallSite site({});
    check(site, *site.entry(1).process, makePipelined(site.entry(1).adminAddress, "/v1/status"));
}

TEST(ChatCrowdTests, stalledBodiesForTheAdminAddress)
{
    SmallSite site({});
    check(site, *site.entry(1).process, makeBodies(site.entry(1).adminAddress, "/v1/status"));
}

TEST(ChatCrowdTests, pipelinedRequestsForThePlacer)
{
    SmallSite site({});
    auto &placer = startPlacer(site);
    check(site, *placer.process, makePipelined(placer.adminAddress, "/v1/status"));
}

TEST(ChatCrowdTests, stalledBodiesForThePlacer)
{
    SmallSite site({});
    auto &placer = startPlacer(site);
    check(site, *placer.process, makeBodies(placer.adminAddress, "/v1/status"));
}

TEST(ChatCrowdTests, pipelinedRequestsForTheConsole)
{
    SmallSite site({});
    checkConsole(site, makePipelined(startConsole(site).address, "/"));
}

TEST(ChatCrowdTests, stalledBodiesForTheConsole)
{
    SmallSite site({});
    checkConsole(site, makeBodies(startConsole(site).address, "/"));
}

/// Guards against strangers who take all places of the links between entries.
TEST(ChatCrowdTests, silentLinks)
{
    checkLinks({}, 0);
}

/// Guards against an opening handshake that is buffered without a limit.
TEST(ChatCrowdTests, headsOfLinksWithoutEnd)
{
    checkLinks(std::string(LinkHead) + "X-Filler: ", PipelinedBytes);
}

/// Guards against a message that is buffered without a limit before its sender has proved the secret.
TEST(ChatCrowdTests, messagesOfLinksWithoutEnd)
{
    const std::string frameOfOneGigabyte("\x82\xff\0\0\0\0\x40\0\0\0mask", 14);
    checkLinks(std::string(LinkHead) + "\r\n" + frameOfOneGigabyte, PipelinedBytes);
}
