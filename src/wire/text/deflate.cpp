#include "wire/text/deflate.h"

#include <zlib.h>

#include <stdexcept>

namespace auburnspread::text
{

namespace
{

auto toZlib(std::string_view bytes) -> const Bytef *
{
    return reinterpret_cast<const Bytef *>(bytes.data());
}

} // namespace

auto pack(std::string_view bytes) -> std::string
{
    auto size = compressBound(bytes.size());
    std::string packed(size, '\0');
    // the buffer is as large as zlib asks for, so only memory can be missing
    if (compress2(reinterpret_cast<Bytef *>(packed.data()), &size, toZlib(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK) {
        throw std::runtime_error("pack: no memory");
    }
    packed.resize(size);
    return packed;
}

auto unpack(std::string_view packed, std::size_t size) -> std::optional<std::string>
{
    std::string bytes(size, '\0');
    uLongf written = size;
    const auto status = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &written, toZlib(packed), packed.size());
    return status == Z_OK && written == size ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace auburnspread::text
