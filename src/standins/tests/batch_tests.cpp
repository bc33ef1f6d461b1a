#include "standins/engine/batch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

struct NaiveBatch {
    std::vector<BatchRequest> waiting; ///< in order of arrival
    std::vector<BatchId> running;
};

/// The waiting request that has the right to the next slot, found by looking at all of them.
auto mostUrgent(const NaiveBatch &naive) -> std::optional<BatchRequest>
{
    std::optional<BatchRequest> best;
    for (const auto &request : naive.waiting) {
        if (!best || request.urgency < best->urgency) {
            best = request;
        }
    }
    return best;
}

auto eraseNaive(NaiveBatch &naive, BatchId id) -> void
{
    std::erase_if(naive.waiting, [id](const auto &request) { return request.id == id; });
    std::erase(naive.running, id);
}

auto startNaive(NaiveBatch &naive, std::size_t slots) -> std::vector<BatchId>
{
    std::vector<BatchId> started;
    while (naive.running.size() < slots && !naive.waiting.empty()) {
        const auto id = mostUrgent(naive)->id;
        eraseNaive(naive, id);
        naive.running.push_back(id);
        started.push_back(id);
    }
    return started;
}

} // namespace

RC_GTEST_PROP(BatchTests, startsWhatANaiveBatchStartsInTheSameOrder, ())
{
    const auto slots = *rc::gen::inRange<std::size_t>(1, 5);
    Batch batch{ .options = { .slots = slots } };
    NaiveBatch naive;
    std::uint64_t arrivals = 0;
    const auto turns = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const auto turn : turns) {
        if (turn < 8) {
            const BatchRequest request{ .id = BatchId(++arrivals), .urgency = turn, .tokenCount = static_cast<std::size_t>(turn) };
            enqueue(batch, request);
            naive.waiting.push_back(request);
        } else if (turn < 10 && arrivals > 0) {
            const auto id = BatchId(1 + static_cast<std::uint64_t>(*rc::gen::inRange<std::uint64_t>(0, arrivals)));
            removeRequest(batch, id);
            eraseNaive(naive, id);
        } else {
            for (const auto &output : runStep(batch, TimePoint())) {
                if (output.finished) {
                    eraseNaive(naive, output.id);
                }
            }
        }
        RC_ASSERT(startWaiting(batch, TimePoint()) == startNaive(naive, slots));
        RC_ASSERT(batch.running.size() == naive.running.size());
        RC_ASSERT(batch.waiting.size() == naive.waiting.size());
    }
}

TEST(BatchTests, eachTokenIsMadeOnceAndInOrderAfterThePrefill)
{
    constexpr auto Prefill = std::chrono::milliseconds(10);
    Batch batch{ .options = { .slots = 1 } };
    enqueue(batch, { .id = BatchId(1), .nextToken = 2, .tokenCount = 4, .prefill = Prefill });
    startWaiting(batch, TimePoint());
    EXPECT_TRUE(runStep(batch, TimePoint(Prefill) - Duration(1)).empty());
    const auto first = runStep(batch, TimePoint(Prefill));
    const auto second = runStep(batch, TimePoint(Prefill));
    ASSERT_EQ(first.size(), 1U);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(first[0].token, 2U);
    EXPECT_FALSE(first[0].finished);
    EXPECT_EQ(second[0].token, 3U);
    EXPECT_TRUE(second[0].finished);
    EXPECT_TRUE(batch.running.empty());
}
