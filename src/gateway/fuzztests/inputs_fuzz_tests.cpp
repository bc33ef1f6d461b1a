// Mutates valid external input some thousand times and decodes it, in a sanitizer build that stops at the first invalid access. Decoders
// may reject the input only by the error that they declare.

#include "gateway/directorystate.h"
#include "gateway/eventsplitter.h"
#include "gateway/fuzztests/mutation.h"
#include "gateway/peerexchange.h"
#include "platform/callerrequest.h"
#include "platform/documents.h"
#include "platform/standins/wiretext.h"
#include "platform/store.h"

#include <gtest/gtest.h>

#include <functional>
#include <stdexcept>
#include <string>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::gateway::tests;

namespace
{

namespace standins = adapter::standins;

constexpr std::uint64_t Seed = 20261202;
constexpr int Rounds = 4000;

auto makeMutator() -> Mutator
{
    return { Seed,
             { std::string(1, '\0'),
               "\r\n",
               "\n\n",
               "id: ",
               "data:",
               "{",
               "}",
               "[",
               "]",
               "\"",
               "null",
               "true",
               "-1",
               "1e999",
               "18446744073709551616",
               ",",
               ":",
               "=",
               "====",
               "\xff\xfe",
               "\xbf\xff\xff\xff\xff\xff\xff\xff\xff",
               "\x9f",
               "\xc3\x28" } };
}

/// Decodes \p valid unchanged and then mutated. \p DeclaredError is the only exception that may be thrown.
template <typename DeclaredError>
auto readMutated(const std::string &valid, const std::function<void(const std::string &)> &read) -> void
{
    ASSERT_NO_THROW(read(valid));
    auto mutator = makeMutator();
    for (auto round = 0; round < Rounds; ++round) {
        const auto mutated = mutator.mutate(valid);
        try {
            read(mutated);
        } catch (const DeclaredError &) {
            continue;
        }
    }
}

/// Never thrown: for decoders that reject input by their return value.
struct NoError {
};

auto makeConfigurationText() -> std::string
{
    const passthrough::Route route{ .name = "quote", .host = "quotes.example", .prefix = "/quote/", .attempts = 2 };
    return standins::configurationText(7, { route }, "portal", "roofers", { "key-1", "key-2" });
}

auto makeServerText() -> std::string
{
    return standins::serverText({ .service = "portal", .address = "127.0.0.1:80", .failureDomain = "a", .slots = 6 });
}

} // namespace

TEST(InputsFuzzTests, configurations)
{
    readMutated<adapter::InvalidDocument>(makeConfigurationText(), [](const std::string &text) { adapter::decodeConfiguration(text); });
}

TEST(InputsFuzzTests, registrationsOfServersAndEntries)
{
    readMutated<adapter::InvalidDocument>(makeServerText(), [](const std::string &text) { adapter::decodeServer(standins::serverKey("i-1"), text); });
    const auto entry = adapter::encodeEntry({ .name = "entry-1", .callerAddress = "127.0.0.1:80", .peerAddress = "127.0.0.1:90", .failureDomain = "a" });
    readMutated<adapter::InvalidDocument>(entry, [](const std::string &text) { adapter::decodeEntry(text); });
}

TEST(InputsFuzzTests, responsesOfTheStore)
{
    const auto items = standins::itemsText(standins::serverKey("i-1"), makeServerText());
    ASSERT_TRUE(adapter::decodeItems({ .status = 200, .body = items }));
    readMutated<NoError>(items, [](const std::string &text) { adapter::decodeItems({ .status = 200, .body = text }); });
    readMutated<NoError>(standins::leaseText(7), [](const std::string &text) { adapter::decodeLease({ .status = 200, .body = text }); });
}

TEST(InputsFuzzTests, messagesOfOtherEntries)
{
    const passthrough::PeerReported report{ .entry = "entry-2", .uses = { { .server = "i-1", .inFlight = 3, .unreadTokens = 4000, .waitingTokens = 5 } } };
    readMutated<std::runtime_error>(encodePeerMessage(report), [](const std::string &bytes) { decodePeerMessage(bytes); });
    DirectoryState state;
    applyConfiguration(state, { .document = makeConfigurationText(), .revision = { .number = 1 } });
    applyServers(state, { .servers = { { .id = "i-1", .service = "portal", .address = "127.0.0.1:80" } }, .revision = { .number = 3 } });
    const auto answer = encodeAnswer(makeAnswer(state, {}, TimePoint(std::chrono::hours(1))));
    readMutated<std::runtime_error>(answer, [](const std::string &bytes) { decodeAnswer(bytes); });
}

TEST(InputsFuzzTests, headersOfCallersAndServers)
{
    const auto lines = standins::promptLines("9190,50", "1:2520,b7:3780,ff:2890") + "\n" + standins::attemptIdLine("a1") + "\n" + standins::deadlineLine(5000)
        + "\n" + standins::keyLine("key-1") + "\nKeep-Alive: timeout=5\nConnection: close, keep-alive";
    const auto split = [](const std::string &text) {
        http::Headers headers;
        for (std::size_t at = 0; at < text.size();) {
            const auto end = std::min(text.find('\n', at), text.size());
            const auto line = text.substr(at, end - at);
            const auto colon = std::min(line.find(": "), line.size());
            headers.push_back({ line.substr(0, colon), colon + 2 <= line.size() ? line.substr(colon + 2) : "" });
            at = end + 1;
        }
        return headers;
    };
    readMutated<NoError>(lines, [&](const std::string &text) {
        const auto headers = split(text);
        passthrough::RequestArrived arrived;
        adapter::decodeCallerHeaders(headers, arrived);
        adapter::encodeAttemptHeaders(headers, { .server = "i-1", .workspace = "roofers" });
        adapter::decodeAnswerHead(200, headers, "a1");
        adapter::encodeAnswerHeaders(headers);
    });
}

/// The splitter's output equals its input byte for byte, however the input is split into pieces.
TEST(InputsFuzzTests, eventStreams)
{
    auto mutator = makeMutator();
    for (auto round = 0; round < Rounds; ++round) {
        const auto text = mutator.mutate("id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\ndata: three\n\n: comment\n\n");
        EventSplitter splitter;
        std::string passed;
        const auto piece = 1 + static_cast<std::size_t>(round) % 13;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            passed += splitter.feed(text.substr(at, piece));
        }
        passed += splitter.takeRemainder();
        ASSERT_EQ(passed, text) << "round " << round;
    }
}
