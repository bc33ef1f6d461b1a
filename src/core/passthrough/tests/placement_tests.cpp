#include "core/passthrough/enginesplit.h"
#include "core/passthrough/placement.h"

#include <gtest/gtest.h>

#include <map>

using namespace auburnspread;
using namespace auburnspread::passthrough;

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));

auto makeEngines(int count) -> std::vector<ServerPointer>
{
    ServerTable table;
    std::vector<Server> records;
    records.reserve(static_cast<std::size_t>(count));
    for (auto i = 0; i < count; ++i) {
        records.push_back({ .id = "engine-" + std::to_string(i), .service = "engines", .slots = 32 });
    }
    adoptServers(table, { .servers = records }, Now);
    return table.byService["engines"].all;
}

auto makeQuote(std::uint64_t session) -> Prompt
{
    return { .tokens = 9190, .answerTokens = 50, .parts = { { .id = 1, .tokens = 2520 }, { .id = session, .tokens = 3780 }, { .id = 0, .tokens = 2890 } } };
}

/// The engine has read the shared parts of this prompt a while ago.
auto keepParts(ServerState &engine, const Prompt &prompt) -> void
{
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        noteUse(engine.cache, prompt.parts[i], 0, Now - std::chrono::seconds(2));
    }
}

auto makeCheck(std::uint64_t session) -> Prompt
{
    return { .tokens = 826, .answerTokens = 290, .parts = { { .id = 2, .tokens = 119 }, { .id = session, .tokens = 79 }, { .id = 0, .tokens = 628 } } };
}

} // namespace

/// Sessions are read once, whichever entry asks: every entry, with no word from the others, finds the same engine.
TEST(PlacementTests, allEntriesSendASessionToTheSameEngine)
{
    for (std::uint64_t session = 10; session < 60; ++session) {
        const auto quote = makeQuote(session);
        std::map<std::string, int> chosen;
        for (std::uint64_t entry = 0; entry < 7; ++entry) {
            const auto placement = choosePlacement(makeEngines(18), { .prompt = &quote, .tieBreak = entry }, {}, Now);
            chosen[placement.server->record.id] += 1;
        }
        EXPECT_EQ(chosen.size(), 1U) << "session " << session;
    }
}

/// What callers see: quotes that are all late in a burst, while half of the fleet's reading is done twice. A busy engine's
/// sessions go on to one and the same second engine, so their part is read there once.
TEST(PlacementTests, aSessionOverflowsToOneSecondEngine)
{
    std::map<std::string, int> second;
    for (std::uint64_t entry = 0; entry < 7; ++entry) {
        const auto quote = makeQuote(78);
        const auto engines = makeEngines(18);
        const auto home = choosePlacement(engines, { .prompt = &quote, .tieBreak = entry }, {}, Now).server;
        home->others.unreadTokens = 60'000;
        second[choosePlacement(engines, { .prompt = &quote, .tieBreak = entry }, {}, Now).server->record.id] += 1;
    }
    EXPECT_EQ(second.size(), 1U);
}

/// What callers see: in a burst every answer is late, also that of the newest request. An engine that has a third of a second of
/// reading before it gets nothing that must begin within 0.2 s. While every engine has, the request waits, for the one that holds its
/// parts; as soon as another one has room it goes there, and has its parts copied.
TEST(PlacementTests, aRequestWaitsWhileEveryEngineHasTooMuchToRead)
{
    const auto quote = makeQuote(79);
    const auto engines = makeEngines(18);
    const PlacementQuery query{ .prompt = &quote, .fetchTokensPerMs = 176, .mostAhead = std::chrono::milliseconds(200) };
    const auto home = choosePlacement(engines, query, {}, Now);
    EXPECT_FALSE(home.mustWait);
    keepParts(*home.server, quote);
    for (const auto &engine : engines) {
        engine->others.unreadTokens = 15'000;
    }
    const auto waiting = choosePlacement(engines, query, {}, Now);
    EXPECT_EQ(waiting.server, home.server);
    EXPECT_TRUE(waiting.mustWait);
    const auto other = engines.front() == home.server ? engines.back() : engines.front();
    other->others.unreadTokens = 0;
    const auto sent = choosePlacement(engines, query, {}, Now);
    EXPECT_EQ(sent.server, other);
    EXPECT_FALSE(sent.mustWait);
    EXPECT_EQ(sent.fetchFrom, home.server);
    EXPECT_EQ(sent.load.unreadTokens, 2890U);
}

