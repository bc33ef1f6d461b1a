#include "core/queueing/requestqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::queueing;

namespace
{

constexpr auto Routes = std::to_array<RouteId>({ RouteId{ 0 }, RouteId{ 1 } });
constexpr int ClassCount = 4;

auto makeQueue() -> RequestQueue
{
    RequestQueue queue;
    for (int number = 0; number < ClassCount; ++number) {
        // Two classes per tier, the second with three times the weight of the first.
        setClass(queue, static_cast<ClassId>(number), { .tier = number / 2, .weight = number % 2 == 0 ? 1U : 3U, .starvationBound = std::chrono::seconds(1) });
    }
    return queue;
}

auto makeRequest(std::uint64_t number, int requestClass, std::uint32_t workspace) -> WaitingRequest
{
    return { .request = static_cast<RequestId>(number),
             .requestClass = static_cast<ClassId>(requestClass),
             .workspace = static_cast<WorkspaceId>(workspace),
             .route = Routes.front(),
             .order = number,
             .deadline = TimePoint(std::chrono::seconds(100)) };
}

/// Reference model of the expected content of a queue.
using Model = std::map<RequestId, WaitingRequest>;

auto tierOf(const WaitingRequest &request) -> int
{
    return static_cast<int>(request.requestClass) / 2;
}

auto countIn(const Model &model, const auto &matches) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(model.begin(), model.end(), [&](const auto &entry) { return matches(entry.second); }));
}

auto highestTierIn(const Model &model, RouteId route) -> int
{
    int highest = configuration::TierCount;
    for (const auto &[id, request] : model) {
        highest = request.route == route ? std::min(highest, tierOf(request)) : highest;
    }
    return highest;
}

auto addRandom(RequestQueue &queue, Model &model, std::uint64_t number) -> void
{
    auto request = makeRequest(number, *rc::gen::inRange(0, ClassCount), *rc::gen::inRange<std::uint32_t>(0, 3));
    request.route = Routes.at(*rc::gen::inRange<std::size_t>(0, Routes.size()));
    request.cost = *rc::gen::inRange<std::uint32_t>(1, 500);
    request.deadline = TimePoint(std::chrono::milliseconds(*rc::gen::inRange(0, 1000)));
    enqueue(queue, request);
    model.emplace(request.request, request);
}

auto takeAndCheck(RequestQueue &queue, Model &model) -> void
{
    const auto route = Routes.at(*rc::gen::inRange<std::size_t>(0, Routes.size()));
    const auto taken = takeNext(queue, std::array{ route });
    RC_ASSERT(taken.has_value() == (highestTierIn(model, route) < configuration::TierCount));
    if (!taken) {
        return;
    }
    RC_ASSERT(taken->route == route);
    RC_ASSERT(tierOf(*taken) == highestTierIn(model, route));
    for (const auto &[id, other] : model) {
        const auto isRival = other.route == route && other.requestClass == taken->requestClass && other.workspace == taken->workspace;
        RC_ASSERT(!isRival || other.deadline >= taken->deadline);
    }
    model.erase(taken->request);
}

} // namespace

RC_GTEST_PROP(RequestQueueProperties, matchesAReferenceModelAndServesTheHighestTierByDeadline, ())
{
    auto queue = makeQueue();
    Model model;
    const auto steps = *rc::gen::inRange(0, 200);
    for (int number = 1; number <= steps; ++number) {
        const auto what = *rc::gen::inRange(0, 6);
        if (what < 3 || model.empty()) {
            addRandom(queue, model, static_cast<std::uint64_t>(number));
        } else if (what == 3) {
            const auto place = std::next(model.begin(), *rc::gen::inRange<int>(0, static_cast<int>(model.size())));
            RC_ASSERT(remove(queue, place->first));
            RC_ASSERT(!remove(queue, place->first));
            model.erase(place);
        } else {
            takeAndCheck(queue, model);
        }
        for (const auto route : Routes) {
            RC_ASSERT(waitingOn(queue, route) == countIn(model, [&](const auto &request) { return request.route == route; }));
        }
        std::uint32_t bounded = 0;
        for (int number = 0; number < ClassCount; ++number) {
            const auto waiting = countIn(model, [&](const auto &request) { return request.requestClass == static_cast<ClassId>(number); });
            RC_ASSERT(waitingOf(queue, static_cast<ClassId>(number)) == waiting);
            bounded += waiting - std::min(waiting, 1U);
        }
        RC_ASSERT(boundedLength(queue) == bounded);
    }
}

