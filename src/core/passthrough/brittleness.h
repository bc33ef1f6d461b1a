/// \file
/// Servers that fail when they have to reject too many requests within a second, and how all entries together spare them.
///
/// A service's servers state in their answers how many rejections for want of room they bear. From then on an entry counts on their slots
/// alone, not on their queues, and keeps to its even share of the slots. Only a few entries, chosen by rendezvous hashing, fill the room that
/// the reports show. The others borrow places of a server that is less than half full, one each, in turns that each draws at random: all of
/// them read the same reports, and if each entry used the room that it sees, all would send to the same idle server until the next report.
/// Regardless of the load, only few have their turn at the same time. An entry that was rejected pauses.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <optional>

namespace auburnspread::passthrough
{

/// What an answer said about the rejections that its server bears.
struct BrittlenessStatement {
    std::optional<double> rejectionsPerSecond; ///< from all entries together; not set: any number
    TimePoint at;                              ///< when the answer arrived
};

/// What this entry knows of one server.
struct Brittleness {
    BrittlenessStatement own;       ///< the server's newest statement
    BrittlenessStatement ofService; ///< newest statement of any other server of the service
    std::uint32_t senderRank = 0;   ///< rank of this entry among those that may fill the server, starting at 0
    TimePoint rejectedAt;           ///< when the server last rejected a request of this entry
};

/// Rejections per second that the server bears; not set: any number. A server's own statement counts, unless another server of its service
/// has made one long after it.
auto toleratedRejections(const Brittleness &brittleness) -> std::optional<double>;

/// Applies the statement in an answer of the server. \p sentAt: when the request was sent. An answer without a statement ends an earlier
/// one only if its request was sent after that.
auto updateOwnStatement(Brittleness &brittleness, std::optional<double> rejectionsPerSecond, TimePoint sentAt, TimePoint now) -> void;

/// Whether this entry is one of the few that may fill the server.
auto mayFill(const Brittleness &brittleness) -> bool;

/// The server's load and the knowledge of it.
struct RoomUsage {
    std::uint32_t slots = 0;
    std::uint32_t ownInFlight = 0;
    std::uint32_t ownReported = 0; ///< \c ownInFlight as of this entry's last report
    std::uint32_t inFlight = 0;    ///< of all entries, those of the others as reported
    std::uint32_t entries = 1;
    bool peersKnown = false;    ///< whether most of the other entries have reported
    std::uint64_t turnSeed = 0; ///< seed of the draw of turns, different at each entry and for each server
};

/// Whether this entry may send one more request to the server. Always true for a server that bears any number of rejections.
auto hasSafeRoom(const Brittleness &brittleness, const RoomUsage &usage, TimePoint now) -> bool;

} // namespace auburnspread::passthrough
