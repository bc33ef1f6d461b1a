/// \file
/// Numeric query parameters of requests from other entries.

#pragma once

#include <charconv>
#include <cstdint>
#include <map>
#include <string>

namespace auburnspread::gateway::detail
{

/// \return 0, which means none, if the parameter is missing or not a number
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
