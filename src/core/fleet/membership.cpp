#include "core/fleet/membership.h"

namespace auburnspread::fleet
{

namespace
{

/// Departed entries that are kept, so that a delayed heartbeat does not add a departed entry again.
constexpr std::size_t MaxDepartures = 1000;

auto recordDeparture(Membership &membership, const Heartbeat &heartbeat) -> bool
{
    if (membership.departedIncarnations.size() >= MaxDepartures) {
        membership.departedIncarnations.clear();
    }
    membership.departedIncarnations[heartbeat.entry.name] = heartbeat.entry.incarnation;
    return membership.members.erase(heartbeat.entry.name) > 0;
}

} // namespace

auto beginCollecting(Membership &membership, const std::vector<EntryRecord> &listed, TimePoint now) -> void
{
    membership.collectingSince = now;
    for (const auto &entry : listed) {
        membership.members.try_emplace(entry.name, Membership::Member{ .entry = entry, .lastHeartbeatAt = now });
    }
}

auto applyHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> bool
{
    if (heartbeat.isLeaving) {
        return recordDeparture(membership, heartbeat);
    }
    const auto departed = membership.departedIncarnations.find(heartbeat.entry.name);
    if (departed != membership.departedIncarnations.end() && departed->second == heartbeat.entry.incarnation) {
        return false;
    }
    if (!membership.collectingSince) {
        membership.collectingSince = now;
    }
    auto &member = membership.members[heartbeat.entry.name];
    const auto isChanged = member.entry != heartbeat.entry;
    member = { .entry = heartbeat.entry, .lastHeartbeatAt = now };
    return isChanged;
}

auto removeDeparted(const Membership &membership, std::vector<EntryRecord> &entries) -> void
{
    std::erase_if(entries, [&membership](const EntryRecord &entry) {
        const auto departed = membership.departedIncarnations.find(entry.name);
        return departed != membership.departedIncarnations.end() && departed->second == entry.incarnation;
    });
}

auto expireMembers(Membership &membership, TimePoint now) -> void
{
    const auto hadMembers = !membership.members.empty();
    std::erase_if(membership.members, [now](const auto &item) { return now - item.second.lastHeartbeatAt > MemberTimeout; });
    if (hadMembers && membership.members.empty()) {
        membership.collectingSince.reset();
    }
}

auto listMembers(const Membership &membership, TimePoint now) -> std::optional<std::vector<EntryRecord>>
{
    if (!membership.collectingSince || now - *membership.collectingSince < MinCollectionTime) {
        return std::nullopt;
    }
    std::vector<EntryRecord> entries;
    for (const auto &[name, member] : membership.members) {
        entries.push_back(member.entry);
    }
    return entries;
}

} // namespace auburnspread::fleet
