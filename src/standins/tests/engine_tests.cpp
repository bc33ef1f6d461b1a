#include "standins/engine/engineserver.h"
#include "standins/platform/platformserver.h"
#include "standins/testing/httpclient.h"
#include "standins/testing/program.h"
#include "standins/testing/waiting.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

constexpr auto Binary = AUBURNSPREAD_BINARY_DIR "/fake-engine";
constexpr std::size_t Endless = 10'000'000;

auto makeBody(const std::string &text, std::size_t tokens, const std::string &model = "quote-7b:1") -> nlohmann::json
{
    return { { "model", model },
             { "stream", true },
             { "messages", { { { "role", "user" }, { "content", text } } } },
             { "metadata", { { "answer_tokens", std::to_string(tokens) } } } };
}

struct ChatOptions {
    std::string attempt = "a";
    int urgency = 3;
    std::size_t offset = 0;
};

auto makeChat(const nlohmann::json &body, const ChatOptions &options = {}) -> TestRequest
{
    return { .method = "POST",
             .target = "/v1/chat/completions",
             .headers = { { "X-Request-Id", options.attempt },
                          { "Priority", "u=" + std::to_string(options.urgency) },
                          { "Resume-Offset", std::to_string(options.offset) } },
             .body = body.dump() };
}

/// What a client made of a stream.
struct Received {
    std::string text;
    std::vector<std::string> ids;
    std::vector<std::size_t> offsets;
    std::string finishReason;
    bool terminated = false;
};

auto readStream(const std::string &stream) -> Received
{
    constexpr std::string_view Mark = "data: ";
    Received received;
    std::istringstream lines(stream);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(Mark)) {
            continue;
        }
        const auto data = line.substr(Mark.size());
        if (data == "[DONE]") {
            received.terminated = true;
            continue;
        }
        const auto event = nlohmann::json::parse(data);
        const auto &choice = event.at("choices").at(0);
        received.ids.push_back(event.at("id"));
        received.offsets.push_back(event.at("offset"));
        received.text += choice.at("delta").value("content", "");
        if (!choice.at("finish_reason").is_null()) {
            received.finishReason = choice.at("finish_reason");
        }
    }
    return received;
}

auto countTokens(const TestCall &call) -> std::size_t
{
    return readStream(call.body().substr(0, call.body().rfind('\n'))).offsets.size();
}

class EngineTests : public testing::Test
{
protected:
    task::EventLoop loop_;

    auto makeEngine(EngineOptions options = {}) -> std::unique_ptr<EngineServer>
    {
        options.batch.tokenTime = std::chrono::milliseconds(1);
        return std::make_unique<EngineServer>(loop_, options);
    }

    auto start(const EngineServer &engine, const TestRequest &request) -> std::unique_ptr<TestCall>
    {
        return std::make_unique<TestCall>(loop_, engine.server().address(), request);
    }

    auto finish(const EngineServer &engine, const TestRequest &request) -> std::unique_ptr<TestCall>
    {
        return callAndWait(loop_, engine.server().address(), request);
    }

    auto control(const EngineServer &engine, const nlohmann::json &message) -> void
    {
        sendControl(loop_, engine.control().address(), message);
    }

    auto executions(const EngineServer &engine) -> nlohmann::json
    {
        return nlohmann::json::parse(callAndWait(loop_, engine.control().address(), { .target = "/control/executions" })->body());
    }

    auto load(const EngineServer &engine) -> nlohmann::json
    {
        return nlohmann::json::parse(finish(engine, { .target = "/load" })->body());
    }

    auto waitForLoad(const EngineServer &engine, std::size_t running, std::size_t waiting) -> bool
    {
        return pollUntil([&]() {
            const auto report = load(engine);
            return report.at("running") == running && report.at("waiting") == waiting;
        });
    }
};

} // namespace

