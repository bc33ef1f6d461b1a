/// \file
/// Which entries are alive, as an entry that reads the store for others hears it from their heartbeats. Pure.
///
/// Weighed: a registration of each entry under a lease of its own costs three calls to the store for each entry at each start, and
/// renewals for ever. Heartbeats cost datagrams, and tell sooner that an entry is gone.

#pragma once

#include "core/base/time.h"
#include "core/fleet/entryrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::fleet
{

/// Between two heartbeats of an entry.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(300);
/// An entry that was not heard for this long is gone: six heartbeats, of which a bad link loses a few.
constexpr Duration MemberAge = std::chrono::milliseconds(1800);
/// All entries that live are heard within this: one heartbeat of each, and what entries that start together differ by.
constexpr Duration CollectingTime = std::chrono::milliseconds(500);

/// An entry says that it is there.
struct Heartbeat {
    EntryRecord entry;
    bool isLeaving = false; ///< callers must not be sent there any more
};

struct Membership {
    struct Member {
        EntryRecord entry;
        TimePoint heardAt;
    };
    std::map<std::string, Member> members;     ///< by name, without the collecting entry itself
    std::map<std::string, std::uint64_t> left; ///< incarnation that said it was leaving, by name
    std::optional<TimePoint> collectingSince;  ///< not set: nobody is heard
};

/// The entry begins to collect, and takes over what others listed.
auto beginCollecting(Membership &membership, const std::vector<EntryRecord> &listed, TimePoint now) -> void;

/// \return whether an entry came or left
auto noteHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> bool;

/// Takes those out that said to this entry that they are leaving.
///
/// Failure: a list from before goes round after an entry has said that it leaves. Symptom: callers are sent to it for as long as the list
/// is believed, and their requests are cut when it ends.
auto dropLeaving(const Membership &membership, std::vector<EntryRecord> &entries) -> void;

auto expireMembers(Membership &membership, TimePoint now) -> void;

/// The entries that are heard, sorted by name; nothing while the entry has collected for too short a time to know.
///
/// Failure: an entry that reads the store for others is cut off from them and returns, or starts. Symptom: it lists the few that it has
/// heard since, and whoever asks it takes the others for dead. So it lists nothing until every heartbeat has had its turn.
auto listMembers(const Membership &membership, TimePoint now) -> std::optional<std::vector<EntryRecord>>;

} // namespace auburnspread::fleet
