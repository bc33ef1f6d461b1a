#include "runtime/logging/floodlimit.h"
#include "runtime/logging/logging.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace auburnspread;
using logging::Level;

namespace
{

/// A log file that ends with the test.
class LogFile
{
public:
    explicit LogFile(logging::Options options = {})
        : path_(std::filesystem::path(testing::TempDir()) / ("logging-" + std::to_string(::getpid()) + ".log"))
    {
        options.file = path_;
        logging::configure(options);
    }
    ~LogFile()
    {
        logging::configure({});
        std::filesystem::remove(path_);
    }
    LogFile(const LogFile &) = delete;
    auto operator=(const LogFile &) -> LogFile & = delete;

    [[nodiscard]] auto lines() const -> std::vector<nlohmann::json>
    {
        std::vector<nlohmann::json> lines;
        std::ifstream file(path_);
        for (std::string line; std::getline(file, line);) {
            lines.push_back(nlohmann::json::parse(line));
        }
        return lines;
    }

private:
    std::filesystem::path path_;
};

} // namespace

TEST(LoggingTests, anEventIsOneLineWithTypedFields)
{
    const LogFile file;
    const std::string hostile = "two\nlines \"quoted\" \xff";
    logging::event(Level::Warning, "attempt-failed", { { "attempt", 7U }, { "peer", hostile }, { "share", 0.5 }, { "final", true }, { "step", "connect" } });
    logging::event(Level::Debug, "not-written");
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 1U);
    auto line = lines.front();
    EXPECT_TRUE(line.at("time").get<std::string>().ends_with("Z"));
    line.erase("time");
    const auto expected = nlohmann::json::parse(R"({"level":"warning","event":"attempt-failed","attempt":7,
        "peer":"two\nlines \"quoted\" \ufffd","share":0.5,"final":true,"step":"connect"})");
    EXPECT_EQ(line, expected);
}

TEST(LoggingTests, whatLibeventHasToSayIsAnEventToo)
{
    const LogFile file;
    event_base_free(nullptr);
    ASSERT_EQ(file.lines().size(), 1U);
    EXPECT_EQ(file.lines().front().at("event"), "libevent");
    EXPECT_EQ(file.lines().front().at("level"), "warning");
}

TEST(LoggingTests, theLevelChangesAtRunTimeAndStopsAtBothEnds)
{
    const LogFile file;
    logging::raiseLevel();
    logging::raiseLevel();
    EXPECT_EQ(logging::currentLevel(), Level::Debug);
    logging::event(Level::Debug, "written");
    for (int i = 0; i < 5; ++i) {
        logging::lowerLevel();
    }
    EXPECT_EQ(logging::currentLevel(), Level::Error);
    logging::event(Level::Warning, "not-written");
    EXPECT_EQ(file.lines().size(), 1U);
}

TEST(LoggingTests, aFileThatCannotBeWrittenIsAnError)
{
    EXPECT_THROW(logging::configure({ .file = "/nonexistent/folder/log" }), std::runtime_error);
}

// Every request fails for the same cause: thousands of equal events a second from several threads.
// The log keeps a few of them and says how many it held back; no event is lost from the sum.
TEST(LoggingTests, aFloodOfOneEventIsBoundedAndCounted)
{
    constexpr int EventsPerThread = 500;
    const LogFile file({ .linesPerSecond = 10 });
    const auto flood = []() {
        for (int i = 0; i < EventsPerThread; ++i) {
            logging::event(Level::Error, "backend-failed");
        }
    };
    std::thread other(flood);
    flood();
    other.join();
    logging::flush();
    std::uint64_t written = 0;
    std::uint64_t suppressed = 0;
    for (const auto &line : file.lines()) {
        written += line.at("event") == "backend-failed" ? 1 : 0;
        suppressed += line.value("count", std::uint64_t{ 0 });
    }
    EXPECT_EQ(written + suppressed, 2U * EventsPerThread);
    EXPECT_GT(suppressed, 0U);
}

RC_GTEST_PROP(FloodLimitTests, anySecondIsBoundedAndEveryLineIsCounted, ())
{
    constexpr int Limit = 3;
    logging::FloodLimit limit(Limit);
    TimePoint now;
    std::uint64_t asked = 0;
    std::uint64_t counted = 0;
    std::vector<TimePoint> admitted;
    for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 700))) {
        now += std::chrono::milliseconds(step);
        ++asked;
        if (limit.admit("event", now)) {
            admitted.push_back(now);
        }
        for (const auto &item : limit.takeEnded(now)) {
            counted += item.count;
        }
    }
    for (const auto &item : limit.takeAll()) {
        counted += item.count;
    }
    RC_ASSERT(counted + admitted.size() == asked);
    constexpr std::size_t MostInAnySecond = std::size_t{ 2 } * Limit; // a second can touch two windows
    for (std::size_t i = MostInAnySecond; i < admitted.size(); ++i) {
        RC_ASSERT(admitted[i] - admitted[i - MostInAnySecond] >= std::chrono::seconds(1));
    }
}
