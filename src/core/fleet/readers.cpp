#include "core/fleet/readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace auburnspread::fleet
{

namespace
{

auto rankHash(const std::string &name) -> std::uint64_t
{
    constexpr std::uint64_t Purpose = 0x72656164; // seed that makes this ranking independent of other choices by name hash
    return XXH64(name.data(), name.size(), Purpose);
}

} // namespace

auto queriesCacheOf(const std::string &server, const std::vector<std::string> &entries, const std::string &self) -> bool
{
    const auto weightOf = [&server](const std::string &entry) { return XXH64(server.data(), server.size(), rankHash(entry)); };
    const auto isBefore = [&](const std::string &entry) { return entry != self && weightOf(entry) > weightOf(self); };
    return std::count_if(entries.begin(), entries.end(), isBefore) < static_cast<std::ptrdiff_t>(QueriersPerEngine);
}

auto chooseReaders(std::vector<EntryRecord> entries, std::size_t count) -> std::vector<EntryRecord>
{
    const auto isBefore
        = [](const EntryRecord &a, const EntryRecord &b) { return a.strength != b.strength ? a.strength > b.strength : rankHash(a.name) > rankHash(b.name); };
    const auto kept = std::min(entries.size(), count);
    std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(kept), entries.end(), isBefore);
    entries.resize(kept);
    return entries;
}

} // namespace auburnspread::fleet
