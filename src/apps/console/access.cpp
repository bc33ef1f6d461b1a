#include "apps/console/access.h"

#include "apps/administration/configurationclient.h"
#include "wire/text/base64.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace auburnspread::console
{

namespace
{

constexpr std::size_t MinimumTokenLength = 16;
constexpr std::size_t SaltLength = 32;
constexpr std::string_view BasicScheme = "Basic ";

auto toHex(const unsigned char *bytes, std::size_t size) -> std::string
{
    constexpr auto Digits = std::string_view("0123456789abcdef");
    constexpr unsigned LowHalf = 0x0f;
    auto hex = std::string();
    for (std::size_t index = 0; index < size; ++index) {
        hex += Digits[bytes[index] >> 4U];
        hex += Digits[bytes[index] & LowHalf];
    }
    return hex;
}

auto macOf(std::string_view key, std::string_view text) -> std::string
{
    auto mac = std::array<unsigned char, EVP_MAX_MD_SIZE>();
    auto size = 0U;
    const auto *const data = reinterpret_cast<const unsigned char *>(text.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, text.size(), mac.data(), &size) == nullptr) {
        throw std::runtime_error("HMAC failed");
    }
    return toHex(mac.data(), size);
}

auto isEqual(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto trim(std::string_view text) -> std::string_view
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

/// Name and token, or "" for a text that is too long or no Base64.
auto decodeCredentials(std::string_view encoded) -> std::string
{
    constexpr std::size_t MaximumCredentials = 1024;
    return encoded.size() > MaximumCredentials ? std::string() : text::decodeBase64(encoded).value_or("");
}

} // namespace

auto parseOperators(std::string_view text) -> std::optional<std::vector<Operator>>
{
    auto operators = std::vector<Operator>();
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(item.size() + 1, text.size()));
        const auto colon = item.find(':');
        if (colon == std::string_view::npos) {
            return std::nullopt;
        }
        auto account = Operator{ .name = std::string(trim(item.substr(0, colon))), .token = std::string(trim(item.substr(colon + 1))) };
        const auto isKnown = std::ranges::find(operators, account.name, &Operator::name) != operators.end();
        if (account.name.empty() || account.token.size() < MinimumTokenLength || isKnown) {
            return std::nullopt;
        }
        operators.push_back(std::move(account));
    }
    return operators;
}

auto authenticate(const std::vector<Operator> &operators, const http::IncomingRequest &request) -> const Operator *
{
    const auto header = http::findHeader(request.headers, "Authorization");
    if (!header.starts_with(BasicScheme)) {
        return nullptr;
    }
    const auto credentials = decodeCredentials(header.substr(BasicScheme.size()));
    const auto colon = std::min(credentials.find(':'), credentials.size());
    const auto name = credentials.substr(0, colon);
    const auto token = colon < credentials.size() ? credentials.substr(colon + 1) : std::string();
    // Comparing MACs makes the time independent of how much of a token was right, its length included.
    const auto given = macOf("token", token);
    const Operator *found = nullptr;
    for (const auto &account : operators) {
        const auto isRight = isEqual(macOf("token", account.token), given);
        if (isRight && account.name == name) {
            found = &account;
        }
    }
    return found;
}

auto makeFormToken(const Operator &account) -> std::string
{
    const auto salt = administration::makeNonce();
    return salt + macOf(account.token, salt);
}

auto isFormToken(const Operator &account, std::string_view formToken) -> bool
{
    const auto salt = formToken.substr(0, std::min(SaltLength, formToken.size()));
    return isEqual(formToken, std::string(salt) + macOf(account.token, salt));
}

auto isSameOrigin(const http::IncomingRequest &request) -> bool
{
    const auto origin = http::findHeader(request.headers, "Origin");
    if (origin.empty()) {
        return true;
    }
    const auto host = std::string(http::findHeader(request.headers, "Host"));
    return origin == "http://" + host || origin == "https://" + host;
}

} // namespace auburnspread::console
