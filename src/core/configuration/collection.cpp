#include "core/configuration/collection.h"

#include <set>
#include <string_view>

namespace auburnspread::configuration
{

namespace
{

auto apply(CollectionState &state, const PartsListed &event, TimePoint /*now*/) -> std::vector<CollectionAction>
{
    auto named = std::set<std::string_view>();
    for (const auto &part : event.manifest.parts) {
        named.insert(part.digest);
    }
    auto kept = std::map<std::string, UnnamedPart>();
    auto actions = std::vector<CollectionAction>();
    for (const auto &digest : event.digests) {
        if (named.contains(digest)) {
            continue;
        }
        const auto known = state.unnamed.find(digest);
        kept[digest] = known == state.unnamed.end() ? UnnamedPart() : known->second;
        actions.emplace_back(ReadPartIndex{ .digest = digest });
    }
    state.unnamed = std::move(kept);
    return actions;
}

auto apply(CollectionState &state, const PartIndexRead &event, TimePoint now) -> std::vector<CollectionAction>
{
    const auto found = state.unnamed.find(event.digest);
    if (found == state.unnamed.end()) {
        return {};
    }
    if (found->second.index != event.index) {
        found->second = { .index = event.index, .since = now };
        return {};
    }
    if (now - found->second.since < state.grace) {
        return {};
    }
    state.unnamed.erase(found);
    return { DeletePart{ .digest = event.digest, .index = event.index } };
}

} // namespace

auto handle(CollectionState &state, const CollectionEvent &event, TimePoint now) -> std::vector<CollectionAction>
{
    return std::visit([&](const auto &concrete) { return apply(state, concrete, now); }, event);
}

} // namespace auburnspread::configuration
