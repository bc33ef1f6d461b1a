#include "core/fleet/readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::fleet;

/// Guards against store calls from every VM. All entries with the same list choose the same few readers, and when one leaves, only that
/// one is replaced.
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

/// Guards against pauses in a third of the short answers of a large fleet: load sums are lost on the saturated link of a small VM, and the
/// entries divide the engines differently. Strong VMs therefore become readers and hubs.
TEST(ReaderTests, strongVmsRankFirst)
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

/// Guards against two faults after a restart of all entries: no entry queries an engine for its cache, or a hundred entries query each
/// engine at once. Among any set of entries that know each other, two query each engine.
TEST(EngineCacheTests, eachEngineIsQueriedByAFewEntries)
{
    constexpr auto Entries = 88;
    std::vector<std::string> entries;
    entries.reserve(Entries);
    for (auto i = 0; i < Entries; ++i) {
        entries.push_back("entry-" + std::to_string(i));
    }
    for (auto engine = 0; engine < 60; ++engine) {
        const auto server = "engine-" + std::to_string(engine);
        const auto isQuerier = [&](const std::string &entry) { return queriesCacheOf(server, entries, entry); };
        EXPECT_EQ(std::count_if(entries.begin(), entries.end(), isQuerier), static_cast<std::ptrdiff_t>(QueriersPerEngine)) << server;
    }
    EXPECT_TRUE(queriesCacheOf("engine-1", { "entry-1" }, "entry-1"));
}
