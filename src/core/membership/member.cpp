#include "core/membership/member.h"

#include <array>
#include <tuple>

namespace auburnspread::membership
{

namespace
{

constexpr auto MemberStates = std::to_array<NamedValue<MemberState>>({
    { MemberState::Joining, "joining" },
    { MemberState::Live, "live" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Gone, "gone" },
});

/// Leaving and gone are final within an incarnation, so they outrank every version.
auto finality(MemberState state) -> int
{
    switch (state) {
    case MemberState::Gone:
        return 2;
    case MemberState::Leaving:
        return 1;
    default:
        return 0;
    }
}

auto orderOf(const MemberRecord &record)
{
    return std::make_tuple(record.incarnation, finality(record.state), record.version, record.state);
}

/// Two processes of one name and incarnation must not exist; if they do, every entry still holds the same record.
auto tieBreakOf(const MemberRecord &record)
{
    return std::tie(record.peerAddress, record.callerAddress, record.adminAddress, record.failureDomain, record.region);
}

} // namespace

auto memberStateTable() -> std::span<const NamedValue<MemberState>>
{
    return MemberStates;
}

auto memberStateName(MemberState state) -> std::string_view
{
    return findName(MemberStates, state);
}

auto memberStateFromName(std::string_view name) -> std::optional<MemberState>
{
    return findValue(MemberStates, name);
}

auto supersedes(const MemberRecord &a, const MemberRecord &b) -> bool
{
    const auto orderOfA = orderOf(a);
    const auto orderOfB = orderOf(b);
    if (orderOfA != orderOfB) {
        return orderOfA > orderOfB;
    }
    return tieBreakOf(a) > tieBreakOf(b);
}

auto isServing(MemberState state) -> bool
{
    return state == MemberState::Live || state == MemberState::Suspect;
}

} // namespace auburnspread::membership
