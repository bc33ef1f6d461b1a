#include "wire/peer/internal/sendqueue.h"
#include "wire/peer/messages.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace auburnspread;

namespace
{

auto makeRecord() -> membership::MemberRecord
{
    return { .name = "entry-1",
             .callerAddress = "127.0.1.1:8080",
             .peerAddress = "127.0.1.1:8082",
             .adminAddress = "127.0.1.1:8081",
             .failureDomain = "midrand-a",
             .region = "gauteng",
             .incarnation = 1'790'000'000'000,
             .version = 3,
             .state = membership::MemberState::Live };
}

/// One message of each type, with every field set.
auto makeMessages() -> std::vector<peer::Message>
{
    peer::Challenge challenge;
    challenge.proof.fill(7);
    membership::TableDigest digest;
    digest.buckets.fill(~std::uint64_t(0));
    routing::PeerReported report;
    report.backends = { { .backend = "gpu-1", .inFlight = 4 } };
    report.demand = { { .model = "quote-7b", .waiting = 5, .inFlight = 6 } };
    report.workspaces = { { .workspace = "roofs", .requests = 1, .tokens = 2, .inFlight = 3 } };
    return {
        peer::Hello{ .nonce = { 1, 2, 3 } },
        challenge,
        peer::Proof{ .proof = challenge.proof },
        peer::Ping{ 9 },
        peer::Pong{ 9 },
        peer::Members{ .records = { makeRecord(), makeRecord() }, .digest = digest },
        peer::Report{ report },
        peer::Names{ .first = 3, .names = { "gpu-1", "gpu-2" } },
        peer::IndexedReport{ .backends = { { .name = 1, .inFlight = 2 } },
                             .demand = { { .name = 3, .waiting = 4, .inFlight = 5 } },
                             .workspaces = { { .name = 6, .requests = 7, .tokens = 8, .inFlight = 9 } } },
        peer::Quarantine{ { .fingerprint = Fingerprint(~std::uint64_t(0)), .mark = routing::QuarantineHeard::Mark::Suspect, .server = "gpu-1" } },
        peer::Leaving{},
        peer::Configuration{ .version = 12, .digest = "ab" },
        peer::ConfigurationRequest{ .digest = "cd", .offset = 4 },
        peer::ConfigurationPart{ .digest = "cd", .version = 12, .offset = 2, .total = 6, .bytes = std::string("\0\xff\x01", 3) },
    };
}

auto encodeOne(const peer::Message &message) -> std::string
{
    return peer::encode({ .from = "entry-1", .incarnation = 7, .message = message });
}

auto encodeEnvelope(const nlohmann::json &envelope) -> std::string
{
    std::string bytes;
    nlohmann::json::to_cbor(envelope, bytes);
    return bytes;
}

auto queued(peer::MessageType type, std::size_t size) -> peer::detail::OutgoingMessage
{
    return { .type = type, .bytes = std::make_shared<const std::string>(size, 'x') };
}

} // namespace

TEST(MessagesTests, everyMessageReadsBackAsItWasSent)
{
    const auto messages = makeMessages();
    ASSERT_EQ(messages.size(), peer::MessageTypeCount);
    for (const auto &message : messages) {
        const auto bytes = encodeOne(message);
        const auto envelope = peer::decode(bytes);
        EXPECT_EQ(envelope.from, "entry-1");
        EXPECT_EQ(envelope.incarnation, 7U);
        EXPECT_EQ(envelope.message.index(), message.index());
        EXPECT_EQ(encodeOne(envelope.message), bytes) << peer::messageTypeName(*peer::typeOf(message));
    }
}

TEST(MessagesTests, aTypeOfALaterReleaseIsUnknownAndNotAnError)
{
    // During an upgrade an entry of the new release sends a type, or a version, that this one doesn't have. It must
    // go on understanding the rest, so the message is set aside instead of ending the link.
    for (const auto &[version, type] : { std::pair(1, "weather"), std::pair(2, "ping") }) {
        const auto bytes = encodeEnvelope({ { "v", version }, { "type", type }, { "from", "e" }, { "incarnation", 1U }, { "body", nlohmann::json::array() } });
        EXPECT_TRUE(std::holds_alternative<peer::Unknown>(peer::decode(bytes).message));
    }
}

