/// \file
/// Finds the known key that a misspelt one probably means.

#pragma once

#include "runtime/settings/schema.h"

#include <string>

namespace auburnspread::settings::detail
{

/// Name of a key as overrides and getters write it: "section.key".
auto fullName(std::string_view section, std::string_view key) -> std::string;

/// The key with the least edit distance to \p name ("section.key"); nullptr if the schema has no key.
auto findNearest(const Schema &schema, const std::string &name) -> const Key *;

} // namespace auburnspread::settings::detail
