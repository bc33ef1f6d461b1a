#include "gateway/clock.h"
#include "gateway/tests/followingentry.h"
#include "wire/http/tests/exchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using gateway::tests::FollowingEntry;
using http::tests::runUntil;

/// Guards against an entry that refuses every request with a key while configurations follow each other. Each response of the reader
/// offers a configuration that the entry does not have yet, so no response confirms the one that it has.
TEST(SteadyChangesTests, aConfigurationIsConfirmedAlthoughEveryResponseOffersANewerOne)
{
    constexpr std::size_t Queries = 8;
    FollowingEntry entry;
    std::vector<TimePoint> queriedAt;
    entry.reader.sendsParts = true;
    entry.reader.onQuery = [&]() {
        queriedAt.push_back(now());
        entry.offer(1 + queriedAt.size());
    };
    EXPECT_TRUE(runUntil(entry.loop, [&]() { return queriedAt.size() >= Queries; }));
    EXPECT_GE(passthrough::statusOf(*entry.router, now()).configurationVersion, Queries - 1) << "each configuration is adopted";
    EXPECT_GE(entry.confirmedAt(), queriedAt.at(Queries - 4)) << "and confirmed";
}

namespace
{

constexpr Duration Step = std::chrono::milliseconds(5);
constexpr Duration QueryInterval = std::chrono::milliseconds(300);
constexpr Duration ResponseDelay = std::chrono::milliseconds(10);

/// Random letters, which hardly shrink when they are packed.
auto makeDocument(std::size_t bytes, std::uint64_t revision) -> std::string
{
    std::mt19937_64 random(revision);
    std::uniform_int_distribution<int> letter('0', 'z');
    std::string document(bytes, ' ');
    std::generate(document.begin(), document.end(), [&]() { return static_cast<char>(letter(random)); });
    return document;
}

/// In virtual time: a reader whose configuration changes at a steady rate, and an entry that queries it and fetches the documents over a
/// link that needs \c partTime for each part.
struct SteadyChanges {
    Duration interval{};
    std::size_t documentBytes = 0;
    Duration partTime{};

    DirectoryState reader;
    DirectoryState follower;
    std::optional<DocumentTransfer> transfer;
    std::optional<DocumentOffer> pendingOffer;
    std::vector<TimePoint> writtenAt; ///< by revision, from 1
    TimePoint now = TimePoint(std::chrono::hours(1));
    TimePoint nextChange = now;
    TimePoint nextQuery = now;
    TimePoint nextPart;
    std::optional<std::pair<DirectoryAnswer, TimePoint>> answer; ///< on its way, and when it was requested

    auto writeIfDue() -> void
    {
        if (now >= nextChange) {
            writtenAt.push_back(now);
            applyConfiguration(reader, { .document = makeDocument(documentBytes, writtenAt.size()), .revision = { .number = writtenAt.size() } });
            nextChange += interval;
        }
        reader.confirmedAt = now;
    }

    auto startTransfer(const DocumentOffer &offer) -> void
    {
        transfer = DocumentTransfer{ .offer = offer };
        nextPart = now + partTime;
    }

    auto startPendingTransfer() -> void
    {
        transfer.reset();
        if (const auto offer = std::exchange(pendingOffer, std::nullopt)) {
            startTransfer(*offer);
        }
    }

    auto queryIfDue() -> void
    {
        if (answer && now >= answer->second + ResponseDelay) {
            const auto [received, requestedAt] = *std::exchange(answer, std::nullopt);
            const auto &offer = *received.configuration;
            if (offer.revision > follower.tags.configuration) {
                recordOffer(follower, offer.revision, now);
                if (!transfer) {
                    startTransfer(offer);
                } else if (offer != transfer->offer) {
                    pendingOffer = offer;
                }
            }
            recordConfirmation(follower, offer.revision, requestedAt - *received.confirmedAge);
        }
        if (now >= nextQuery) {
            answer = { makeAnswer(reader, follower.tags, now), now };
            nextQuery += QueryInterval;
        }
    }

    auto receivePartIfDue() -> void
    {
        if (!transfer || now < nextPart) {
            return;
        }
        const auto part = readPart(reader.configurations, transfer->offer.tag, transfer->bytes.size());
        if (!part) {
            startPendingTransfer();
            return;
        }
        nextPart = now + partTime;
        if (appendPart(*transfer, *part) == PartOutcome::Complete) {
            applyConfiguration(follower, { .document = "{}", .revision = transfer->offer.revision, .packed = transfer->bytes });
            applyPendingConfirmations(follower);
            startPendingTransfer();
        }
    }

    auto run(Duration time) -> void
    {
        for (const auto end = now + time; now < end; now += Step) {
            writeIfDue();
            queryIfDue();
            receivePartIfDue();
        }
    }
};

} // namespace

/// However often and for however long the configuration changes, an entry whose link can carry the documents stays confirmed, and never
/// as of a time at which the store held a newer configuration than its own.
RC_GTEST_PROP(SteadyChangesTests, anEntryStaysConfirmedAtAnyRateOfChanges, ())
{
    SteadyChanges changes{
        .interval = std::chrono::milliseconds(*rc::gen::element(50, 100, 250, 1000, 4000)),
        .documentBytes = *rc::gen::inRange<std::size_t>(100, 5 * PartBytes),
        .partTime = std::chrono::milliseconds(*rc::gen::inRange(5, 150)),
    };
    const auto parts = static_cast<int>(changes.documentBytes / PartBytes) + 1;
    const auto transferTime = parts * (changes.partTime + Step);
    // a document waits for the query that offers it, for the transfer in progress and for its own
    const auto bound = 2 * QueryInterval + 2 * transferTime + 2 * ResponseDelay + 4 * Step;
    changes.run(bound);
    for (int i = 0; i < 100; ++i) {
        changes.run(std::chrono::milliseconds(100));
        RC_ASSERT(changes.follower.confirmedAt.has_value());
        const auto confirmedAt = *changes.follower.confirmedAt;
        RC_ASSERT(changes.now - confirmedAt <= bound);
        const auto nextRevision = changes.follower.tags.configuration.number + 1;
        const auto hasNewer = nextRevision <= changes.writtenAt.size();
        RC_ASSERT(confirmedAt <= (hasNewer ? changes.writtenAt[nextRevision - 1] : changes.now));
        RC_ASSERT(changes.now - outdatedSince(changes.follower).value_or(changes.now) <= bound);
    }
}
