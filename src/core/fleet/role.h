/// \file
/// Whether this entry reads the platform's store for others, and which entries it asks otherwise. Pure.
///
/// Readers are the first in rank (see readers.h) among the entries that live and are fit. An entry is unfit for some seconds after it
/// did not answer, or answered by what it had from the store too long ago; the next in rank takes its place without any message.
///
/// Failure: the store is away, or turns some entries away. Symptom: every entry that gets no confirmation reads the store for itself,
/// again and again, when it can bear it least. Here only those that come into the first ranks try, a few at a time.

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

struct RoleOptions {
    EntryRecord self;
    std::vector<std::string> seeds; ///< peer addresses of entries that may be there when this one starts; it may be one of them
};

struct Role {
    RoleOptions options;
    TimePoint startedAt;
    std::optional<TimePoint> answeredAt;      ///< an entry told what it knows
    std::vector<EntryRecord> entries;         ///< alive, this one included, as listed; empty: nobody told yet
    bool entriesAreOld = false;               ///< they are remembered from before this entry started
    std::vector<EntryRecord> registered;      ///< in the store: entries that read it, for those that know nobody
    std::optional<TimePoint> registrationsAt; ///< the store was asked for them
    bool isLeaving = false;

    std::map<std::string, TimePoint> unfitUntil; ///< by peer address
};

auto makeRole(RoleOptions options, TimePoint now) -> Role;

/// The entry at this address did not answer, or has had nothing fresh from the store.
auto noteUnfit(Role &role, const std::string &peerAddress, TimePoint now) -> void;
/// It answered, with fresh knowledge of the store.
auto noteFit(Role &role, const std::string &peerAddress, TimePoint now) -> void;

struct Assignment {
    bool reads = false;                    ///< this entry reads the store for others
    bool isFirst = false;                  ///< and is the first in rank to do so
    std::vector<std::string> ask;          ///< peer addresses to ask, if it does not
    std::vector<std::string> heartbeatsTo; ///< peer addresses of those that list the entries, also of unfit ones
};

auto assign(const Role &role, TimePoint now) -> Assignment;

/// Whether the store has to be asked who is registered: nobody else can tell.
auto needsRegistrations(const Role &role, TimePoint now) -> bool;

} // namespace auburnspread::fleet
