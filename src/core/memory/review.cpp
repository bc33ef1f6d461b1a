#include "core/memory/review.h"

#include <algorithm>

namespace auburnspread::memory
{

namespace
{

using Holdings = std::vector<const Holding *>;

auto secondsBetween(TimePoint from, TimePoint to) -> double
{
    return std::chrono::duration<double>(to - from).count();
}

auto isOrdinary(const Holding &holding, const Limits &limits) -> bool
{
    return holding.bytes <= limits.ordinaryBytes;
}

auto isSlow(const Holding &holding, const Limits &limits, TimePoint now) -> bool
{
    const auto age = secondsBetween(holding.since, now);
    return now - holding.since > limits.patience && static_cast<double>(holding.moved) < age * static_cast<double>(limits.slowestBytesPerSecond);
}

/// How much a holding burdens the others: its size, over the time for which it lasts.
auto burden(const Holding &holding, TimePoint now) -> double
{
    constexpr double LeastSeconds = 0.001; // so that size decides among new ones
    return static_cast<double>(holding.bytes) * std::max(secondsBetween(holding.since, now), LeastSeconds);
}

struct Review {
    const Limits &limits;
    TimePoint now;
    std::size_t total = 0;
    Holdings open; ///< not yet closed
    std::vector<Decision> decisions = {};
};

auto close(Review &review, const Holding &holding, CloseCause cause) -> void
{
    review.decisions.push_back({ .id = holding.id, .action = Action::Close, .cause = cause });
    review.total -= holding.bytes;
}

/// Removes from \c open what \p closes decides on, in the order of \c open.
template <typename Closes>
auto closeIf(Review &review, Closes closes) -> void
{
    std::erase_if(review.open, [&](const Holding *holding) {
        const std::optional<CloseCause> cause = closes(*holding);
        if (cause) {
            close(review, *holding, *cause);
        }
        return cause.has_value();
    });
}

/// Closes those that burden the others most until the rest fits; ordinary ones last.
auto enforceLimit(Review &review) -> void
{
    if (review.total <= review.limits.bytes) {
        return;
    }
    std::sort(review.open.begin(), review.open.end(), [&](const Holding *a, const Holding *b) {
        const auto isOrdinaryA = isOrdinary(*a, review.limits);
        const auto isOrdinaryB = isOrdinary(*b, review.limits);
        return isOrdinaryA == isOrdinaryB ? burden(*a, review.now) > burden(*b, review.now) : isOrdinaryB;
    });
    closeIf(review, [&](const Holding &) { return review.total > review.limits.bytes ? std::optional(CloseCause::TooLarge) : std::nullopt; });
}

auto hasWaitedTooLong(const Holding &holding, const Limits &limits, TimePoint now) -> bool
{
    return holding.pausedAt && now - *holding.pausedAt >= limits.patience;
}

/// Ends waiting: those that waited too long get a refusal, and slow ones make room for those that still wait.
auto endWaiting(Review &review) -> void
{
    const auto isWaiting = [](const Holding *holding) { return holding->pausedAt.has_value(); };
    if (std::none_of(review.open.begin(), review.open.end(), isWaiting)) {
        return;
    }
    closeIf(review, [&](const Holding &holding) -> std::optional<CloseCause> {
        if (holding.pausedAt) {
            return hasWaitedTooLong(holding, review.limits, review.now) ? std::optional(CloseCause::NoRoom) : std::nullopt;
        }
        const auto isMoving = holding.purpose != Purpose::Work && !isOrdinary(holding, review.limits);
        return isMoving && isSlow(holding, review.limits, review.now) ? std::optional(CloseCause::TooSlow) : std::nullopt;
    });
}

auto setPaused(Review &review, const Holding &holding, bool isPaused) -> void
{
    if (holding.pausedAt.has_value() != isPaused) {
        review.decisions.push_back({ .id = holding.id, .action = isPaused ? Action::Pause : Action::Resume });
    }
}

/// Lets the oldest messages go on for which there is room until they are complete, so that what was begun is finished.
auto grantRoom(Review &review) -> void
{
    std::sort(review.open.begin(), review.open.end(), [](const Holding *a, const Holding *b) { return a->since < b->since; });
    auto room = review.limits.bytes - std::min(review.total, review.limits.bytes);
    for (const auto *holding : review.open) {
        if (holding->purpose != Purpose::Receive) {
            continue;
        }
        const auto mayGoOn = isOrdinary(*holding, review.limits) || holding->mayGrowBy <= room;
        if (!isOrdinary(*holding, review.limits) && mayGoOn) {
            room -= holding->mayGrowBy;
        }
        setPaused(review, *holding, !mayGoOn);
    }
}

} // namespace

auto isUnderPressure(std::size_t totalBytes, const Limits &limits) -> bool
{
    return totalBytes > limits.bytes / 2;
}

auto review(const std::vector<Holding> &holdings, const Limits &limits, TimePoint now) -> std::vector<Decision>
{
    Review review{ .limits = limits, .now = now };
    for (const auto &holding : holdings) {
        review.total += holding.bytes;
        review.open.push_back(&holding);
    }
    if (!isUnderPressure(review.total, limits)) {
        for (const auto *holding : review.open) {
            setPaused(review, *holding, false);
        }
        return review.decisions;
    }
    enforceLimit(review);
    endWaiting(review);
    grantRoom(review);
    return review.decisions;
}

} // namespace auburnspread::memory
