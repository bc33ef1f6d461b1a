/// \file
/// Which entries read the platform's store for all.
///
/// Every call to the store is paid for and its rate grows more slowly than the fleet, so a few entries read it and the
/// others ask these. Each entry ranks the entries that it knows by the strength of their VMs and a hash of their names: no
/// election, and entries that know the same list choose the same readers. Where lists differ for a moment there are some
/// readers more.
///
/// The readers answer all others and hear their heartbeats. Failure: a reader's link is full. Symptom: its answers are late, and the
/// entries take it for lost. So VMs with more link and processor come first.

#pragma once

#include "core/fleet/entryrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace auburnspread::fleet
{

/// While one is lost the other answers. Each costs its calls, and the next in rank takes over within a second.
constexpr std::size_t ReaderCount = 2;

/// Entries that ask one engine for its cache: enough that the loss of one in that moment leaves one.
constexpr std::size_t AskersOfEngine = 2;

/// Whether \p self is one of the entries that ask \p server for its cache. All that know the same entries choose the same ones.
auto asksCacheOf(const std::string &server, const std::vector<std::string> &entries, const std::string &self) -> bool;

/// The first \p count among \p entries, the first in rank first.
auto chooseReaders(std::vector<EntryRecord> entries, std::size_t count = ReaderCount) -> std::vector<EntryRecord>;

} // namespace auburnspread::fleet
