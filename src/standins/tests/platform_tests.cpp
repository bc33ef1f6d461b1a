#include "standins/platform/platformserver.h"
#include "standins/testing/httpclient.h"
#include "standins/testing/waiting.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

class PlatformTests : public testing::Test
{
protected:
    task::EventLoop loop_;
    PlatformServer platform_{ loop_, {} };

    auto start(const TestRequest &request) -> std::unique_ptr<TestCall>
    {
        return std::make_unique<TestCall>(loop_, platform_.server().address(), request);
    }

    auto get(const std::string &target) -> std::unique_ptr<TestCall>
    {
        return callAndWait(loop_, platform_.server().address(), { .target = target });
    }

    auto put(const std::string &target, const std::string &body) -> std::unique_ptr<TestCall>
    {
        return callAndWait(loop_, platform_.server().address(), { .method = "PUT", .target = target, .body = body });
    }

    auto control(const nlohmann::json &message) -> void
    {
        sendControl(loop_, platform_.control().address(), message);
    }

    auto counts() -> nlohmann::json
    {
        return nlohmann::json::parse(callAndWait(loop_, platform_.control().address(), { .target = "/control/counts" })->body());
    }

    auto waitForWatches(int count) -> bool
    {
        return pollUntil([&]() { return counts().at("waiting") == count; });
    }
};

} // namespace

TEST_F(PlatformTests, ofTwoConflictingWritesOneWins)
{
    EXPECT_EQ(put("/v1/kv/manifest?cas=0", "one")->body(), "true");
    EXPECT_EQ(put("/v1/kv/manifest?cas=0", "two")->body(), "false");
    const auto stored = nlohmann::json::parse(get("/v1/kv/manifest")->body()).at(0);
    EXPECT_EQ(stored.at("Value"), "b25l");
    const auto index = std::to_string(stored.at("ModifyIndex").get<int>());
    EXPECT_EQ(put("/v1/kv/manifest?cas=" + index, "three")->body(), "true");
    EXPECT_EQ(put("/v1/kv/manifest?cas=" + index, "four")->body(), "false");
    EXPECT_EQ(get("/v1/kv/manifest?raw")->body(), "three");
}

TEST_F(PlatformTests, aChangeWakesAWaitingQueryAndAnEqualIndexMeansNone)
{
    put("/v1/kv/manifest", "one");
    const auto index = get("/v1/kv/manifest")->header("X-Consul-Index");
    const auto unchanged = get("/v1/kv/manifest?raw&wait=20ms&index=" + index);
    EXPECT_EQ(unchanged->header("X-Consul-Index"), index);
    EXPECT_EQ(unchanged->body(), "one");

    const auto watch = start({ .target = "/v1/kv/manifest?raw&wait=10m&index=" + index });
    const auto other = start({ .target = "/v1/kv/other?wait=10m&index=1" });
    ASSERT_TRUE(waitForWatches(2));
    put("/v1/kv/manifest", "two");
    ASSERT_TRUE(runUntil(loop_, [&]() { return watch->isDone(); }));
    EXPECT_EQ(watch->body(), "two");
    EXPECT_NE(watch->header("X-Consul-Index"), index);
    EXPECT_FALSE(other->isDone());
    EXPECT_EQ(counts().at("waiting"), 1);
    other->cancel();
    EXPECT_TRUE(waitForWatches(0));
}

TEST_F(PlatformTests, anExpiredSessionDeletesItsKeysAndWakesWhoWatchesThem)
{
    const auto created = put("/v1/session/create", R"({"TTL":"30ms","Behavior":"delete","Name":"entry-1"})");
    const auto id = nlohmann::json::parse(created->body()).at("ID").get<std::string>();
    ASSERT_EQ(put("/v1/kv/entries/entry-1?acquire=" + id, "address")->body(), "true");
    const auto watch = get("/v1/kv/entries/?recurse&wait=10m&index=" + get("/v1/kv/entries/?recurse")->header("X-Consul-Index"));
    EXPECT_EQ(watch->status(), 404);
    EXPECT_EQ(put("/v1/session/renew/" + id, "")->status(), 404);
    EXPECT_EQ(put("/v1/kv/entries/entry-1?acquire=" + id, "address")->status(), 400);
}

TEST_F(PlatformTests, aWriteWhoseReplyIsLostHasTakenEffect)
{
    // The connection closes without an answer, so the writer cannot know. The write is there, and repeating it as a
    // creation fails: only reading back tells the writer that it was its own.
    control({ { "lose_replies", 1 }, { "lose_replies_key", "claims/" } });
    EXPECT_EQ(put("/v1/kv/entries/a", "x")->body(), "true");
    const auto lost = put("/v1/kv/claims/k?cas=0", "nonce");
    EXPECT_TRUE(lost->isBroken());
    EXPECT_EQ(get("/v1/kv/claims/k?raw")->body(), "nonce");
    EXPECT_EQ(put("/v1/kv/claims/k?cas=0", "nonce")->body(), "false");
    EXPECT_EQ(counts().at("lost_replies"), 1);
}

