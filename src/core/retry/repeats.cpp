#include "core/retry/repeats.h"

namespace auburnspread::retry
{

namespace
{

auto keyOf(std::uint32_t workspace, Fingerprint fingerprint) -> std::uint64_t
{
    constexpr std::uint64_t Spread = 0x9E3779B97F4A7C15ULL;
    return static_cast<std::uint64_t>(fingerprint) ^ (workspace * Spread);
}

auto forgetOld(Repeats &repeats, TimePoint now) -> void
{
    const auto isOld = [&](const auto &entry) { return now - entry.at > repeats.options.memory || repeats.order.size() > repeats.options.capacity; };
    while (!repeats.order.empty() && isOld(repeats.order.front())) {
        const auto &oldest = repeats.order.front();
        const auto place = repeats.givenUp.find(oldest.key);
        if (place != repeats.givenUp.end() && place->second == oldest.at) {
            repeats.givenUp.erase(place);
        }
        repeats.order.pop_front();
    }
}

} // namespace

auto noteGivenUp(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> void
{
    const auto key = keyOf(workspace, fingerprint);
    repeats.givenUp[key] = now;
    repeats.order.push_back({ .key = key, .at = now });
    forgetOld(repeats, now);
}

auto takeRepeat(Repeats &repeats, std::uint32_t workspace, Fingerprint fingerprint, TimePoint now) -> bool
{
    forgetOld(repeats, now);
    return repeats.givenUp.erase(keyOf(workspace, fingerprint)) > 0;
}

} // namespace auburnspread::retry
