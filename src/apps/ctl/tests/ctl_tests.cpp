#include "apps/administration/tests/surroundings.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/output.h"
#include "core/configuration/serializer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace auburnspread::ctl
{

namespace
{

using administration::tests::Surroundings;
using configuration::tests::makeDocument;

/// What one run printed and returned.
struct CommandRun {
    ExitCode code{};
    std::string output;
    std::string errors;
};

auto parse(std::vector<std::string> words) -> std::variant<Invocation, Exit>
{
    words.insert(words.begin(), "auburnspreadctl");
    auto arguments = std::vector<char *>();
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    return parseCommandLine(static_cast<int>(words.size()), arguments.data());
}

class CtlTests : public testing::Test
{
protected:
    ~CtlTests() override
    {
        std::filesystem::remove(path_);
    }

    auto writeDocument(const configuration::Document &document) -> std::string
    {
        std::ofstream(path_) << configuration::serializeDocument(document);
        return path_;
    }

    /// Runs in a thread of its own, since it waits for answers that this thread's event loop gives.
    auto run(std::vector<std::string> words) -> CommandRun
    {
        words.insert(words.end(), { "--platform", surroundings_.platformAddress() });
        const auto invocation = std::get<Invocation>(parse(words));
        auto output = std::ostringstream();
        auto errors = std::ostringstream();
        auto code = ExitCode();
        auto isDone = std::atomic<bool>(false);
        auto runner = std::thread([&] {
            code = ctl::run(invocation, output, errors);
            isDone = true;
        });
        administration::tests::runUntil(surroundings_.loop, [&isDone] { return isDone.load(); });
        runner.join();
        return { .code = code, .output = output.str(), .errors = errors.str() };
    }

    Surroundings surroundings_;
    std::string path_ = std::filesystem::temp_directory_path() / ("ctl-tests-" + std::to_string(getpid()) + ".json");
};

TEST_F(CtlTests, CheckPassesOnBothDeploymentsAndNamesFaults)
{
    for (const auto *const name : { "highveld", "smetnja" }) {
        EXPECT_EQ(run({ "check", std::string(AUBURNSPREAD_SOURCE_DIR "/deployments/") + name + "/document.json" }).code, ExitCode::Done);
    }
    auto document = makeDocument();
    document.classes[0].tier = 9;
    const auto faulty = run({ "check", writeDocument(document) });
    EXPECT_EQ(faulty.code, ExitCode::Negative);
    EXPECT_NE(faulty.output.find("/classes/0/tier: expected 0 to 7, found 9"), std::string::npos);
    EXPECT_EQ(run({ "check", "/nonexistent" }).code, ExitCode::Usage);
}

TEST_F(CtlTests, SubmitsOnlyOnTheEditedVersion)
{
    auto document = makeDocument();
    EXPECT_EQ(run({ "submit", writeDocument(document) }).code, ExitCode::Done);
    document.workspaces[0].weight = 5;
    const auto blind = run({ "submit", writeDocument(document) });
    EXPECT_EQ(blind.code, ExitCode::Conflict);
    EXPECT_NE(blind.output.find("/workspaces/workspace-0/weight"), std::string::npos);
    EXPECT_EQ(run({ "diff", path_ }).code, ExitCode::Negative);
    EXPECT_EQ(run({ "submit", path_, "--edited", "1" }).code, ExitCode::Done);
    EXPECT_EQ(run({ "diff", path_ }).code, ExitCode::Done);
    const auto shown = nlohmann::json::parse(run({ "show", "--json" }).output);
    EXPECT_EQ(shown["version"], 2);
    EXPECT_EQ(shown["document"]["workspaces"][0]["weight"], 5);
}

// One entry has not adopted the version yet, then one is out of reach. Scripts that wait for a version to be in force must see it.
TEST_F(CtlTests, StatusTellsOnHowManyEntriesAVersionIsInForce)
{
    run({ "submit", writeDocument(makeDocument()) });
    auto &first = surroundings_.addEntry("entry-1");
    auto &second = surroundings_.addEntry("entry-2");
    first.version = 1;
    const auto partly = run({ "status" });
    EXPECT_EQ(partly.code, ExitCode::Negative);
    EXPECT_NE(partly.output.find("in force on 1 of 2 entries"), std::string::npos);
    second.version = 1;
    EXPECT_EQ(run({ "status" }).code, ExitCode::Done);
    surroundings_.control({ { "down", true } });
    const auto outage = run({ "entries", "--entries", first.address });
    EXPECT_EQ(outage.code, ExitCode::Done);
    EXPECT_NE(outage.output.find("fd-a"), std::string::npos);
}

TEST_F(CtlTests, DrainsABackendServerOnEveryEntryAndAnEntryOnlyThere)
{
    run({ "submit", writeDocument(makeDocument()) });
    auto &first = surroundings_.addEntry("entry-1");
    auto &second = surroundings_.addEntry("entry-2");
    EXPECT_EQ(run({ "drain", "engine-1" }).code, ExitCode::Done);
    EXPECT_EQ(run({ "drain", "entry-2" }).code, ExitCode::Done);
    EXPECT_EQ(run({ "drain", "absent" }).code, ExitCode::Unreachable);
    EXPECT_EQ(first.changes, (std::vector<std::string>{ "/v1/backends/engine-1/drain" }));
    EXPECT_EQ(second.changes, (std::vector<std::string>{ "/v1/backends/engine-1/drain", "/v1/drain" }));
}

// The platform's service is out, so entries are known by address only. An operator who drains one by its name must
// not have the order taken for one about a backend server.
TEST_F(CtlTests, DrainsAnEntryByNameDuringAnOutage)
{
    auto &first = surroundings_.addEntry("entry-1");
    auto &second = surroundings_.addEntry("entry-2");
    surroundings_.control({ { "down", true } });
    EXPECT_EQ(run({ "drain", "entry-2", "--entries", first.address + "," + second.address }).code, ExitCode::Done);
    EXPECT_TRUE(first.changes.empty());
    EXPECT_EQ(second.changes, (std::vector<std::string>{ "/v1/drain" }));
}

TEST_F(CtlTests, ListsAndReleasesQuarantinedRequests)
{
    auto &entry = surroundings_.addEntry("entry-1");
    entry.quarantined = { { { "fingerprint", "00ff" } } };
    EXPECT_NE(run({ "quarantine", "list" }).output.find("00ff"), std::string::npos);
    EXPECT_EQ(run({ "quarantine", "release", "00ff" }).code, ExitCode::Done);
    EXPECT_EQ(run({ "quarantine", "release", "../drain" }).code, ExitCode::Usage);
    EXPECT_EQ(entry.changes.back(), "/v1/quarantine/00ff");
}

TEST(CommandLine, RefusesWhatItDoesNotKnow)
{
    const auto codeOf = [](const std::vector<std::string> &words) { return std::get<Exit>(parse(words)).code; };
    EXPECT_EQ(codeOf({}), ExitCode::Usage);
    EXPECT_EQ(codeOf({ "chek", "x" }), ExitCode::Usage);
    EXPECT_EQ(codeOf({ "check" }), ExitCode::Usage);
    EXPECT_EQ(codeOf({ "submit", "x", "--edited", "one" }), ExitCode::Usage);
    EXPECT_EQ(codeOf({ "status", "--unknown" }), ExitCode::Usage);
    EXPECT_EQ(codeOf({ "--help" }), ExitCode::Done);
}

// A caller's text that reaches a table must not steer the operator's terminal.
TEST(Output, ShowsControlCharactersAsQuestionMarks)
{
    EXPECT_EQ(renderTable({ .titles = { "A" }, .rows = { { "x\x1b[2Jy" } } }), "A\nx?[2Jy\n");
}

} // namespace

} // namespace auburnspread::ctl
