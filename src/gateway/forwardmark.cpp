#include "gateway/forwardmark.h"

#include "gateway/refusalanswer.h"

#include <charconv>
#include <string>
#include <system_error>

namespace auburnspread::gateway
{

namespace
{

constexpr std::string_view ForwardHeader = "Auburnspread-Forwarded";
constexpr std::string_view OriginHeader = "Auburnspread-Stream-Origin";
constexpr char OriginSeparator = '/'; ///< no service has it in its name

} // namespace

auto makeForwardMark(std::uint32_t sends) -> http::Header
{
    return { .name = std::string(ForwardHeader), .value = std::to_string(sends) };
}

auto readForwardMark(const http::Headers &headers) -> std::optional<std::uint32_t>
{
    const auto value = http::findHeader(headers, ForwardHeader);
    if (value.empty()) {
        return std::nullopt;
    }
    std::uint32_t sends = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), sends);
    return error == std::errc() ? sends : 0;
}

auto makeOriginHeader(const passthrough::StreamOrigin &origin) -> http::Header
{
    return { .name = std::string(OriginHeader), .value = origin.service + OriginSeparator + origin.version.name };
}

auto readOriginHeader(const http::Headers &headers) -> std::optional<passthrough::StreamOrigin>
{
    const auto value = http::findHeader(headers, OriginHeader);
    const auto separator = value.find(OriginSeparator);
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    return passthrough::StreamOrigin{ .service = std::string(value.substr(0, separator)), .version = { std::string(value.substr(separator + 1)) } };
}

auto withoutForwardMark(const BufferedRequest &message) -> BufferedRequestPointer
{
    auto copy = std::make_shared<BufferedRequest>(message);
    std::erase_if(copy->headers,
                  [](const http::Header &header) { return http::isSameWord(header.name, ForwardHeader) || http::isSameWord(header.name, OriginHeader); });
    return copy;
}

auto readPeerRefusal(const BufferedResponse &response) -> std::optional<PeerRefusal>
{
    const auto reason = http::findHeader(response.headers, ReasonHeader);
    if (reason.empty()) {
        return std::nullopt;
    }
    return PeerRefusal{
        .reason = reasonFromName(reason),
        .outcome = outcomeFromName(http::findHeader(response.headers, OutcomeHeader)).value_or(Outcome::MayHaveRun),
    };
}

} // namespace auburnspread::gateway
