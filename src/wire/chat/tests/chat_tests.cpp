#include "wire/chat/chatanswer.h"
#include "wire/chat/chatrequest.h"
#include "wire/chat/eventreader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace auburnspread;

namespace
{

constexpr auto GoodBody = R"({"model":"quote-7b:2:tile","messages":[{"role":"user","content":"roof"}],"stream":true,"max_tokens":9,"metadata":{"a":"b"}})";

auto takesWithoutCrash(const std::string &text) -> void
{
    try {
        const auto request = chat::parseChatRequest(text);
        chat::makeBackendBody(request.body, "m", "1", "");
    } catch (const chat::BadRequest &) {
        // a clear error is the expected answer to a malformed body
    }
}

} // namespace

TEST(ChatRequestTests, modelVersionAndAdapterAreReadFromOneName)
{
    const auto request = chat::parseChatRequest(GoodBody);
    EXPECT_EQ(request.model, "quote-7b");
    EXPECT_EQ(request.version, "2");
    EXPECT_EQ(request.adapter, "tile");
    EXPECT_TRUE(request.stream);
    EXPECT_EQ(request.maxTokens, 9U);
}

TEST(ChatRequestTests, theBackendBodyIsStreamedAndKeepsUnknownFields)
{
    const auto body = nlohmann::json::parse(chat::makeBackendBody(chat::parseChatRequest(GoodBody).body, "quote-7b", "2", ""));
    EXPECT_EQ(body.at("model"), "quote-7b:2");
    EXPECT_EQ(body.at("stream"), true);
    EXPECT_EQ(body.at("metadata").at("a"), "b");
}

TEST(ChatRequestTests, malformedBodiesNameTheField)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        { "", "body" },
        { "[1]", "body" },
        { R"({"messages":[]})", "messages" },
        { R"({"messages":[{"role":1}]})", "messages" },
        { R"({"messages":[{"role":"user","content":"x"}],"model":7})", "model" },
        { R"({"messages":[{"role":"user","content":"x"}],"stream":"yes"})", "stream" },
        { R"({"messages":[{"role":"user","content":"x"}],"max_tokens":0})", "max_tokens" },
        { std::string(200, '[') + std::string(200, ']'), "nested" },
    };
    for (const auto &[text, field] : cases) {
        try {
            chat::parseChatRequest(text);
            ADD_FAILURE() << "accepted: " << text;
        } catch (const chat::BadRequest &error) {
            EXPECT_NE(std::string(error.what()).find(field), std::string::npos) << error.what();
        }
    }
}

RC_GTEST_PROP(ChatRequestTests, anyBytesGiveAnAnswerOrAClearError, (std::string text))
{
    takesWithoutCrash(text);
}

// A body that is nearly right reaches deeper checks than random bytes do: one byte of a good body is changed.
RC_GTEST_PROP(ChatRequestTests, aGoodBodyWithOneByteChangedGivesAnAnswerOrAClearError, (std::size_t place, char byte))
{
    std::string text = GoodBody;
    text.at(place % text.size()) = byte;
    takesWithoutCrash(text);
}

RC_GTEST_PROP(AnswerChunkTests, anyBytesFromABackendServerAreJudgedWithoutCrash, (std::string text))
{
    chat::parseAnswerChunk(text);
    chat::parseAnswerChunk(R"({"id":"a","offset":0,"choices":[)" + text + "]}");
}

// The caller's tokens must not depend on how the network cuts the stream into pieces.
RC_GTEST_PROP(EventReaderTests, eventsDoNotDependOnHowBytesArrive, (std::vector<std::uint8_t> cuts))
{
    const std::string stream = "data: one\n\n: comment\r\ndata: two\r\n\r\nevent: x\ndata:three\n\n";
    chat::EventReader reader(stream.size());
    std::vector<std::string> events;
    const auto receive = [&events](std::string_view data) { events.emplace_back(data); };
    std::size_t begin = 0;
    for (const auto cut : cuts) {
        const auto length = std::min<std::size_t>(cut % 8, stream.size() - begin);
        RC_ASSERT(reader.feed(std::string_view(stream).substr(begin, length), receive));
        begin += length;
    }
    RC_ASSERT(reader.feed(std::string_view(stream).substr(begin), receive));
    RC_ASSERT((events == std::vector<std::string>{ "one", "two", "three" }));
}

TEST(EventReaderTests, anEndlessEventIsRefused)
{
    chat::EventReader reader(16);
    EXPECT_FALSE(reader.feed(std::string(17, 'x'), [](std::string_view) {}));
}

TEST(RefusalTests, theBodyCarriesReasonOutcomeStepAndPeer)
{
    const auto body = nlohmann::json::parse(chat::makeRefusalBody({
        .reason = Reason::BackendFailed,
        .outcome = Outcome::MayHaveRun,
        .retryAfter = std::chrono::milliseconds(250),
        .step = "dispatch",
        .peer = "quote-1",
    }));
    EXPECT_EQ(body.at("error").at("type"), "backend-failed");
    EXPECT_EQ(body.at("error").at("outcome"), "may-have-run");
    EXPECT_EQ(body.at("error").at("step"), "dispatch");
    EXPECT_EQ(body.at("error").at("peer"), "quote-1");
    EXPECT_EQ(body.at("error").at("retry_after_ms"), 250);
}
