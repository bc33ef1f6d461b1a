/// \file
/// An entry's registration as it stands in the platform's service.

#pragma once

#include "core/membership/member.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::entry
{

/// Prefix of the registrations' keys; the entry's name follows.
constexpr std::string_view RegistrationPrefix = "auburnspread/entries/";

auto toJson(const membership::MemberRecord &record) -> nlohmann::json;
/// Nothing if the text is no registration.
auto parseRegistration(std::string_view text) -> std::optional<membership::MemberRecord>;

} // namespace auburnspread::entry
