#include "core/queueing/internal/lanes.h"
#include "core/queueing/requestqueue.h"

namespace auburnspread::queueing
{

namespace
{

/// The newest request of the tier, among classes with more waiting requests than reserved places. \p byOrderOf selects the
/// requests of a lane that are considered.
auto findNewest(const RequestQueue &queue, int tier, const auto &byOrderOf) -> std::optional<RequestId>
{
    std::optional<RequestId> found;
    std::uint64_t newest = 0;
    for (const auto &[id, classQueue] : queue.classes) {
        if (classQueue.tier != tier || detail::evictableOf(classQueue) == 0) {
            continue;
        }
        for (const auto &[route, lane] : classQueue.lanes) {
            const std::map<std::uint64_t, RequestId> &byOrder = byOrderOf(lane);
            if (byOrder.empty()) {
                continue;
            }
            const auto &[order, request] = *byOrder.rbegin();
            if (!found || order > newest) {
                found = request;
                newest = order;
            }
        }
    }
    return found;
}

} // namespace

auto boundedLength(const RequestQueue &queue) -> std::uint32_t
{
    std::uint32_t length = 0;
    for (const auto count : queue.evictable) {
        length += count;
    }
    return length;
}

auto hasReservedPlace(const RequestQueue &queue, ClassId requestClass) -> bool
{
    const auto &classQueue = queue.classes.at(requestClass);
    return classQueue.waiting < classQueue.reservedPlaces;
}

auto findVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>
{
    int lowest = configuration::TierCount - 1;
    while (lowest > tier && queue.evictable.at(static_cast<std::size_t>(lowest)) == 0) {
        --lowest;
    }
    if (lowest <= tier) {
        return std::nullopt;
    }
    return findNewest(
        queue, lowest, [](const detail::Lane &lane) -> const auto & { return lane.byOrder; });
}

auto findLateVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>
{
    return findNewest(
        queue, tier, [](const detail::Lane &lane) -> const auto & { return lane.late.byOrder; });
}

} // namespace auburnspread::queueing
