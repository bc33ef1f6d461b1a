#include "wire/peer/messagetype.h"

#include <array>

namespace auburnspread::peer
{

namespace
{

constexpr auto MessageTypes = std::to_array<NamedValue<MessageType>>({
    { MessageType::Hello, "hello" },
    { MessageType::Challenge, "challenge" },
    { MessageType::Proof, "proof" },
    { MessageType::Ping, "ping" },
    { MessageType::Pong, "pong" },
    { MessageType::Members, "members" },
    { MessageType::Report, "report" },
    { MessageType::Names, "names" },
    { MessageType::IndexedReport, "indexed-report" },
    { MessageType::Quarantine, "quarantine" },
    { MessageType::Leaving, "leaving" },
    { MessageType::Configuration, "configuration" },
    { MessageType::ConfigurationRequest, "configuration-request" },
    { MessageType::ConfigurationPart, "configuration-part" },
});

static_assert(MessageTypes.size() == MessageTypeCount);

} // namespace

auto messageTypeTable() -> std::span<const NamedValue<MessageType>>
{
    return MessageTypes;
}

auto messageTypeName(MessageType type) -> std::string_view
{
    return findName(MessageTypes, type);
}

auto messageTypeFromName(std::string_view name) -> std::optional<MessageType>
{
    return findValue(MessageTypes, name);
}

} // namespace auburnspread::peer
