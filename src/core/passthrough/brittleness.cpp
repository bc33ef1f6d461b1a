#include "core/passthrough/brittleness.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// A server's own statement yields to one of another server that is newer by this.
constexpr Duration StatementLifetime = std::chrono::seconds(3);
/// An entry that was rejected may be rejected again only after this time, so that it causes at most one rejection a second.
constexpr Duration RejectionPause = std::chrono::seconds(1);
/// Share of the tolerated rejections that the entries may cause. An entry that fills a server may cause a second rejection, of one that keeps
/// to its share, and while the lists of entries differ, twice as many count themselves among those that may.
constexpr double UsedTolerance = 0.25;

/// Time for which an entry that has used its even share may borrow places of others, when its turn comes: a few ticks.
constexpr Duration TurnLength = std::chrono::milliseconds(40);
/// Mean share of a server's slots that entries may borrow at the same time.
constexpr double BorrowedShare = 0.125;

auto sendersOf(double rejectionsPerSecond) -> std::uint32_t
{
    constexpr double MostSenders = 1000; // more than there are entries
    return static_cast<std::uint32_t>(std::clamp(std::floor(rejectionsPerSecond * UsedTolerance), 0.0, MostSenders));
}

/// The part of \p places that an entry may use if all entries know the same. The first ones by rank get those that remain.
auto evenShare(std::uint32_t places, std::uint32_t rank, std::uint32_t entries) -> std::uint32_t
{
    const auto sharers = std::max<std::uint32_t>(entries, 1);
    return places / sharers + (rank < places % sharers ? 1 : 0);
}

/// Whether it is this entry's turn to borrow. Each entry draws its turns by itself. On average, \c BorrowedShare of the slots is borrowed
/// if all entries have waiting requests.
auto isOwnTurn(const RoomUsage &usage, TimePoint now) -> bool
{
    constexpr double DrawRange = 0x1p64;
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / TurnLength);
    const auto drawn = static_cast<double>(XXH64(&turn, sizeof turn, usage.turnSeed)) / DrawRange;
    return drawn * usage.entries < usage.slots * BorrowedShare;
}

} // namespace

auto toleratedRejections(const Brittleness &brittleness) -> std::optional<double>
{
    const auto hasOwn = brittleness.own.at != TimePoint() && brittleness.ofService.at - brittleness.own.at <= StatementLifetime;
    return hasOwn ? brittleness.own.rejectionsPerSecond : brittleness.ofService.rejectionsPerSecond;
}

auto updateOwnStatement(Brittleness &brittleness, std::optional<double> rejectionsPerSecond, TimePoint sentAt, TimePoint now) -> void
{
    const auto isOutdated = !rejectionsPerSecond && brittleness.own.rejectionsPerSecond && sentAt < brittleness.own.at;
    if (!isOutdated) {
        brittleness.own = { .rejectionsPerSecond = rejectionsPerSecond, .at = now };
    }
}

auto mayFill(const Brittleness &brittleness) -> bool
{
    const auto tolerated = toleratedRejections(brittleness);
    return !tolerated || brittleness.senderRank < sendersOf(*tolerated);
}

auto hasSafeRoom(const Brittleness &brittleness, const RoomUsage &usage, TimePoint now) -> bool
{
    const auto tolerated = toleratedRejections(brittleness);
    if (!tolerated) {
        return true;
    }
    if (brittleness.rejectedAt != TimePoint() && now - brittleness.rejectedAt < RejectionPause) {
        return false;
    }
    // as long as all entries keep to this, none is rejected
    if (usage.ownInFlight < evenShare(usage.slots, brittleness.senderRank, usage.entries)) {
        return true;
    }
    if (!usage.peersKnown) {
        return false;
    }
    const auto ownUnreported = usage.ownInFlight - std::min(usage.ownInFlight, usage.ownReported);
    const auto known = usage.inFlight - std::min(usage.inFlight, ownUnreported);
    const auto room = usage.slots - std::min(usage.slots, known);
    if (mayFill(brittleness)) {
        return ownUnreported < evenShare(room, brittleness.senderRank, usage.entries);
    }
    return usage.inFlight + 1 < usage.slots / 2 && ownUnreported == 0 && isOwnTurn(usage, now);
}

} // namespace auburnspread::passthrough
