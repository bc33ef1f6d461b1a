#include "core/passthrough/readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace auburnspread::passthrough
{

namespace
{

auto rankOf(const std::string &name) -> std::uint64_t
{
    constexpr std::uint64_t Purpose = 0x72656164; // so that other choices by name fall on other entries
    return XXH64(name.data(), name.size(), Purpose);
}

} // namespace

auto asksCacheOf(const std::string &server, const std::vector<std::string> &entries, const std::string &self) -> bool
{
    const auto weightOf = [&server](const std::string &entry) { return XXH64(server.data(), server.size(), rankOf(entry)); };
    const auto isBefore = [&](const std::string &entry) { return entry != self && weightOf(entry) > weightOf(self); };
    return std::count_if(entries.begin(), entries.end(), isBefore) < static_cast<std::ptrdiff_t>(AskersOfEngine);
}

auto chooseReaders(std::vector<ReaderCandidate> entries) -> std::vector<std::string>
{
    const auto isBefore = [](const ReaderCandidate &a, const ReaderCandidate &b) {
        return a.strength != b.strength ? a.strength > b.strength : rankOf(a.name) > rankOf(b.name);
    };
    std::sort(entries.begin(), entries.end(), isBefore);
    entries.resize(std::min(entries.size(), ReaderCount));
    std::vector<std::string> readers;
    std::transform(entries.begin(), entries.end(), std::back_inserter(readers), [](const ReaderCandidate &entry) { return entry.name; });
    return readers;
}

} // namespace auburnspread::passthrough
