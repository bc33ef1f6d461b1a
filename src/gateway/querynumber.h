/// \file
/// Numbers in the query of a question from another entry.

#pragma once

#include <charconv>
#include <cstdint>
#include <map>
#include <string>

namespace auburnspread::gateway::detail
{

/// Zero, which names nothing, where the number is missing or can't be read.
inline auto readQueryNumber(const std::map<std::string, std::string> &query, const std::string &name) -> std::uint64_t
{
    const auto found = query.find(name);
    std::uint64_t number = 0;
    if (found != query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
    }
    return number;
}

} // namespace auburnspread::gateway::detail
