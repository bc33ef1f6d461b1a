#include "core/fleet/membership.h"

namespace auburnspread::fleet
{

namespace
{

/// Entries that left are remembered so that a late heartbeat does not bring them back.
constexpr std::size_t MostRemembered = 1000;

auto noteLeft(Membership &membership, const Heartbeat &heartbeat) -> bool
{
    if (membership.left.size() >= MostRemembered) {
        membership.left.clear();
    }
    membership.left[heartbeat.entry.name] = heartbeat.entry.incarnation;
    return membership.members.erase(heartbeat.entry.name) > 0;
}

} // namespace

auto beginCollecting(Membership &membership, const std::vector<EntryRecord> &listed, TimePoint now) -> void
{
    membership.collectingSince = now;
    for (const auto &entry : listed) {
        membership.members.try_emplace(entry.name, Membership::Member{ .entry = entry, .heardAt = now });
    }
}

auto noteHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> bool
{
    if (heartbeat.isLeaving) {
        return noteLeft(membership, heartbeat);
    }
    const auto left = membership.left.find(heartbeat.entry.name);
    if (left != membership.left.end() && left->second == heartbeat.entry.incarnation) {
        return false;
    }
    if (!membership.collectingSince) {
        membership.collectingSince = now;
    }
    auto &member = membership.members[heartbeat.entry.name];
    const auto isNews = member.entry != heartbeat.entry;
    member = { .entry = heartbeat.entry, .heardAt = now };
    return isNews;
}

auto dropLeaving(const Membership &membership, std::vector<EntryRecord> &entries) -> void
{
    std::erase_if(entries, [&membership](const EntryRecord &entry) {
        const auto left = membership.left.find(entry.name);
        return left != membership.left.end() && left->second == entry.incarnation;
    });
}

auto expireMembers(Membership &membership, TimePoint now) -> void
{
    const auto hadMembers = !membership.members.empty();
    std::erase_if(membership.members, [now](const auto &item) { return now - item.second.heardAt > MemberAge; });
    if (hadMembers && membership.members.empty()) {
        membership.collectingSince.reset();
    }
}

auto listMembers(const Membership &membership, TimePoint now) -> std::optional<std::vector<EntryRecord>>
{
    if (!membership.collectingSince || now - *membership.collectingSince < CollectingTime) {
        return std::nullopt;
    }
    std::vector<EntryRecord> entries;
    for (const auto &[name, member] : membership.members) {
        entries.push_back(member.entry);
    }
    return entries;
}

} // namespace auburnspread::fleet
