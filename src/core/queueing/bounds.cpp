#include "core/queueing/internal/lanes.h"
#include "core/queueing/requestqueue.h"

namespace auburnspread::queueing
{

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
    std::optional<RequestId> victim;
    std::uint64_t newest = 0;
    for (const auto &[id, classQueue] : queue.classes) {
        if (classQueue.tier != lowest || detail::evictableOf(classQueue) == 0) {
            continue;
        }
        for (const auto &[route, lane] : classQueue.lanes) {
            const auto &[order, request] = *lane.byOrder.rbegin();
            if (!victim || order > newest) {
                victim = request;
                newest = order;
            }
        }
    }
    return victim;
}

auto findLateVictim(const RequestQueue &queue, int tier) -> std::optional<RequestId>
{
    std::optional<RequestId> victim;
    std::uint64_t newest = 0;
    for (const auto &[id, classQueue] : queue.classes) {
        if (classQueue.tier != tier || detail::evictableOf(classQueue) == 0) {
            continue;
        }
        for (const auto &[route, lane] : classQueue.lanes) {
            if (lane.late.byOrder.empty()) {
                continue;
            }
            const auto &[order, request] = *lane.late.byOrder.rbegin();
            if (!victim || order > newest) {
                victim = request;
                newest = order;
            }
        }
    }
    return victim;
}

} // namespace auburnspread::queueing
