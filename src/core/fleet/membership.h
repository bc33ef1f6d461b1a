/// \file
/// Tracks which entries are alive by the heartbeats that a reader of the store receives. Has no side effects.
///
/// The alternative, a registration of each entry under its own lease, needs three store calls per entry at each start, and renewals for
/// as long as the entry runs. Heartbeats need only datagrams and detect the loss of an entry sooner.

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

/// Interval between two heartbeats of an entry.
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(300);
/// An entry without a heartbeat for this long is removed. The time spans six heartbeats, since a bad link loses a few.
constexpr Duration MemberTimeout = std::chrono::milliseconds(1800);
/// Time in which every live entry sends a heartbeat: one interval, and the skew between entries that start together.
constexpr Duration MinCollectionTime = std::chrono::milliseconds(500);

/// The periodic message by which an entry states that it is alive.
struct Heartbeat {
    EntryRecord entry;
    bool isLeaving = false; ///< callers must no longer be directed to the entry
};

/// The live entries as one reader of the store knows them.
struct Membership {
    struct Member {
        EntryRecord entry;
        TimePoint lastHeartbeatAt;
    };
    std::map<std::string, Member> members;                     ///< by name; excludes the collecting entry itself
    std::map<std::string, std::uint64_t> departedIncarnations; ///< incarnation that announced its departure, by entry name
    std::optional<TimePoint> collectingSince;                  ///< not set while no heartbeat is received
};

/// Starts to collect heartbeats. The entries that other readers have \p listed become the initial members.
auto beginCollecting(Membership &membership, const std::vector<EntryRecord> &listed, TimePoint now) -> void;

/// Updates the members by a heartbeat.
/// \return whether an entry joined, changed or left
auto applyHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> bool;

/// Removes the entries that have announced their departure to this entry.
///
/// A list that was made before the announcement may still circulate. Callers would be directed to the departing entry until the list
/// expires, and their requests would be aborted when the entry exits.
auto removeDeparted(const Membership &membership, std::vector<EntryRecord> &entries) -> void;

/// Removes the members without a heartbeat for MemberTimeout.
auto expireMembers(Membership &membership, TimePoint now) -> void;

/// \return the live entries, sorted by name; nothing until heartbeats have been collected for long enough to include every entry
///
/// A reader that has just started, or that returns after a partition, knows only the few entries whose heartbeats have arrived since.
/// Entries that query it would consider the remaining entries lost. It therefore publishes no list until each entry has had time for a heartbeat.
auto listMembers(const Membership &membership, TimePoint now) -> std::optional<std::vector<EntryRecord>>;

} // namespace auburnspread::fleet
