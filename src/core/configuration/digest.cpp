#include "core/configuration/digest.h"

#include "core/configuration/manifest.h"

#include <openssl/sha.h>

#include <array>

namespace auburnspread::configuration
{

auto digestOf(std::string_view content) -> std::string
{
    constexpr auto HexDigits = std::string_view("0123456789abcdef");
    constexpr unsigned LowHalf = 0x0f;
    auto hash = std::array<unsigned char, SHA256_DIGEST_LENGTH>();
    SHA256(reinterpret_cast<const unsigned char *>(content.data()), content.size(), hash.data());
    auto hex = std::string();
    for (const unsigned byte : hash) {
        hex += HexDigits[byte >> 4U];
        hex += HexDigits[byte & LowHalf];
    }
    return hex;
}

auto digestOf(const Document &document) -> std::string
{
    return split(document).digest;
}

} // namespace auburnspread::configuration
