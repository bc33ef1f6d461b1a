#include "wire/platform/internal/codec.h"

#include <event2/http.h>
#include <openssl/evp.h>

#include <cstdlib>
#include <memory>

namespace auburnspread::platform::detail
{

namespace
{

using nlohmann::json;

constexpr std::size_t Base64Group = 4;
constexpr std::size_t ByteGroup = 3;

auto parseArray(std::string_view body) -> std::optional<json>
{
    auto array = json::parse(body, nullptr, false);
    if (!array.is_array()) {
        return std::nullopt;
    }
    return array;
}

auto toEntry(const json &item) -> std::optional<Entry>
{
    Entry entry{ .key = item.at("Key"),
                 .createIndex = item.value("CreateIndex", std::uint64_t{ 0 }),
                 .modifyIndex = item.at("ModifyIndex"),
                 .lockIndex = item.value("LockIndex", std::uint64_t{ 0 }),
                 .session = item.value("Session", "") };
    if (item.at("Value").is_null()) {
        return entry; // how the service writes an empty value
    }
    auto value = decodeBase64(item.at("Value").get_ref<const std::string &>());
    if (!value) {
        return std::nullopt;
    }
    entry.value = std::move(*value);
    return entry;
}

auto toVm(const json &item) -> std::optional<Vm>
{
    const auto state = vmStateFromName(item.at("state").get_ref<const std::string &>());
    if (!state) {
        return std::nullopt;
    }
    return Vm{ .name = item.at("name"), .address = item.at("address"), .state = *state };
}

/// Every item of the array in \p body, or nothing if one of them makes no sense.
template <typename Item>
auto parseItems(std::string_view body, auto(*convert)(const json &)->std::optional<Item>) -> std::optional<std::vector<Item>>
{
    const auto array = parseArray(body);
    if (!array) {
        return std::nullopt;
    }
    std::vector<Item> items;
    items.reserve(array->size());
    try {
        for (const auto &element : *array) {
            auto item = convert(element);
            if (!item) {
                return std::nullopt;
            }
            items.push_back(std::move(*item));
        }
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return items;
}

auto encodePart(std::string_view part) -> std::string
{
    if (part.empty()) {
        return "";
    }
    const std::unique_ptr<char, decltype(&std::free)> encoded(evhttp_uriencode(part.data(), static_cast<ev_ssize_t>(part.size()), 0), std::free);
    return encoded.get();
}

} // namespace

auto encodeKey(std::string_view key) -> std::string
{
    std::string path;
    while (true) {
        const auto slash = key.find('/');
        path += encodePart(key.substr(0, slash));
        if (slash == std::string_view::npos) {
            return path;
        }
        path += '/';
        key.remove_prefix(slash + 1);
    }
}

auto encodeBase64(std::string_view bytes) -> std::string
{
    std::string text((bytes.size() + ByteGroup - 1) / ByteGroup * Base64Group + 1, '\0');
    const auto size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto decodeBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % Base64Group != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / Base64Group * ByteGroup, '\0');
    const auto size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // the decoder counts padding as bytes
    const auto padding = text.size() - (text.find_last_not_of('=') + 1);
    if (padding >= ByteGroup) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

auto parseEntries(std::string_view body) -> std::optional<std::vector<Entry>>
{
    return parseItems<Entry>(body, toEntry);
}

auto parseVms(std::string_view body) -> std::optional<std::vector<Vm>>
{
    return parseItems<Vm>(body, toVm);
}

auto parseSessionId(std::string_view body) -> std::optional<std::string>
{
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("ID") || !answer["ID"].is_string()) {
        return std::nullopt;
    }
    return answer["ID"].get<std::string>();
}

auto encodeCreations(const std::vector<Creation> &creations) -> std::string
{
    auto operations = json::array();
    for (const auto &creation : creations) {
        operations.push_back({ { "KV", { { "Verb", "cas" }, { "Key", creation.key }, { "Value", encodeBase64(creation.value) }, { "Index", 0 } } } });
    }
    return operations.dump();
}

auto parseConflicts(std::string_view body) -> std::vector<std::size_t>
{
    std::vector<std::size_t> places;
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("Errors") || !answer["Errors"].is_array()) {
        return places;
    }
    for (const auto &error : answer["Errors"]) {
        if (error.is_object() && error.contains("OpIndex") && error["OpIndex"].is_number_unsigned()) {
            places.push_back(error["OpIndex"]);
        }
    }
    return places;
}

} // namespace auburnspread::platform::detail
