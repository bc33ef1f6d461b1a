/// \file
/// Decides whether this entry reads the platform's store for others, and which entries it queries otherwise. Has no side effects.
///
/// The readers are the highest-ranked entries (see readers.h) that are alive and fit. An entry is unfit for some seconds after it did not
/// answer, or answered with outdated data of the store; the next in rank replaces it without any message.
///
/// If every entry without a confirmation read the store itself, an outage or overload of the store would draw repeated reads from the whole
/// fleet. Here only entries that move up to the first ranks read it, a few at a time.

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

/// Identity of this entry and the addresses that it starts with.
struct RoleOptions {
    EntryRecord self;
    std::vector<std::string> seeds; ///< peer addresses of entries that may be running when this one starts; may include its own
};

/// Data from which the role of this entry is derived.
struct Role {
    RoleOptions options;
    TimePoint startedAt;
    std::optional<TimePoint> lastAnswerAt;        ///< time of the last valid answer of another entry
    std::vector<EntryRecord> entries;             ///< listed live entries, including this one; empty until a list is received
    bool entriesAreStale = false;                 ///< the list is a saved or delayed one, older than MemberTimeout
    std::vector<EntryRecord> registered;          ///< readers registered in the store, for entries that know no other entry
    std::optional<TimePoint> registrationsReadAt; ///< time at which the registrations were read
    bool isLeaving = false;

    std::map<std::string, TimePoint> unfitUntil; ///< end of each unfit period, by peer address
};

auto makeRole(RoleOptions options, TimePoint now) -> Role;

/// Records that the entry at \p peerAddress did not answer, or has no recent data of the store.
auto markUnfit(Role &role, const std::string &peerAddress, TimePoint now) -> void;
/// Records that the entry at \p peerAddress answered with recent data of the store.
auto markFit(Role &role, const std::string &peerAddress, TimePoint now) -> void;

/// What this entry does in its current role.
struct Assignment {
    bool readsStore = false;                     ///< this entry reads the store for others
    bool isFirstReader = false;                  ///< this entry is the highest-ranked reader
    std::vector<std::string> queryAddresses;     ///< peer addresses of the other readers, or of seeds if no reader is known
    std::vector<std::string> heartbeatAddresses; ///< peer addresses of the entries that collect heartbeats, including unfit readers
};

/// Derives the assignment of this entry from \p role.
auto computeAssignment(const Role &role, TimePoint now) -> Assignment;

/// \return whether the registrations must be read from the store, since no other entry has answered
auto needsRegistrations(const Role &role, TimePoint now) -> bool;

} // namespace auburnspread::fleet