TEST_F(EngineTests, anAnswerResumedOnAnotherEngineContinuesTheSameTokens)
{
    const auto first = makeEngine();
    const auto second = makeEngine();
    const auto body = makeBody("roof", 9);
    const auto answer = answerTo(body);
    const auto whole = readStream(finish(*first, makeChat(body))->body());
    EXPECT_EQ(whole.text, textOf(answer));
    EXPECT_EQ(whole.offsets, (std::vector<std::size_t>{ 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 }));
    EXPECT_EQ(whole.finishReason, "stop");
    EXPECT_TRUE(whole.terminated);

    const auto other = finish(*second, makeChat(makeBody("roof", 9, "quote-7b:2:tile"), { .attempt = "b", .offset = 4 }));
    const auto rest = readStream(other->body());
    EXPECT_EQ(other->header("X-Request-Id"), "b");
    EXPECT_EQ(rest.offsets.front(), 4U);
    EXPECT_EQ(rest.text, textOf(answer).substr(4 * tokenAt(answer, 0).size()));
    EXPECT_TRUE(rest.terminated);
}

TEST_F(EngineTests, answersToOtherMessagesOrModelsDiffer)
{
    EXPECT_NE(textOf(answerTo(makeBody("roof", 5))), textOf(answerTo(makeBody("truss", 5))));
    EXPECT_NE(textOf(answerTo(makeBody("roof", 5))), textOf(answerTo(makeBody("roof", 5, "clause-3b:1"))));
}

TEST_F(EngineTests, aLimitCutsTheAnswerInStreamsAndDocuments)
{
    const auto engine = makeEngine();
    auto body = makeBody("roof", 9);
    body["max_tokens"] = 4;
    const auto stream = readStream(finish(*engine, makeChat(body))->body());
    EXPECT_EQ(stream.finishReason, "length");
    EXPECT_EQ(stream.offsets.back(), 4U);

    body["stream"] = false;
    const auto document = nlohmann::json::parse(finish(*engine, makeChat(body))->body());
    EXPECT_EQ(document.at("choices").at(0).at("message").at("content"), stream.text);
    EXPECT_EQ(document.at("usage").at("completion_tokens"), 4);
}

TEST_F(EngineTests, closingTheConnectionFreesTheSlot)
{
    // The caller of an endless answer closes its connection. The engine has one slot and another request waits for it:
    // it can only be answered if the first one was cancelled.
    const auto engine = makeEngine({ .batch = { .slots = 1 } });
    const auto endless = start(*engine, makeChat(makeBody("endless", Endless), { .attempt = "endless" }));
    ASSERT_TRUE(runUntil(loop_, [&]() { return countTokens(*endless) > 2; }));
    const auto next = start(*engine, makeChat(makeBody("next", 3)));
    ASSERT_TRUE(waitForLoad(*engine, 1, 1));
    endless->cancel();
    ASSERT_TRUE(runUntil(loop_, [&]() { return next->isDone(); }));
    EXPECT_TRUE(readStream(next->body()).terminated);
    EXPECT_EQ(executions(*engine).at(0).at("finished"), false);
}

TEST_F(EngineTests, waitingRequestsStartByPriorityAndACancelledOneNever)
{
    const auto engine = makeEngine({ .batch = { .slots = 1 } });
    const auto running = start(*engine, makeChat(makeBody("endless", Endless), { .attempt = "running" }));
    ASSERT_TRUE(waitForLoad(*engine, 1, 0));
    const auto low = start(*engine, makeChat(makeBody("x", 1), { .attempt = "low", .urgency = 5 }));
    ASSERT_TRUE(waitForLoad(*engine, 1, 1));
    const auto high = start(*engine, makeChat(makeBody("x", 1), { .attempt = "high", .urgency = 0 }));
    ASSERT_TRUE(waitForLoad(*engine, 1, 2));
    const auto gone = start(*engine, makeChat(makeBody("x", 1), { .attempt = "gone", .urgency = 0 }));
    ASSERT_TRUE(waitForLoad(*engine, 1, 3));
    gone->cancel();
    ASSERT_TRUE(waitForLoad(*engine, 1, 2));
    running->cancel();
    ASSERT_TRUE(runUntil(loop_, [&]() { return low->isDone() && high->isDone(); }));

    std::vector<std::string> order;
    for (const auto &execution : executions(*engine)) {
        order.push_back(execution.at("id"));
    }
    EXPECT_EQ(order, (std::vector<std::string>{ "running", "high", "low" }));
}