// One workspace floods the class with long requests, another one sends short ones. Each must get half of the tokens, so
// that the flood delays the other workspace by at most a few requests, however long its queue is.
TEST(RequestQueueTests, workspacesAndClassesShareTokensByWeight)
{
    auto queue = makeQueue();
    std::uint64_t number = 0;
    const auto add = [&](int requestClass, std::uint32_t workspace, std::uint32_t cost) {
        number += 1;
        auto request = makeRequest(number, requestClass, workspace);
        request.cost = cost;
        enqueue(queue, request);
    };
    for (int i = 0; i < 4000; ++i) {
        add(0, 1, 400);
        add(0, 2, 50);
        add(1, 1, 100);
    }
    std::map<int, std::uint64_t> byClass;
    std::map<int, std::uint64_t> byWorkspace;
    for (int i = 0; i < 2000; ++i) {
        const auto taken = *takeNext(queue, Routes);
        byClass[static_cast<int>(taken.requestClass)] += taken.cost;
        if (taken.requestClass == ClassId{ 0 }) {
            byWorkspace[static_cast<int>(taken.workspace)] += taken.cost;
        }
    }
    EXPECT_NEAR(static_cast<double>(byClass[1]) / static_cast<double>(byClass[0]), 3.0, 0.1);
    EXPECT_NEAR(static_cast<double>(byWorkspace[1]) / static_cast<double>(byWorkspace[2]), 1.0, 0.1);
}

TEST(RequestQueueTests, aRequestThatCanStillBeOnTimeIsServedBeforeALateOneOfItsClass)
{
    auto queue = makeQueue();
    enqueue(queue, makeRequest(1, 0, 1));
    enqueue(queue, makeRequest(2, 0, 1));
    demote(queue, RequestId{ 1 });
    EXPECT_EQ(takeNext(queue, Routes)->request, RequestId{ 2 });
    EXPECT_EQ(takeNext(queue, Routes)->request, RequestId{ 1 });
}

// All classes of the top tier but one have only late requests, and a lower tier is waiting as well. Requests that can
// still be on time are served first, whatever credit the other classes have; then the late ones of the tier, and only
// then the lower tier.
TEST(RequestQueueTests, lateRequestsAreServedLastInTheirTierButBeforeLowerTiers)
{
    auto queue = makeQueue();
    enqueue(queue, makeRequest(1, 1, 1));
    enqueue(queue, makeRequest(2, 2, 1));
    demote(queue, RequestId{ 1 });
    for (std::uint64_t number = 3; number < 10; ++number) {
        enqueue(queue, makeRequest(number, 0, 1));
        EXPECT_EQ(takeNext(queue, Routes)->request, static_cast<RequestId>(number));
    }
    EXPECT_EQ(takeNext(queue, Routes)->request, RequestId{ 1 });
    EXPECT_EQ(takeNext(queue, Routes)->request, RequestId{ 2 });
}

// A class that is served only by its floor has on-time and late requests beyond its starvation bound. The floor must
// serve a request that can still be on time first, although a late one has waited longer.
TEST(RequestQueueTests, theFloorServesAnOverdueRequestThatCanStillBeOnTimeFirst)
{
    auto queue = makeQueue();
    enqueue(queue, makeRequest(1, 0, 1));
    for (std::uint64_t number = 2; number < 5; ++number) {
        enqueue(queue, makeRequest(number, 2, 1));
    }
    demote(queue, RequestId{ 2 });
    const auto takeFloor = [&] { return takeStarved(queue, Routes, TimePoint(std::chrono::seconds(2)), [](ClassId) { return true; })->request; };
    EXPECT_EQ(takeFloor(), RequestId{ 3 });
    EXPECT_EQ(takeFloor(), RequestId{ 4 });
    EXPECT_EQ(takeFloor(), RequestId{ 2 });
}

TEST(RequestQueueTests, theLateVictimIsTheNewestLateOneOfTheTierBeyondItsReservedPlace)
{
    auto queue = makeQueue();
    enqueue(queue, makeRequest(1, 0, 1));
    demote(queue, RequestId{ 1 });
    EXPECT_EQ(findLateVictim(queue, 0), std::nullopt);
    enqueue(queue, makeRequest(2, 0, 2));
    enqueue(queue, makeRequest(3, 0, 1));
    demote(queue, RequestId{ 2 });
    EXPECT_EQ(findLateVictim(queue, 0), RequestId{ 2 });
    EXPECT_EQ(findLateVictim(queue, 1), std::nullopt);
}

TEST(RequestQueueTests, theVictimIsTheNewestOfTheLowestTierBeyondItsReservedPlace)
{
    auto queue = makeQueue();
    enqueue(queue, makeRequest(1, 2, 1));
    enqueue(queue, makeRequest(2, 0, 1));
    EXPECT_EQ(findVictim(queue, 0), std::nullopt);
    enqueue(queue, makeRequest(3, 2, 1));
    enqueue(queue, makeRequest(4, 2, 2));
    EXPECT_EQ(findVictim(queue, 0), RequestId{ 4 });
    EXPECT_EQ(findVictim(queue, 1), std::nullopt);
}