/// What callers see: answers of another prompt's length of time, because an engine is asked for a cache that it has lost or that it
/// is still reading. Copies come from an engine that may get new work, and only of parts that it has surely read by now.
TEST(PlacementTests, aCopyComesFromAnEngineThatHasReadTheParts)
{
    const auto quote = makeQuote(79);
    const auto engines = makeEngines(2);
    engines[1]->others.unreadTokens = 100'000;
    const PlacementQuery query{ .prompt = &quote, .fetchTokensPerMs = 176 };
    for (std::size_t i = 0; i + 1 < quote.parts.size(); ++i) {
        noteUse(engines[1]->cache, quote.parts[i], 0, Now - std::chrono::milliseconds(100));
    }
    EXPECT_FALSE(choosePlacement({ engines[0], engines[1] }, query, {}, Now).fetchFrom) << "it is still being read";
    const auto later = Now + std::chrono::seconds(1);
    EXPECT_EQ(choosePlacement(engines, query, {}, later).fetchFrom, engines[1]);
    engines[1]->record.isLeaving = true;
    EXPECT_FALSE(choosePlacement(engines, query, {}, later).fetchFrom) << "it is about to leave";
}

/// What callers see: an engine that was free a moment ago takes seconds to begin. Requests wait for it at 60 entries, and all
/// of these hear at once that it has room for a few; about so many may go, not all.
TEST(PlacementTests, noMoreGoAtOnceThanThereIsRoomFor)
{
    const auto quote = makeQuote(80);
    constexpr std::uint64_t Entries = 60;
    constexpr std::uint32_t TokensEach = 2890;
    const auto engines = makeEngines(18);
    PlacementQuery query{ .prompt = &quote, .mostAhead = std::chrono::milliseconds(270) };
    const auto home = choosePlacement(engines, query, {}, Now).server;
    for (const auto &engine : engines) {
        engine->others.unreadTokens = engine == home ? 0 : 60'000;
    }
    home->others.waitingTokens = Entries * TokensEach;
    auto sent = 0;
    constexpr auto Rounds = 50;
    for (std::uint64_t round = 0; round < Rounds; ++round) {
        query.reports = round;
        for (std::uint64_t entry = 0; entry < Entries; ++entry) {
            query.tieBreak = 7919 * entry;
            sent += choosePlacement(engines, query, {}, Now).mustWait ? 0 : 1;
        }
    }
    const auto fitting = 270 * EngineSpeed{}.tokensPerMs / TokensEach;
    EXPECT_GT(sent, 0.5 * fitting * Rounds);
    EXPECT_LT(sent, 1.5 * fitting * Rounds);
}

TEST(PlacementTests, aSessionLeavesItsEngineOnlyWhenThatIsFarBehind)
{
    const auto quote = makeQuote(77);
    const auto engines = makeEngines(18);
    const auto home = choosePlacement(engines, { .prompt = &quote }, {}, Now).server;
    keepParts(*home, quote);
    home->others.unreadTokens = 10'000;
    EXPECT_EQ(choosePlacement(engines, { .prompt = &quote }, {}, Now).server, home);
    home->others.unreadTokens = 120'000;
    EXPECT_NE(choosePlacement(engines, { .prompt = &quote }, {}, Now).server, home);
}

