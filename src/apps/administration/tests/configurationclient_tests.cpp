#include "apps/administration/configurationclient.h"

#include "apps/administration/tests/surroundings.h"

#include <gtest/gtest.h>

#include <optional>

namespace auburnspread::administration
{

namespace
{

using configuration::Document;
using configuration::SubmissionFinished;
using configuration::SubmissionOutcome;
using configuration::SubmissionRequest;
using configuration::tests::makeDocument;

class ConfigurationClientTests : public testing::Test
{
protected:
    auto request(const Document &document, const Document &edited, std::uint64_t version) -> SubmissionRequest
    {
        return { .document = document, .edited = edited, .editedVersion = version, .author = "ana", .nonce = makeNonce() };
    }

    auto submit(const SubmissionRequest &request) -> SubmissionFinished
    {
        auto result = std::optional<SubmissionFinished>();
        configuration_.submit(request, [&result](const SubmissionFinished &finished) { result = finished; });
        tests::runUntil(surroundings_.loop, [&result] { return result.has_value(); });
        return result.value_or(SubmissionFinished());
    }

    auto readInForce() -> InForceResult
    {
        auto result = std::optional<InForceResult>();
        configuration_.readInForce([&result](const InForceResult &answer) { result = answer; });
        tests::runUntil(surroundings_.loop, [&result] { return result.has_value(); });
        return result.value_or(ReadFailure());
    }

    tests::Surroundings surroundings_;
    platform::Store store_{ surroundings_.loop, { .address = surroundings_.platformAddress() } };
    ConfigurationClient configuration_{ surroundings_.loop, store_ };
};

// The manifest's write takes effect and its reply is lost, twice. The operator is told that the document is in
// force, and it is there once, as version 1.
TEST_F(ConfigurationClientTests, ALostReplyEndsAsAccepted)
{
    surroundings_.control({ { "lose_replies", 2 }, { "lose_replies_key", "auburnspread/manifest" } });
    const auto document = makeDocument(30);
    const auto result = submit(request(document, {}, 0));
    EXPECT_EQ(result.outcome, SubmissionOutcome::Accepted);
    const auto inForce = std::get<InForce>(readInForce());
    EXPECT_EQ(inForce.manifest.version, 1U);
    ASSERT_NE(inForce.configuration, nullptr);
    EXPECT_TRUE(differences(inForce.configuration->document, document).empty());
}

// Two operators edit version 1 and submit at the same moment, over connections of their own. One wins; the other is
// told what the winner changed.
TEST_F(ConfigurationClientTests, OneOfTwoSubmissionsAtOnceWins)
{
    const auto edited = makeDocument(30);
    EXPECT_EQ(submit(request(edited, {}, 0)).outcome, SubmissionOutcome::Accepted);
    auto results = std::vector<SubmissionFinished>();
    for (const auto index : { 0, 1 }) {
        auto changed = edited;
        changed.workspaces[static_cast<std::size_t>(index)].weight = 7;
        configuration_.submit(request(changed, edited, 1), [&results](const SubmissionFinished &finished) { results.push_back(finished); });
    }
    tests::runUntil(surroundings_.loop, [&results] { return results.size() == 2; });
    std::ranges::sort(results, {}, &SubmissionFinished::outcome);
    EXPECT_EQ(results[0].outcome, SubmissionOutcome::Accepted);
    EXPECT_EQ(results[1].outcome, SubmissionOutcome::Conflict);
    ASSERT_EQ(results[1].theirs.size(), 1U);
    ASSERT_EQ(results[1].ours.size(), 1U);
    EXPECT_NE(results[1].theirs[0].path, results[1].ours[0].path);
    EXPECT_EQ(std::get<InForce>(readInForce()).manifest.version, 2U);
}

// The platform's service is down before anything was sent. The outcome must not leave the operator in doubt.
TEST_F(ConfigurationClientTests, AnOutageEndsAsNotDone)
{
    surroundings_.control({ { "down", true } });
    EXPECT_EQ(submit(request(makeDocument(), {}, 0)).outcome, SubmissionOutcome::NotDone);
    EXPECT_TRUE(std::holds_alternative<ReadFailure>(readInForce()));
    surroundings_.control({ { "down", false } });
    EXPECT_EQ(std::get<InForce>(readInForce()).configuration, nullptr);
}

} // namespace

} // namespace auburnspread::administration