TEST_F(EngineTests, aRequestRefusedAsNotStartedWasNotRun)
{
    const auto engine = makeEngine({ .batch = { .slots = 1, .queue = 0 }, .models = parseModels("quote-7b:1") });
    const auto unknown = finish(*engine, makeChat(makeBody("x", 1, "quote-7b:2"), { .attempt = "unknown" }));
    EXPECT_EQ(unknown->status(), 503);
    EXPECT_EQ(unknown->header("Request-Not-Started"), "true");

    const auto running = start(*engine, makeChat(makeBody("endless", Endless), { .attempt = "running" }));
    ASSERT_TRUE(waitForLoad(*engine, 1, 0));
    const auto refused = finish(*engine, makeChat(makeBody("x", 1), { .attempt = "refused" }));
    EXPECT_EQ(refused->status(), 503);
    EXPECT_EQ(refused->header("Request-Not-Started"), "true");

    const auto ran = executions(*engine);
    ASSERT_EQ(ran.size(), 1U);
    EXPECT_EQ(ran.at(0).at("id"), "running");
}

TEST_F(EngineTests, anOlderFencingNumberIsRefusedOnlyByEnginesThatCheck)
{
    // A placer is paused, its lease lapses, its successor orders version 2. Then the old order for version 1 arrives.
    const auto order = [](int fence, const char *version) {
        const nlohmann::json body
            = { { "fence", fence }, { "role", "serving" }, { "models", { { { "model", "quote-7b" }, { "version", version }, { "adapters", { "tile" } } } } } };
        return TestRequest{ .method = "PUT", .target = "/orders", .body = body.dump() };
    };
    const auto checking = makeEngine({ .checksFencing = true });
    const auto trusting = makeEngine();
    for (const auto *engine : { checking.get(), trusting.get() }) {
        EXPECT_EQ(finish(*engine, order(8, "2"))->status(), 202);
        EXPECT_EQ(finish(*engine, order(8, "2"))->status(), 202);
    }
    const auto refused = finish(*checking, order(7, "1"));
    EXPECT_EQ(refused->status(), 409);
    EXPECT_EQ(nlohmann::json::parse(refused->body()).at("fence"), 8);
    EXPECT_EQ(finish(*trusting, order(7, "1"))->status(), 202);

    EXPECT_EQ(finish(*checking, makeChat(makeBody("x", 1, "quote-7b:2:tile")))->status(), 200);
    EXPECT_EQ(finish(*trusting, makeChat(makeBody("x", 1, "quote-7b:2:tile")))->status(), 503);
}

TEST_F(EngineTests, anOrderedModelIsServedOnceItsWeightsHaveCome)
{
    // The platform is down when the order comes, so the engine keeps asking for the weights and serves nothing
    // of the new version until the platform is back. The order is repeated, which must not load the store twice.
    PlatformServer platform(loop_, { .weightsTime = std::chrono::milliseconds(300) });
    sendControl(loop_, platform.control().address(), { { "down", true } });
    const auto engine = makeEngine({ .models = parseModels("quote-7b:1"), .platform = platform.server().address() });
    const nlohmann::json order = { { "fence", 1 }, { "role", "serving" }, { "models", { { { "model", "quote-7b" }, { "version", "2" } } } } };
    EXPECT_EQ(finish(*engine, { .method = "PUT", .target = "/orders", .body = order.dump() })->status(), 202);
    EXPECT_EQ(finish(*engine, makeChat(makeBody("x", 1, "quote-7b:2")))->status(), 503);

    EXPECT_EQ(finish(*engine, { .method = "PUT", .target = "/orders", .body = order.dump() })->status(), 202);

    sendControl(loop_, platform.control().address(), { { "down", false } });
    const auto isLoaded = [&]() { return nlohmann::json::parse(finish(*engine, { .target = "/orders" })->body()).at("loading").empty(); };
    ASSERT_TRUE(pollUntil(isLoaded));
    EXPECT_EQ(finish(*engine, makeChat(makeBody("x", 1, "quote-7b:2")))->status(), 200);
    const auto counts = callAndWait(loop_, platform.control().address(), { .target = "/control/counts" })->body();
    EXPECT_EQ(nlohmann::json::parse(counts).at("weights"), 1);
}

