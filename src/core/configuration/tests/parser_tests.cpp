#include "core/configuration/differences.h"
#include "core/configuration/digest.h"
#include "core/configuration/parser.h"
#include "core/configuration/serializer.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>

namespace auburnspread::configuration
{

namespace
{

using nlohmann::json;

auto readFile(const std::string &path) -> std::string
{
    auto stream = std::ifstream(path);
    EXPECT_TRUE(stream.is_open()) << path;
    return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
}

auto deploymentPath(const std::string &name) -> std::string
{
    return AUBURNSPREAD_SOURCE_DIR "/deployments/" + name + "/document.json";
}

auto validDocument() -> json
{
    return json::parse(readFile(AUBURNSPREAD_TEST_DATA "/small.json"));
}

auto problemsOf(const json &document) -> std::map<std::string, std::string>
{
    auto problems = std::map<std::string, std::string>();
    for (const auto &problem : parseDocument(document.dump()).problems) {
        problems.emplace(problem.path, problem.text);
    }
    return problems;
}

TEST(Parser, AcceptsBothDeployments)
{
    for (const auto *const name : { "highveld", "smetnja" }) {
        const auto parsed = parseDocument(readFile(deploymentPath(name)));
        for (const auto &problem : parsed.problems) {
            ADD_FAILURE() << name << problem.path << ": " << problem.text;
        }
        ASSERT_TRUE(parsed.document.has_value());
        EXPECT_EQ(parsed.document->name, name);
        EXPECT_EQ(parsed.document->workspaces.size(), 10U);
        EXPECT_EQ(parsed.document->failureDomains.size(), 3U);
    }
}

TEST(Parser, CanonicalFormSurvivesARoundTripAndIgnoresOrder)
{
    auto reordered = validDocument();
    std::ranges::reverse(reordered["workspaces"]);
    const auto first = parseDocument(validDocument().dump()).document.value();
    const auto second = parseDocument(reordered.dump()).document.value();
    EXPECT_EQ(serializeDocument(first), serializeDocument(second));
    EXPECT_EQ(digestOf(first), digestOf(second));
    const auto again = parseDocument(serializeDocument(first)).document.value();
    EXPECT_EQ(serializeDocument(again), serializeDocument(first));
    EXPECT_TRUE(differences(first, second).empty());
}

// An operator submits a document with many mistakes. All of them are named at once, each with its place, so that
// the operator does not learn of the second one only after mending the first.
TEST(Parser, NamesEveryProblemWithItsPath)
{
    auto document = validDocument();
    document["colour"] = 1;
    document["classes"][0]["teir"] = 3;
    document["classes"][0]["tier"] = 8;
    document["classes"][1]["models"][0]["model"] = "absent";
    document["classes"][1]["floor_slots"] = -1;
    document["workspaces"][0]["classes"] = json::array({ "absent", "quote", "quote" });
    document["workspaces"][0]["requests_per_second"] = 5;
    document["workspaces"][1]["name"] = document["workspaces"][0]["name"];
    document["backend_servers"][0]["address"] = "127.0.2.300:9000";
    document["backend_servers"][1]["address"] = "engine.example:9000";
    document["backend_servers"][1]["failure_domain"] = "nowhere";
    document["backend_servers"][1].erase("name");
    document["limits"]["queue_length"] = "many";
    document["limits"]["progress_timeout_ms"] = 1.5;
    const auto problems = problemsOf(document);

    const auto expected = std::map<std::string, std::string>{
        { "/colour", "unknown key" },
        { "/classes/0/teir", "nearest known one is \"tier\"" },
        { "/classes/0/tier", "expected 0 to 7, found 8" },
        { "/classes/1/models/0/model", "no model is named \"absent\"" },
        { "/classes/1/floor_slots", "found -1" },
        { "/workspaces/0/classes/0", "no class is named \"absent\"" },
        { "/workspaces/0/classes/2", "stands twice" },
        { "/workspaces/0/request_burst", "expected at least 1" },
        { "/workspaces/1/name", "names must differ" },
        { "/backend_servers/0/address", "expected an IP number and port" },
        { "/backend_servers/1/address", "expected an IP number and port" },
        { "/backend_servers/1/failure_domain", "no failure domain" },
        { "/backend_servers/1", "lacks the required key \"name\"" },
        { "/limits/queue_length", "expected a whole number, found string" },
        { "/limits/progress_timeout_ms", "found 1.5" },
    };
    for (const auto &[path, text] : expected) {
        ASSERT_TRUE(problems.contains(path)) << path;
        EXPECT_NE(problems.at(path).find(text), std::string::npos) << path << ": " << problems.at(path);
    }
    EXPECT_EQ(problems.size(), expected.size());
    EXPECT_FALSE(parseDocument(document.dump()).document.has_value());
}

TEST(Parser, RequiresAServerForEveryGrantAndRoomForFloors)
{
    auto document = validDocument();
    document["backend_servers"] = json::array();
    EXPECT_EQ(problemsOf(document).at("/classes/0/models/0/model"), "no backend server serves model \"quote-7b\"");

    document = validDocument();
    document["models"][0]["versions"] = json::array({ "2", "1" });
    EXPECT_NE(problemsOf(document).at("/classes/0/models/0/model").find("default version \"2\""), std::string::npos);

    document = validDocument();
    document["classes"][1]["floor_slots"] = 16;
    EXPECT_NE(problemsOf(document).at("/classes/1/floor_slots").find("17 floor slots"), std::string::npos);
}

// The JSON library keeps the last of two equal keys. An operator who pasted a line twice would read one value and
// run with the other.
TEST(Parser, RejectsAKeyThatStandsTwice)
{
    const auto parsed = parseDocument(R"({"name":"x","classes":[{"name":"a"},{"name":"b","tier":1,"tier":2}]})");
    const auto problem = Problem{ .path = "/classes/1/tier", .text = "the key stands twice in one object" };
    EXPECT_NE(std::ranges::find(parsed.problems, problem), parsed.problems.end());
}

TEST(Parser, RejectsWhatIsNotADocument)
{
    for (const auto *const text : { "", "{", "[]", "null", "\xff", "{\"name\":\"a\xff\"}" }) {
        const auto parsed = parseDocument(text);
        EXPECT_FALSE(parsed.document.has_value());
        EXPECT_FALSE(parsed.problems.empty());
    }
}

TEST(Differences, AddressNamedThingsByName)
{
    const auto before = parseDocument(validDocument().dump()).document.value();
    auto after = before;
    after.classes.front().tier = 2;
    after.workspaces.erase(after.workspaces.begin());
    const auto changes = differences(before, after);
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0], (Change{ .path = "/classes/quote/tier", .oldValue = "0", .newValue = "2" }));
    EXPECT_EQ(changes[1].path, "/workspaces/alpha");
    EXPECT_EQ(changes[1].newValue, "");
}

} // namespace

} // namespace auburnspread::configuration
