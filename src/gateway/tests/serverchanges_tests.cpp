#include "gateway/directorystate.h"
#include "gateway/serverchanges.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace auburnspread;
using namespace auburnspread::gateway;

namespace
{

constexpr TimePoint Now(std::chrono::hours(1));

/// Servers by number, each with its leaving state.
auto makeList(const std::map<std::uint8_t, bool> &servers) -> ServerRecords
{
    ServerRecords list;
    for (const auto &[number, isLeaving] : servers) {
        list.push_back({ .id = "i-" + std::to_string(number), .service = "engines", .address = "10.0.0.1:80", .isLeaving = isLeaving });
    }
    sortServers(list);
    return list;
}

auto makeFleet(int servers) -> ServerRecords
{
    ServerRecords list;
    for (auto i = 0; i < servers; ++i) {
        list.push_back({ .id = "i-" + std::to_string(i), .service = "engines", .address = "10.0.0.1:80" });
    }
    sortServers(list);
    return list;
}

/// Applies the reader's answer to the state of an entry that queries it.
auto query(DirectoryState &known, const DirectoryState &reader) -> DirectoryAnswer
{
    auto answer = decodeAnswer(encodeAnswer(makeAnswer(reader, known.tags, Now)));
    if (answer.serverChanges) {
        EXPECT_TRUE(applyServersDelta(known, { .changes = *answer.serverChanges, .tag = answer.serversTag, .revision = answer.serversRevision, .asOf = Now }));
    } else if (answer.servers) {
        applyServers(known, { .servers = unpackServers(*answer.servers), .revision = answer.serversRevision, .asOf = Now });
    }
    return answer;
}

} // namespace

using Servers = std::map<std::uint8_t, bool>;

RC_GTEST_PROP(ServerChangesTests, changesTurnOneListIntoAnother, (const Servers &one, const Servers &other))
{
    const auto before = makeList(one);
    const auto after = makeList(other);
    const auto changes = diffServers(before, after);
    RC_ASSERT(tagAfter(before, tagOf(before), changes) == tagOf(after));
    auto list = before;
    applyChanges(list, changes);
    RC_ASSERT(list == after);
    RC_ASSERT((tagOf(before) == tagOf(after)) == (before == after));
}

RC_GTEST_PROP(ServerChangesTests, anEntryThatQueriesOccasionallyHasTheReadersList, (const std::vector<std::pair<Servers, bool>> &lists))
{
    DirectoryState reader;
    DirectoryState querier;
    std::uint64_t revision = 0;
    for (const auto &[servers, asks] : lists) {
        applyServers(reader, { .servers = makeList(servers), .revision = { .number = ++revision }, .asOf = Now });
        if (asks) {
            query(querier, reader);
            RC_ASSERT(querier.servers == reader.servers);
            RC_ASSERT(querier.tags.servers == reader.tags.servers);
        }
    }
}

/// Guards against a change of one server that sends the whole list to every entry.
TEST(ServerChangesTests, aChangeOfOneServerIsSmallInALargeFleet)
{
    constexpr std::size_t MaxBytes = 300;
    DirectoryState reader;
    DirectoryState querier;
    auto servers = makeFleet(3000);
    applyServers(reader, { .servers = servers, .revision = { .number = 1 }, .asOf = Now });
    EXPECT_TRUE(query(querier, reader).servers) << "an entry without a list gets the whole list";
    servers[7].isLeaving = true;
    applyServers(reader, { .servers = servers, .revision = { .number = 2 }, .asOf = Now });
    EXPECT_LT(encodeAnswer(makeAnswer(reader, querier.tags, Now)).size(), MaxBytes);
    query(querier, reader);
    EXPECT_EQ(querier.servers, reader.servers);
}

/// Guards against a corrupted list, which results if a delta is applied to a list other than the one it was made for.
TEST(ServerChangesTests, aChangeOfAnotherListIsNotApplied)
{
    DirectoryState state;
    applyServers(state, { .servers = makeFleet(3), .revision = { .number = 1 }, .asOf = Now });
    auto other = makeFleet(4);
    const auto before = other;
    other[0].isLeaving = true;
    EXPECT_FALSE(applyServersDelta(state, { .changes = diffServers(before, other), .tag = tagOf(other), .revision = { .number = 2 }, .asOf = Now }));
    EXPECT_EQ(state.servers.size(), 3U);
}