TEST_F(EngineTests, silencedConnectionsStaySilentWhileNewOnesWork)
{
    // A device between the ends forgets the open connections. The engine goes on and finishes the answer, but no byte
    // of it arrives and no end is told. A new connection is not affected.
    const auto engine = makeEngine();
    const auto silent = start(*engine, makeChat(makeBody("silent", 200), { .attempt = "silent" }));
    ASSERT_TRUE(runUntil(loop_, [&]() { return countTokens(*silent) > 0; }));
    control(*engine, { { "silence_open", true } });
    EXPECT_TRUE(readStream(finish(*engine, makeChat(makeBody("new", 300)))->body()).terminated);
    EXPECT_EQ(executions(*engine).at(0).at("finished"), true);
    EXPECT_FALSE(silent->isDone());
    EXPECT_LT(countTokens(*silent), 200U);
}

TEST_F(EngineTests, aCutStreamBreaksAfterItsTokensAndATruncatedOneEndsWithoutTerminator)
{
    const auto engine = makeEngine();
    control(*engine, { { "cut_after", 3 } });
    const auto cut = finish(*engine, makeChat(makeBody("x", 10)));
    EXPECT_TRUE(cut->isBroken());
    EXPECT_EQ(readStream(cut->body()).offsets, (std::vector<std::size_t>{ 0, 1, 2 }));

    control(*engine, { { "cut_after", 0 }, { "truncate_every", 1 } });
    const auto truncated = finish(*engine, makeChat(makeBody("x", 10)));
    EXPECT_FALSE(truncated->isBroken());
    EXPECT_EQ(readStream(truncated->body()).offsets.size(), 5U);
    EXPECT_FALSE(readStream(truncated->body()).terminated);
}

TEST_F(EngineTests, crossedTokensAreThoseOfAnotherLiveAttempt)
{
    // Two answers run beside each other and the engine mixes up their tokens. Each chunk is in itself correct: only
    // its id tells the caller that it is not of its own answer.
    const auto engine = makeEngine();
    const auto otherBody = makeBody("other", Endless);
    const auto ownBody = makeBody("own", 60);
    const auto other = start(*engine, makeChat(otherBody, { .attempt = "other" }));
    ASSERT_TRUE(waitForLoad(*engine, 1, 0));
    control(*engine, { { "crossed_every", 2 } });
    const auto received = readStream(finish(*engine, makeChat(ownBody, { .attempt = "own" }))->body());
    std::string expected;
    for (std::size_t token = 0; token < 60; ++token) {
        expected += tokenAt(answerTo(received.ids.at(token) == "own" ? ownBody : otherBody), token);
    }
    EXPECT_EQ(received.text, expected);
    EXPECT_GT(std::count(received.ids.begin(), received.ids.end(), "other"), 0);
    EXPECT_GT(std::count(received.ids.begin(), received.ids.end(), "own"), 1);
}

TEST_F(EngineTests, aPoisonedRequestKillsTheProcessAndItsNeighbours)
{
    // One request crashes the engine that runs it. Its own caller and the caller of the answer beside it both see
    // their connections end in the middle; nothing tells them which of the two was to blame.
    Program engine(Binary, { "--token-ms", "1" });
    sendControl(loop_, engine.control(), { { "crash_on_text", "poison" } });
    TestCall neighbour(loop_, engine.address(), makeChat(makeBody("neighbour", Endless)));
    ASSERT_TRUE(runUntil(loop_, [&]() { return countTokens(neighbour) > 0; }));
    const auto poisoned = callAndWait(loop_, engine.address(), makeChat(makeBody("a poison b", 5)));
    EXPECT_TRUE(poisoned->isBroken());
    ASSERT_TRUE(runUntil(loop_, [&]() { return neighbour.isDone(); }));
    EXPECT_TRUE(neighbour.isBroken());
    std::optional<int> status;
    ASSERT_TRUE(runUntil(loop_, [&]() { return (status = engine.exitStatus()).has_value(); }));
    EXPECT_EQ(status, 1);
}

TEST_F(EngineTests, aCachedPrefixIsCountedInTheUsage)
{
    const auto engine = makeEngine({ .prefixCacheBlocks = 16 });
    const auto body = makeBody(std::string(400, 'p'), 1);
    const auto cachedTokens = [&]() {
        auto document = body;
        document["stream"] = false;
        return nlohmann::json::parse(finish(*engine, makeChat(document))->body()).at("usage").at("prompt_tokens_details").at("cached_tokens").get<int>();
    };
    EXPECT_EQ(cachedTokens(), 0);
    EXPECT_GT(cachedTokens(), 90);
}
