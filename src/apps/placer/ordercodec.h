/// \file
/// The bodies of a backend server's orders: what is ordered and what is reported back.

#pragma once

#include "core/placement/actions.h"
#include "core/placement/events.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::placer
{

auto encodeOrder(const placement::SendOrder &order) -> std::string;

/// Nothing if the body is not a report.
auto decodeReport(std::string_view body) -> std::optional<placement::ServerReport>;

/// The fencing number in the answer that refuses an order; 0 if there is none.
auto decodeCurrentFence(std::string_view body) -> placement::FencingNumber;

} // namespace auburnspread::placer
