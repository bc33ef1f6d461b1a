#include "wire/peer/internal/cborbounds.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace auburnspread::peer::detail
{

namespace
{

using Json = nlohmann::json;

constexpr int MaxDepth = 8;
constexpr std::size_t MaxValues = 64UL * 1024;

/// Counts levels and values; a false answer ends the parse. The names are the library's.
struct BoundsCounter {
    int depth = 0;
    std::size_t values = 0;

    auto count() -> bool
    {
        return ++values <= MaxValues;
    }
    auto open() -> bool
    {
        return ++depth <= MaxDepth && count();
    }
    auto close() -> bool
    {
        --depth;
        return true;
    }

    // NOLINTBEGIN(readability-identifier-naming)
    auto null() -> bool
    {
        return count();
    }
    auto boolean(bool /*value*/) -> bool
    {
        return count();
    }
    auto number_integer(Json::number_integer_t /*value*/) -> bool
    {
        return count();
    }
    auto number_unsigned(Json::number_unsigned_t /*value*/) -> bool
    {
        return count();
    }
    auto number_float(Json::number_float_t /*value*/, const Json::string_t & /*text*/) -> bool
    {
        return count();
    }
    auto string(Json::string_t & /*value*/) -> bool
    {
        return count();
    }
    auto binary(Json::binary_t & /*value*/) -> bool
    {
        return count();
    }
    auto start_object(std::size_t /*size*/) -> bool
    {
        return open();
    }
    auto key(Json::string_t & /*value*/) -> bool
    {
        return true;
    }
    auto end_object() -> bool
    {
        return close();
    }
    auto start_array(std::size_t /*size*/) -> bool
    {
        return open();
    }
    auto end_array() -> bool
    {
        return close();
    }
    auto parse_error(std::size_t /*position*/, const std::string & /*token*/, const Json::exception & /*error*/) -> bool
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)
};

} // namespace

auto isWithinBounds(std::string_view bytes) -> bool
{
    BoundsCounter counter;
    return Json::sax_parse(bytes.begin(), bytes.end(), &counter, Json::input_format_t::cbor);
}

} // namespace auburnspread::peer::detail
