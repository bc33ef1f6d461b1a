#include "entry/control/internal/registration.h"

namespace auburnspread::entry
{

auto toJson(const membership::MemberRecord &record) -> nlohmann::json
{
    return {
        { "entry", record.name },
        { "address", record.callerAddress },
        { "peer_address", record.peerAddress },
        { "admin_address", record.adminAddress },
        { "failure_domain", record.failureDomain },
        { "region", record.region },
        { "incarnation", record.incarnation },
        { "version", record.version },
        { "state", membership::memberStateName(record.state) },
    };
}

auto parseRegistration(std::string_view text) -> std::optional<membership::MemberRecord>
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    try {
        const auto state = membership::memberStateFromName(document.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        return membership::MemberRecord{
            .name = document.at("entry"),
            .callerAddress = document.at("address"),
            .peerAddress = document.at("peer_address"),
            .adminAddress = document.at("admin_address"),
            .failureDomain = document.at("failure_domain"),
            .region = document.at("region"),
            .incarnation = document.at("incarnation"),
            .version = document.at("version"),
            .state = *state,
        };
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace auburnspread::entry
