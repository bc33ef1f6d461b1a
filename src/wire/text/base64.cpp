#include "wire/text/base64.h"

#include <openssl/evp.h>

namespace auburnspread::text
{

namespace
{

constexpr std::size_t LettersPerGroup = 4;
constexpr std::size_t BytesPerGroup = 3;

} // namespace

auto encodeBase64(std::string_view bytes) -> std::string
{
    std::string text((bytes.size() + BytesPerGroup - 1) / BytesPerGroup * LettersPerGroup + 1, '\0');
    const auto size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto decodeBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % LettersPerGroup != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / LettersPerGroup * BytesPerGroup, '\0');
    const auto size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // the decoder counts padding as bytes
    const auto padding = text.size() - (text.find_last_not_of('=') + 1);
    if (padding >= BytesPerGroup) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace auburnspread::text
