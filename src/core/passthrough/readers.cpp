#include "core/passthrough/readers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

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

auto chooseReaders(std::vector<std::string> entries) -> std::vector<std::string>
{
    std::sort(entries.begin(), entries.end(), [](const std::string &a, const std::string &b) { return rankOf(a) > rankOf(b); });
    entries.resize(std::min(entries.size(), ReaderCount));
    return entries;
}

} // namespace auburnspread::passthrough
