#include "wire/peer/internal/fields.h"

#include "wire/peer/messages.h"

#include <limits>
#include <utility>

namespace auburnspread::peer::detail
{

Fields::Fields(const Json &list, std::string what)
    : list_(list)
    , what_(std::move(what))
{
    if (!list.is_array()) {
        throw DecodeError(what_ + " is not a list");
    }
}

auto Fields::text() -> std::string
{
    const auto &value = next();
    if (!value.is_string()) {
        fail("is not text");
    }
    const auto &result = value.get_ref<const std::string &>();
    if (result.size() > MaxNameBytes) {
        fail("is too long");
    }
    return result;
}

auto Fields::number32() -> std::uint32_t
{
    const auto value = number64();
    if (value > std::numeric_limits<std::uint32_t>::max()) {
        fail("is too large");
    }
    return static_cast<std::uint32_t>(value);
}

auto Fields::number64() -> std::uint64_t
{
    const auto &value = next();
    if (!value.is_number_unsigned()) {
        fail("is not a number from 0");
    }
    return value.get<std::uint64_t>();
}

auto Fields::bytes(std::size_t maxBytes) -> const Json::binary_t &
{
    const auto &value = next();
    if (!value.is_binary()) {
        fail("is not bytes");
    }
    const auto &result = value.get_binary();
    if (result.size() > maxBytes) {
        fail("is too long");
    }
    return result;
}

auto Fields::list() -> const Json &
{
    const auto &value = next();
    if (!value.is_array()) {
        fail("is not a list");
    }
    if (value.size() > MaxListEntries) {
        fail("is too long");
    }
    return value;
}

auto Fields::isNull() -> bool
{
    const bool result = next().is_null();
    if (!result) {
        --position_;
    }
    return result;
}

auto Fields::next() -> const Json &
{
    if (position_ >= list_.size()) {
        fail("is missing");
    }
    return list_[position_++];
}

auto Fields::fail(const char *why) const -> void
{
    throw DecodeError(what_ + ": field " + std::to_string(position_) + ' ' + why);
}

} // namespace auburnspread::peer::detail
