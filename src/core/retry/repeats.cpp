#include "core/retry/repeats.h"

namespace auburnspread::retry
{

namespace
{

auto keyOf(std::uint32_t workspace, Fingerprint fingerprint) -> std::uint64_t
{
    constexpr std::uint64_t HashMultiplier = 0x9E3779B97F4A7C15ULL;
    return static_cast<std::uint64_t>(fingerprint) ^ (workspace * HashMultiplier);
}

auto removeExpired(Repeats &repeats, TimePoint now) -> void
{
    const auto isExpired = [&](const auto &entry) { return now - entry.at > repeats.options.memory || repeats.order.size() > repeats.options.capacity; };
    while (!repeats.order.empty() && isExpired(repeats.order.front())) {
        const auto &oldest = repeats.order.front();
        const auto found = repeats.givenUp.find(oldest.key);
        if (found != repeats.givenUp.end() && found->second == oldest.at) {
            repeats.givenUp.erase(found);
        }
        repeats.order.pop_front();
    }
}

} // namespace

auto recordGivenUp(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> void
{
    const auto key = keyOf(workspace, fingerprint);
    repeats.givenUp[key] = now;
    repeats.order.push_back({ .key = key, .at = now });
    removeExpired(repeats, now);
}

auto takeRepeat(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> bool
{
    removeExpired(repeats, now);
    return repeats.givenUp.erase(keyOf(workspace, fingerprint)) > 0;
}

} // namespace auburnspread::retry
