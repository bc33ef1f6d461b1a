/// \file
/// Bodies and paths of the platform's calls.

#pragma once

#include "wire/platform/store.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::platform::detail
{

/// Nothing if the body is not what the service answers.
auto parseEntries(std::string_view body) -> std::optional<std::vector<Entry>>;
auto parseVms(std::string_view body) -> std::optional<std::vector<Vm>>;
auto parseSessionId(std::string_view body) -> std::optional<std::string>;

auto encodeCreations(const std::vector<Creation> &creations) -> std::string;
/// Places of the operations that a refused transaction blames.
auto parseConflicts(std::string_view body) -> std::vector<std::size_t>;

} // namespace auburnspread::platform::detail
