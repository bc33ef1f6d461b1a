/// \file
/// Chooses the readers: the entries that read the platform's store on behalf of all entries.
///
/// Every call to the store is billed, and the permitted call rate grows more slowly than the fleet, so a few entries read the store and
/// the others query these. Each entry ranks the entries that it knows by the strength of their VMs and a hash of their names. This needs no
/// election, and entries with the same list choose the same readers. While lists differ, there are a few more readers.
///
/// The readers answer all other entries and receive their heartbeats. If a reader's link is saturated, its answers are late and the other
/// entries consider it lost. VMs with more link and processor capacity therefore rank first.

#pragma once

#include "core/fleet/entryrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburnspread::fleet
{

/// With two readers, the other answers if one is lost. Each further one would add store calls, and the next in rank takes over within a
/// second anyway.
constexpr std::size_t ReaderCount = 2;

/// Entries that query the cache of one engine; with two, one remains if the other is lost.
constexpr std::size_t QueriersPerEngine = 2;

/// \return whether \p self is one of the entries that query \p server for its cache. Entries with the same list \p entries choose the same
/// ones by rendezvous hashing.
auto queriesCacheOf(const std::string &server, const std::vector<std::string> &entries, const std::string &self) -> bool;

/// \return the \p count highest-ranked entries of \p entries, highest rank first
auto chooseReaders(std::vector<EntryRecord> entries, std::size_t count = ReaderCount) -> std::vector<EntryRecord>;

} // namespace auburnspread::fleet