TEST(MessagesTests, aMessageBeyondItsBoundsIsRefused)
{
    // A broken or hostile peer sends a list, text or number larger than any real one. Taking it in would let one
    // peer fill this entry's memory or overflow an incarnation, so the message is refused with the field's name.
    auto huge = makeRecord();
    huge.name = std::string(peer::MaxNameBytes + 1, 'n');
    EXPECT_THROW(peer::decode(encodeOne(peer::Members{ .records = { huge }, .digest = {} })), peer::DecodeError);
    auto future = makeRecord();
    future.incarnation = ~std::uint64_t(0);
    EXPECT_THROW(peer::decode(encodeOne(peer::Members{ .records = { future }, .digest = {} })), peer::DecodeError);
    peer::Members many;
    many.records.resize(peer::MaxListEntries + 1, makeRecord());
    EXPECT_THROW(peer::decode(encodeOne(many)), peer::DecodeError);
    EXPECT_THROW(peer::decode(encodeOne(peer::ConfigurationPart{ .offset = 4, .total = 6, .bytes = "abc" })), peer::DecodeError);
}

TEST(MessagesTests, deepNestingDoesNotExhaustTheStack)
{
    // A stranger sends a megabyte of opening brackets before it has proved anything. The library's parser recurses
    // for each one and would crash the entry, with every request in flight; the bounds check stops at a fixed depth.
    constexpr char ArrayOfOne = '\x81';
    constexpr std::size_t Megabyte = 1024UL * 1024;
    EXPECT_THROW(peer::decode(std::string(Megabyte, ArrayOfOne)), peer::DecodeError);
}

RC_GTEST_PROP(MessagesTests, rubbishIsRefusedAndNeverCrashes, (const std::string &bytes))
{
    RC_ASSERT_THROWS_AS(peer::decode(bytes), peer::DecodeError);
}

RC_GTEST_PROP(MessagesTests, aDamagedMessageIsReadWithinBoundsOrRefused, ())
{
    const auto messages = makeMessages();
    auto bytes = encodeOne(*rc::gen::elementOf(messages));
    const auto flips = *rc::gen::inRange(1, 8);
    for (int i = 0; i < flips; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::elementOf(std::vector<std::size_t>{ bytes.size(), bytes.size() / 2, bytes.size() - 1 }));
    try {
        const auto envelope = peer::decode(bytes);
        RC_ASSERT(envelope.from.size() <= peer::MaxNameBytes);
        RC_ASSERT(encodeOne(envelope.message).size() < bytes.size() + peer::MaxNameBytes);
    } catch (const peer::DecodeError &error) {
        RC_ASSERT(std::string(error.what()).size() > 0U);
    }
}

RC_GTEST_PROP(SendQueueTests, aSlowPeerLosesReportsFirstAndNeverQuarantineNotices, ())
{
    // A peer stops reading while its cell goes on sending. What waits for it stays bounded; it loses old load
    // vectors, which later ones replace, but every quarantine notice: a lost one would let a request that crashes
    // backend servers run again there.
    constexpr std::size_t MaxBytes = 1000;
    const auto types = std::vector{ peer::MessageType::Report, peer::MessageType::Members, peer::MessageType::Quarantine };
    peer::detail::SendQueue queue(MaxBytes);
    std::size_t notices = 0;
    const auto sent = *rc::gen::inRange(0, 100);
    for (int i = 0; i < sent; ++i) {
        const auto type = *rc::gen::elementOf(types);
        notices += type == peer::MessageType::Quarantine ? 1 : 0;
        const auto dropped = queue.push(queued(type, 50));
        const bool droppedOther = std::any_of(dropped.begin(), dropped.end(), [](const auto &message) { return message.type == peer::MessageType::Members; });
        RC_ASSERT(std::none_of(dropped.begin(), dropped.end(), [](const auto &message) { return message.type == peer::MessageType::Quarantine; }));
        if (droppedOther) {
            RC_ASSERT(std::none_of(queue.begin(), queue.end(), [](const auto &message) { return message.type == peer::MessageType::Report; }));
        }
        RC_ASSERT(!queue.isOverfull() || notices * 50 > MaxBytes);
    }
    const auto kept = std::count_if(queue.begin(), queue.end(), [](const auto &message) { return message.type == peer::MessageType::Quarantine; });
    RC_ASSERT(static_cast<std::size_t>(kept) == notices);
}