/// What callers see: line checks whose events stutter although no engine is full. Long prompts are read between the tokens
/// of running answers; on one and the same engine each token waits for a chunk. So the two kinds get engines of their own.
TEST(PlacementTests, longPromptsAndLongAnswersGetEnginesOfTheirOwn)
{
    const auto engines = makeEngines(18);
    EngineSplit split;
    engines.front()->others.shortPrompts = 100;
    updateSplit(split, engines, Now);
    engines.front()->others.shortPrompts = 0;
    ASSERT_GT(split.shortPromptEngines, 2U);
    ASSERT_LT(split.shortPromptEngines, 12U);
    std::map<std::string, int> kinds;
    for (std::uint64_t session = 100; session < 300; ++session) {
        const auto quote = makeQuote(session);
        const auto check = makeCheck(session);
        kinds[choosePlacement(engines, { .prompt = &quote, .shortPromptEngines = split.shortPromptEngines, .tieBreak = session }, {}, Now).server->record.id]
            |= 1;
        kinds[choosePlacement(engines, { .prompt = &check, .shortPromptEngines = split.shortPromptEngines, .tieBreak = session }, {}, Now).server->record.id]
            |= 2;
    }
    for (const auto &[engine, kind] : kinds) {
        EXPECT_NE(kind, 3) << engine << " got both";
    }
}

TEST(PlacementTests, theSplitFollowsDemandUpAtOnceAndDownSlowly)
{
    const auto engines = makeEngines(18);
    EngineSplit split;
    engines[0]->others.shortPrompts = 200;
    updateSplit(split, engines, Now);
    const auto most = split.shortPromptEngines;
    engines[0]->others.shortPrompts = 20;
    updateSplit(split, engines, Now + std::chrono::milliseconds(500));
    EXPECT_GE(split.shortPromptEngines + 2, most);
    updateSplit(split, engines, Now + std::chrono::seconds(30));
    EXPECT_LT(split.shortPromptEngines, most / 2);
    EXPECT_GE(split.shortPromptEngines, 1U);
}

/// What callers see: answers that stop for seconds. An engine with more requests than its memory holds takes running ones
/// off and reads their prompts again. A request goes where memory is free, and waits if there is none.
TEST(PlacementTests, noEngineGetsMoreThanItsMemoryHolds)
{
    const auto quote = makeQuote(5);
    const auto engines = makeEngines(2);
    const PlacementQuery query{ .prompt = &quote, .peersKnown = true, .cacheTokens = 292'000 };
    const auto home = choosePlacement(engines, query, {}, Now).server;
    home->others.heldTokens = 245'000;
    const auto other = choosePlacement(engines, query, {}, Now).server;
    ASSERT_TRUE(other);
    EXPECT_NE(other, home);
    other->others.heldTokens = 245'000;
    EXPECT_FALSE(choosePlacement(engines, query, {}, Now).server);
}

/// What callers see: large requests are never served. One that is larger than the whole memory must still be offered to an
/// engine, which refuses it by itself.
TEST(PlacementTests, aRequestLargerThanTheMemoryGoesToAnEmptyEngine)
{
    auto quote = makeQuote(5);
    quote.tokens = 400'000;
    EXPECT_TRUE(choosePlacement(makeEngines(2), { .prompt = &quote, .peersKnown = true, .cacheTokens = 292'000 }, {}, Now).server);
}

/// What callers see: slow answers in a burst while others are fast. One entry does not know that the others fill an engine;
/// their reports tell it.
TEST(PlacementTests, whatOtherEntriesReportCounts)
{
    const auto check = makeCheck(9);
    const auto engines = makeEngines(2);
    for (const auto &engine : engines) {
        engine->others.inFlight = 40;
    }
    EXPECT_FALSE(choosePlacement(engines, { .prompt = &check, .entries = 7, .peersKnown = true }, {}, Now).server);
    engines[1]->others.inFlight = 3;
    EXPECT_EQ(choosePlacement(engines, { .prompt = &check, .entries = 7, .peersKnown = true }, {}, Now).server, engines[1]);
}
