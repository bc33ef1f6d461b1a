/// \file
/// The form of an entry's record in what entries tell each other.

#pragma once

#include "core/fleet/entryrecord.h"

#include <nlohmann/json_fwd.hpp>

namespace auburnspread::gateway::detail
{

auto entryToJson(const fleet::EntryRecord &entry) -> nlohmann::json;
/// Throws nlohmann::json::exception for what is no record.
auto entryFromJson(const nlohmann::json &item) -> fleet::EntryRecord;

} // namespace auburnspread::gateway::detail
