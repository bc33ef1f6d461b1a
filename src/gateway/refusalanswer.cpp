#include "gateway/refusalanswer.h"

#include "core/base/reason.h"

#include <array>
#include <charconv>
#include <string>
#include <system_error>

namespace auburnspread::gateway
{

namespace
{

constexpr auto TextType = "text/plain";

auto formatSeconds(Duration duration) -> std::string
{
    constexpr int Decimals = 3;
    std::array<char, 32> text{};
    const auto seconds = std::chrono::duration<double>(duration).count();
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed, Decimals);
    return error == std::errc() ? std::string(text.data(), end) : "1";
}

} // namespace

auto makeRefusalResponse(const passthrough::Refuse &refusal) -> BufferedResponse
{
    BufferedResponse response{ .status = refusal.status, .headers = { { "Content-Type", TextType } } };
    response.headers.push_back({ std::string(ReasonHeader), std::string(reasonInfo(refusal.reason).name) });
    response.headers.push_back({ std::string(OutcomeHeader), std::string(outcomeName(refusal.outcome)) });
    if (refusal.retryAfter) {
        response.headers.push_back({ "Retry-After", formatSeconds(*refusal.retryAfter) });
    }
    response.body = std::string(reasonInfo(refusal.reason).name) + "\n";
    return response;
}

} // namespace auburnspread::gateway
