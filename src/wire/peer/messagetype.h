/// \file
/// The types of messages between entries, with their names on the wire and in metrics.

#pragma once

#include "core/base/nametable.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace auburnspread::peer
{

enum class MessageType {
    Hello,
    Challenge,
    Proof,
    Ping,
    Pong,
    Members,
    Report,
    Names,
    IndexedReport,
    Quarantine,
    Leaving,
    Configuration,
    ConfigurationRequest,
    ConfigurationPart,
};

constexpr std::size_t MessageTypeCount = static_cast<std::size_t>(MessageType::ConfigurationPart) + 1;

auto messageTypeTable() -> std::span<const NamedValue<MessageType>>;
auto messageTypeName(MessageType type) -> std::string_view;
auto messageTypeFromName(std::string_view name) -> std::optional<MessageType>;

} // namespace auburnspread::peer
