/// \file
/// Which entries read the platform's store for all.
///
/// Every call to the store is paid for and its rate grows more slowly than the fleet, so a few entries read it and the
/// others ask these. Each entry ranks the entries that it knows by the strength of their VMs and a hash of their names: no
/// election, and entries that know the same list choose the same readers. Where lists differ for a moment there are some
/// readers more.
///
/// In a large fleet the readers also send the sums of load to all others, some megabits a second. Failure: a reader's link is
/// full. Symptom: its sums are lost, and the entries place requests by different pictures of the fleet. So VMs with more
/// link and processor come first.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

/// Enough that the loss of two at once leaves one; each more costs its calls.
constexpr std::size_t ReaderCount = 3;

struct ReaderCandidate {
    std::string name;
    std::uint32_t strength = 0; ///< of its VM; more is better
};

/// Entries that ask one engine for its cache: enough that the loss of one in that moment leaves one.
constexpr std::size_t AskersOfEngine = 2;

/// Whether \p self is one of the entries that ask \p server for its cache. All that know the same entries choose the same ones.
auto asksCacheOf(const std::string &server, const std::vector<std::string> &entries, const std::string &self) -> bool;

/// Names of the readers among \p entries, the first in rank first.
auto chooseReaders(std::vector<ReaderCandidate> entries) -> std::vector<std::string>;

} // namespace auburnspread::passthrough
