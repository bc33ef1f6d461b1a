#include "core/fleet/readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::fleet;

/// What operators see: the store is called by every VM. All entries that know the same list choose the same few readers, and
/// when one leaves only that one is replaced.
TEST(ReaderTests, entriesAgreeOnAFewReaders)
{
    constexpr auto Entries = 66;
    std::vector<EntryRecord> entries;
    entries.reserve(Entries);
    for (auto i = 0; i < Entries; ++i) {
        entries.push_back({ .name = "entry-" + std::to_string(i), .strength = 1 });
    }
    ASSERT_EQ(chooseReaders(entries).size(), ReaderCount);
    const auto readers = chooseReaders(entries, 3);
    std::reverse(entries.begin(), entries.end());
    EXPECT_EQ(chooseReaders(entries, 3), readers);
    std::erase_if(entries, [&](const EntryRecord &entry) { return entry == readers[1]; });
    const auto next = chooseReaders(entries);
    EXPECT_EQ(next[0], readers[0]);
    EXPECT_EQ(next[1], readers[2]);
    EXPECT_EQ(chooseReaders({ { .name = "only" } }), std::vector<EntryRecord>{ { .name = "only" } });
}

/// What callers see: a third of the short answers stutter in a large fleet. The sums of load are lost on the link of a small
/// VM, so entries deal the engines in different ways. Strong VMs read and sum up.
TEST(ReaderTests, strongVmsComeFirst)
{
    constexpr auto Entries = 60;
    std::vector<EntryRecord> entries;
    entries.reserve(Entries);
    for (auto i = 0; i < Entries; ++i) {
        entries.push_back({ .name = "entry-" + std::to_string(i), .strength = i % 20 == 0 ? 50U : 12U });
    }
    for (const auto &reader : chooseReaders(entries, 3)) {
        EXPECT_TRUE(reader.name == "entry-0" || reader.name == "entry-20" || reader.name == "entry-40") << reader.name;
    }
}

/// What callers see: after all entries have restarted, either nobody asks an engine for its cache or each engine is asked by a
/// hundred entries at once. Whichever of the entries know each other, an engine is asked by two of them.
TEST(EngineCacheTests, eachEngineIsAskedByAFewEntries)
{
    constexpr auto Entries = 88;
    std::vector<std::string> entries;
    entries.reserve(Entries);
    for (auto i = 0; i < Entries; ++i) {
        entries.push_back("entry-" + std::to_string(i));
    }
    for (auto engine = 0; engine < 60; ++engine) {
        const auto server = "engine-" + std::to_string(engine);
        const auto asks = [&](const std::string &entry) { return asksCacheOf(server, entries, entry); };
        EXPECT_EQ(std::count_if(entries.begin(), entries.end(), asks), static_cast<std::ptrdiff_t>(AskersOfEngine)) << server;
    }
    EXPECT_TRUE(asksCacheOf("engine-1", { "entry-1" }, "entry-1"));
}
