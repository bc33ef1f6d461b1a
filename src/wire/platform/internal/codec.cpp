#include "wire/platform/internal/codec.h"

#include "wire/text/base64.h"

namespace auburnspread::platform::detail
{

namespace
{

using nlohmann::json;

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
    auto value = text::decodeBase64(item.at("Value").get_ref<const std::string &>());
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

} // namespace

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
        operations.push_back({ { "KV", { { "Verb", "cas" }, { "Key", creation.key }, { "Value", text::encodeBase64(creation.value) }, { "Index", 0 } } } });
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