TEST_F(PlatformTests, aSlowWriteTakesEffectAfterItsWriterHasGone)
{
    // The writer gives up on a slow write and closes its connection. The write is under way all the same and lands
    // later: to have given up on it proves nothing.
    control({ { "slow_ms", 200 } });
    const auto slow = start({ .method = "PUT", .target = "/v1/kv/late", .body = "x" });
    ASSERT_TRUE(pollUntil([&]() { return counts().at("arrived") == 1; }));
    slow->cancel();
    control({ { "slow_ms", 0 } });
    EXPECT_EQ(get("/v1/kv/late?raw&wait=10m&index=1")->body(), "x");
}

TEST_F(PlatformTests, anOutageClosesWaitingQueriesAndNewCallsWithoutAnAnswer)
{
    put("/v1/kv/manifest", "one");
    const auto watch = start({ .target = "/v1/kv/manifest?wait=10m&index=" + get("/v1/kv/manifest")->header("X-Consul-Index") });
    ASSERT_TRUE(waitForWatches(1));
    control({ { "down", true } });
    ASSERT_TRUE(runUntil(loop_, [&]() { return watch->isDone(); }));
    EXPECT_TRUE(watch->isBroken());
    EXPECT_TRUE(get("/v1/kv/manifest")->isBroken());
    control({ { "down", false } });
    EXPECT_EQ(get("/v1/kv/manifest?raw")->body(), "one");
    EXPECT_EQ(counts().at("waiting"), 0);
}

TEST_F(PlatformTests, aClientThatIsCutOffHearsNothingWhileOthersAreServed)
{
    control({ { "cut", { "127.0.1.3" } } });
    const auto cut = start({ .target = "/v1/vms", .source = "127.0.1.3" });
    EXPECT_EQ(get("/v1/vms")->status(), 200);
    EXPECT_FALSE(cut->isDone());
    control({ { "cut", nlohmann::json::array() } });
    ASSERT_TRUE(runUntil(loop_, [&]() { return cut->isDone(); }));
    EXPECT_TRUE(cut->isBroken());
    EXPECT_EQ(callAndWait(loop_, platform_.server().address(), { .target = "/v1/vms", .source = "127.0.1.3" })->status(), 200);
}

TEST_F(PlatformTests, theListOfVmsLagsBehindAndWakesItsWatch)
{
    control({ { "vm", { { "name", "vm-1" }, { "address", "127.0.0.2" }, { "state", "live" } } } });
    const auto before = get("/v1/vms");
    const auto watch = start({ .target = "/v1/vms?wait=10m&index=" + before->header("X-Consul-Index") });
    ASSERT_TRUE(waitForWatches(1));
    control({ { "vm_lag_ms", 30 }, { "vm", { { "name", "vm-1" }, { "address", "127.0.0.2" }, { "state", "leaving" } } } });
    EXPECT_EQ(nlohmann::json::parse(before->body()).at(0).at("state"), "live");
    ASSERT_TRUE(runUntil(loop_, [&]() { return watch->isDone(); }));
    EXPECT_EQ(nlohmann::json::parse(watch->body()).at(0).at("state"), "leaving");
}

TEST_F(PlatformTests, tooLargeValuesAndTransactionsAreRefused)
{
    EXPECT_EQ(put("/v1/kv/big", std::string(1U << 20U, 'x'))->body(), "true");
    EXPECT_EQ(put("/v1/kv/bigger", std::string((1U << 20U) + 1, 'x'))->status(), 413);
    auto operations = nlohmann::json::array();
    for (int number = 0; number < 65; ++number) {
        operations.push_back({ { "KV", { { "Verb", "cas" }, { "Key", "k" + std::to_string(number) }, { "Value", "eA==" }, { "Index", 0 } } } });
    }
    EXPECT_EQ(put("/v1/txn", operations.dump())->status(), 413);
    operations.erase(0);
    EXPECT_EQ(put("/v1/txn", operations.dump())->status(), 200);
    const auto conflict = put("/v1/txn", operations.dump());
    EXPECT_EQ(conflict->status(), 409);
    EXPECT_EQ(nlohmann::json::parse(conflict->body()).at("Errors").size(), 64U);
}

TEST_F(PlatformTests, callsOverTheRateAreRefusedAndDoNothing)
{
    PlatformServer limited(loop_, { .writesPerSecond = 0.001 });
    const auto write = [&](const std::string &key) {
        return callAndWait(loop_, limited.server().address(), { .method = "PUT", .target = "/v1/kv/" + key, .body = "x" })->status();
    };
    EXPECT_EQ(write("a"), 200);
    EXPECT_EQ(write("b"), 429);
    EXPECT_EQ(callAndWait(loop_, limited.server().address(), { .target = "/v1/kv/b" })->status(), 404);
}
