/// \file
/// What one entry knows of another: its record, and which of two records of the same member is newer.

#pragma once

#include "core/base/nametable.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace auburnspread::membership
{

enum class MemberState {
    Joining, ///< started, not ready to serve: linked and counted in cells, not named to callers
    Live,
    Suspect, ///< a new connection to it failed; it may refute that by raising its version
    Leaving, ///< takes no new requests; final for its incarnation
    Gone,    ///< ended or unreachable; final for its incarnation
};

auto memberStateTable() -> std::span<const NamedValue<MemberState>>;
auto memberStateName(MemberState state) -> std::string_view;
auto memberStateFromName(std::string_view name) -> std::optional<MemberState>;

/// One member at one incarnation. Records travel between entries and stand in the platform's registration list.
struct MemberRecord {
    std::string name;
    std::string callerAddress; ///< IP number and port for callers
    std::string peerAddress;   ///< for peer links
    std::string adminAddress;
    std::string failureDomain;
    std::string region;
    std::uint64_t incarnation = 0; ///< one run of the process; higher supersedes
    std::uint32_t version = 0;     ///< raised by the member itself alone, within its incarnation
    MemberState state = MemberState::Joining;

    auto operator==(const MemberRecord &) const -> bool = default;
};

/// Whether \p a is newer than \p b, both of one member. A total order, so that entries that heard the same
/// records hold the same one, in whatever order they arrived.
auto supersedes(const MemberRecord &a, const MemberRecord &b) -> bool;

/// Whether an entry in this state takes new requests.
auto isServing(MemberState state) -> bool;

} // namespace auburnspread::membership
