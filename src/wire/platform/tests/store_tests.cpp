#include "wire/http/tests/exchange.h"
#include "wire/platform/internal/codec.h"
#include "wire/platform/store.h"
#include "wire/platform/tests/fakestore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <vector>

using namespace auburnspread;
using http::tests::runUntil;
using platform::Verdict;
using platform::tests::Fault;

namespace
{

class StoreTests : public testing::Test
{
protected:
    /// The result that \p call hands to its callback.
    template <typename Result, typename StartCall>
    auto resultOf(StartCall call) -> Result
    {
        std::optional<Result> result;
        call([&](Result got) { result = std::move(got); });
        EXPECT_TRUE(runUntil(loop_, [&]() { return result.has_value(); }));
        return std::move(result).value();
    }

    auto create(const std::string &key, const std::string &value) -> platform::WriteResult
    {
        return resultOf<platform::WriteResult>([&](auto onWritten) { store_.create(key, value, onWritten); });
    }

    auto get(const std::string &key) -> platform::Snapshot
    {
        return std::get<platform::Snapshot>(resultOf<platform::ReadResult>([&](auto onRead) { store_.get(key, onRead); }));
    }

    task::EventLoop loop_;
    platform::tests::FakeStore service_{ loop_ };
    std::vector<std::string> calls_;
    platform::Store store_{ loop_,
                            { .address = service_.address(),
                              .timeout = std::chrono::seconds(20),
                              .onCall = [this](platform::CallKind kind, platform::CallOutcome outcome) {
                                  calls_.push_back(std::string(callKindName(kind)) + " " + std::string(callOutcomeName(outcome)));
                              } } };
};

} // namespace

TEST_F(StoreTests, writesAndReadsCarryAnyBytes)
{
    const std::string key = "auburnspread/claims/work space/50%\xc3\xa9?#";
    const std::string value("a\0b\xff=", 5);
    EXPECT_EQ(create(key, value).verdict, Verdict::Applied);
    const auto snapshot = get(key);
    ASSERT_EQ(snapshot.entries.size(), 1U);
    EXPECT_EQ(snapshot.entries.front().key, key);
    EXPECT_EQ(snapshot.entries.front().value, value);
    EXPECT_EQ(create(key, "other").verdict, Verdict::Conflict);
    EXPECT_TRUE(get("auburnspread/absent").entries.empty());
    EXPECT_EQ(calls_, (std::vector<std::string>{ "put answered", "get answered", "put answered", "get answered" }));
}

TEST_F(StoreTests, everyFaultGivesTheVerdictThatItProves)
{
    service_.strike(Fault::LoseReply);
    EXPECT_EQ(create("lost-reply", "v").verdict, Verdict::Unknown);
    EXPECT_NE(service_.find("lost-reply"), nullptr);
    service_.strike(Fault::LoseRequest);
    EXPECT_EQ(create("lost-request", "v").verdict, Verdict::Unknown);
    service_.strike(Fault::Silence);
    platform::Store impatient(loop_, { .address = service_.address(), .timeout = std::chrono::milliseconds(50) });
    const auto silent = resultOf<platform::WriteResult>([&](auto onWritten) { impatient.create("silent", "v", onWritten); });
    EXPECT_EQ(silent.verdict, Verdict::Unknown);
    EXPECT_EQ(silent.failure.text, "platform: wait " + service_.address() + ": timeout");
    service_.strike(Fault::Limit);
    EXPECT_EQ(create("limited", "v").verdict, Verdict::Unavailable);
    platform::Store elsewhere(loop_, { .address = "127.0.0.1:1" });
    const auto refused = resultOf<platform::WriteResult>([&](auto onWritten) { elsewhere.create("k", "v", onWritten); });
    EXPECT_EQ(refused.verdict, Verdict::Unavailable);
}

TEST_F(StoreTests, aBatchIsCreatedAsAWholeOrNamesWhatConflicts)
{
    const auto createAll = [this](const std::vector<platform::Creation> &creations) {
        return resultOf<platform::WriteResult>([&](auto onWritten) { store_.createAll(creations, onWritten); });
    };
    EXPECT_EQ(createAll({ { "a", "1" }, { "b", "" } }).verdict, Verdict::Applied);
    const auto refused = createAll({ { "c", "1" }, { "a", "1" }, { "b", "1" } });
    EXPECT_EQ(refused.verdict, Verdict::Conflict);
    EXPECT_EQ(refused.conflicts, (std::vector<std::size_t>{ 1, 2 }));
    EXPECT_EQ(service_.find("c"), nullptr);
}

RC_GTEST_PROP(CodecTests, noAnswerBreaksTheReader, ())
{
    const auto piece
        = rc::gen::element<std::string>("[", "]", "{", "}", "\"Key\":", "\"Value\":", "\"ModifyIndex\":", "\"a\"", "\"YQ==\"", "\"=\"", "null", "7", ",", "-1");
    std::string body;
    for (const auto &part : *rc::gen::container<std::vector<std::string>>(piece)) {
        body += part;
    }
    const auto entries = platform::detail::parseEntries(body);
    RC_ASSERT(!entries || nlohmann::json::accept(body));
}

TEST(CodecTests, anEntryThatMakesNoSenseSpoilsTheAnswer)
{
    EXPECT_EQ(platform::detail::parseEntries(R"([{"Key":"k","Value":null,"ModifyIndex":3}])")->front().value, "");
    EXPECT_FALSE(platform::detail::parseEntries(R"([{"Key":"k","Value":"!!!!","ModifyIndex":3}])"));
    EXPECT_FALSE(platform::detail::parseEntries(R"([{"Key":"k","Value":"YQ=="}])"));
    EXPECT_FALSE(platform::detail::parseEntries("<html>"));
}
