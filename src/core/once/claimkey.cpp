#include "core/once/claimkey.h"

#include <xxhash.h>

#include <cstdint>

namespace auburnspread::once
{

namespace
{

constexpr std::string_view Prefix = "auburnspread/claims/";
constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr int BitsPerDigit = 4;
constexpr int DigitsPerWord = 16;

auto isPlain(char character) -> bool
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_';
}

auto appendEscaped(std::string &path, std::string_view name) -> void
{
    for (const char character : name) {
        if (isPlain(character)) {
            path += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        path += '%';
        path += HexDigits[byte >> BitsPerDigit];
        path += HexDigits[byte & 0xFU];
    }
}

auto appendHex(std::string &path, std::uint64_t word) -> void
{
    for (int digit = DigitsPerWord - 1; digit >= 0; --digit) {
        path += HexDigits[(word >> (digit * BitsPerDigit)) & 0xFU];
    }
}

} // namespace

auto makeClaimKey(std::string_view workspace, std::string_view idempotencyKey) -> ClaimKey
{
    const XXH128_hash_t hash = XXH3_128bits(idempotencyKey.data(), idempotencyKey.size());
    ClaimKey key{ .path = std::string(Prefix) };
    appendEscaped(key.path, workspace);
    key.path += '/';
    appendHex(key.path, hash.high64);
    appendHex(key.path, hash.low64);
    return key;
}

} // namespace auburnspread::once
