#include "standins/engine/cacheevents.h"

#include "standins/answer.h"
#include "standins/engine/sampling.h"

#include <nlohmann/json.hpp>

namespace auburnspread::standins
{

namespace
{

constexpr std::size_t MostEvents = 10'000;

} // namespace

auto addChanges(CacheEvents &events, const std::vector<CacheChange> &changes, TimePoint now) -> void
{
    for (const auto &change : changes) {
        const auto number = ++events.lastNumber;
        if (isHit(number, events.gapEvery)) {
            continue;
        }
        events.events.push_back({ .number = number, .change = change, .visible = now + events.lag });
        if (events.events.size() > MostEvents) {
            events.events.pop_front();
        }
    }
}

auto eventsSince(const CacheEvents &events, std::uint64_t since, TimePoint now) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &event : events.events) {
        if (event.number <= since || event.visible > now) {
            continue;
        }
        const auto *kind = event.change.stored ? "stored" : "evicted";
        list.push_back({ { "number", event.number }, { "kind", kind }, { "block", formatHash(event.change.block) } });
    }
    return { { "events", list } };
}

} // namespace auburnspread::standins
