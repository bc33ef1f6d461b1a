/// \file
/// Encoding of an entry's record in messages between entries.

#pragma once

#include "core/fleet/entryrecord.h"

#include <nlohmann/json_fwd.hpp>

namespace auburnspread::gateway::detail
{

auto entryToJson(const fleet::EntryRecord &entry) -> nlohmann::json;
/// Throws nlohmann::json::exception if \p item is not a valid record.
auto entryFromJson(const nlohmann::json &item) -> fleet::EntryRecord;

} // namespace auburnspread::gateway::detail
