/// \file
/// Which entries read the platform's store for all.
///
/// Every call to the store is paid for and its rate grows more slowly than the fleet, so a few entries read it and the
/// others ask these. Each entry ranks the entries that it knows by a hash of their names: no election, and entries that
/// know the same list choose the same readers. Where lists differ for a moment there are some readers more.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

/// Enough that the loss of two at once leaves one; each more costs its calls.
constexpr std::size_t ReaderCount = 3;

/// Names of the readers among \p entries, the first in rank first.
auto chooseReaders(std::vector<std::string> entries) -> std::vector<std::string>;

} // namespace auburnspread::passthrough
