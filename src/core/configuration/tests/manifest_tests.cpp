#include "core/configuration/collection.h"
#include "core/configuration/digest.h"
#include "core/configuration/manifest.h"
#include "core/configuration/serializer.h"
#include "core/configuration/submission.h"
#include "core/configuration/tests/documents.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburnspread::configuration
{

namespace
{

using tests::makeDocument;
using namespace std::chrono_literals;

auto manifestOf(const SplitDocument &parts, std::uint64_t version) -> Manifest
{
    return { .version = version, .digest = parts.digest, .author = "ana", .nonce = "nonce", .parts = parts.references };
}

TEST(Manifest, AssembleGivesBackWhatSplitTookApart)
{
    const auto document = makeDocument(300);
    const auto parts = split(document);
    const auto manifest = parseManifest(serializeManifest(manifestOf(parts, 7)));
    const auto adopted = assemble(manifest, parts.contents);
    EXPECT_EQ(adopted.version, 7U);
    EXPECT_EQ(adopted.digest, digestOf(document));
    EXPECT_EQ(serializeDocument(adopted.document), serializeDocument(document));
}

TEST(Manifest, AChangeOfOneWorkspaceTouchesOnePart)
{
    auto document = makeDocument(300);
    const auto before = split(document);
    document.workspaces[17].concurrency = 5;
    const auto after = split(document);
    const auto changed = std::ranges::count_if(after.references, [&](const auto &part) { return !before.contents.contains(part.digest); });
    EXPECT_EQ(changed, 1);
    EXPECT_NE(before.digest, after.digest);
}

// A part is cut short, swapped or absent. The node must keep what it has: no such document may be adopted in part.
TEST(Manifest, RejectsFaultyParts)
{
    const auto parts = split(makeDocument());
    const auto manifest = manifestOf(parts, 1);
    auto absent = parts.contents;
    absent.erase(absent.begin());
    EXPECT_THROW(assemble(manifest, absent), ManifestError);
    auto swapped = manifest;
    std::swap(swapped.parts[1].digest, swapped.parts[2].digest);
    EXPECT_THROW(assemble(swapped, parts.contents), ManifestError);
    const auto &digest = manifest.parts[0].digest;
    const auto value = encodePart(*parts.contents.at(digest), "nonce");
    EXPECT_TRUE(decodePart(value, digest).has_value());
    EXPECT_FALSE(decodePart(value.substr(0, value.size() - 1), digest).has_value());
    EXPECT_FALSE(decodePart("", digest).has_value());
}

TEST(Manifest, RejectsADocumentThatIsNotValid)
{
    auto document = makeDocument();
    document.workspaces[0].classes = { "absent" };
    const auto parts = split(document);
    EXPECT_THROW(assemble(manifestOf(parts, 1), parts.contents), ManifestError);
}

// The console was upgraded before the entries and writes a key that they do not know. They must follow all the same.
TEST(Manifest, AdoptsADocumentWithKeysOfANewerProgram)
{
    const auto parts = split(makeDocument());
    auto content = nlohmann::json::parse(*parts.contents.at(parts.references[0].digest));
    content["limits"]["a_later_limit"] = 5;
    const auto text = content.dump();
    const auto digest = digestOf(std::string_view(text));
    auto references = parts.references;
    references[0].digest = digest;
    auto digests = std::string();
    for (const auto &reference : references) {
        digests += reference.name + " " + reference.digest + "\n";
    }
    auto contents = parts.contents;
    contents[digest] = std::make_shared<const std::string>(text);
    const auto manifest = Manifest{ .version = 2, .digest = digestOf(std::string_view(digests)), .parts = references };
    EXPECT_EQ(assemble(manifest, contents).document.workspaces.size(), 3U);
}

TEST(Manifest, RejectsWhatDoesNotFit)
{
    auto document = makeDocument();
    document.classes.resize(6000, document.classes.front());
    EXPECT_THROW(split(document), ManifestError);
}

// A submission writes a part again that an older version left behind, just when a collector has it on its list.
// The collector's delete must not take it away: the write changed its index, and the grace begins anew.
TEST(Collection, LeavesAPartThatWasWrittenAgain)
{
    auto state = CollectionState();
    auto now = TimePoint();
    const auto listed = PartsListed{ .digests = { "old", "named" }, .manifest = { .parts = { { .name = "general", .digest = "named" } } } };
    EXPECT_EQ(handle(state, listed, now).size(), 1U);
    EXPECT_TRUE(handle(state, PartIndexRead{ .digest = "old", .index = 5 }, now).empty());
    now += state.grace;
    handle(state, listed, now);
    EXPECT_TRUE(handle(state, PartIndexRead{ .digest = "old", .index = 9 }, now).empty());
    now += state.grace;
    handle(state, listed, now);
    const auto actions = handle(state, PartIndexRead{ .digest = "old", .index = 9 }, now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<DeletePart>(actions[0]).index, 9U);
    EXPECT_TRUE(handle(state, PartIndexRead{ .digest = "named", .index = 2 }, now).empty());
}

// The platform's service was restored from a backup and its manifest is older than what nodes hold. A submission
// on top of it must get a version that nodes take, else it would be accepted and never be in force.
TEST(Submission, PassesVersionsThatNodesHoldAlready)
{
    const auto request = SubmissionRequest{ .editedVersion = 5, .highestSeen = 8 };
    EXPECT_EQ(nextVersion(request), 9U);
    EXPECT_EQ(nextVersion(SubmissionRequest{ .editedVersion = 5, .highestSeen = 3 }), 6U);
}

} // namespace

} // namespace auburnspread::configuration
