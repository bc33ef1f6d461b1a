#include "gateway/entryform.h"

#include <nlohmann/json.hpp>

namespace auburnspread::gateway::detail
{

auto entryToJson(const fleet::EntryRecord &entry) -> nlohmann::json
{
    return { entry.name, entry.callerAddress, entry.peerAddress, entry.failureDomain, entry.strength, entry.incarnation };
}

auto entryFromJson(const nlohmann::json &item) -> fleet::EntryRecord
{
    return {
        .name = item.at(0).get<std::string>(),
        .callerAddress = item.at(1).get<std::string>(),
        .peerAddress = item.at(2).get<std::string>(),
        .failureDomain = item.at(3).get<std::string>(),
        .strength = item.at(4).get<std::uint32_t>(),
        .incarnation = item.at(5).get<std::uint64_t>(),
    };
}

} // namespace auburnspread::gateway::detail
