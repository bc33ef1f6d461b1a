/// \file
/// Document structs to JSON values, by the field tables.

#pragma once

#include "core/configuration/internal/schema.h"

#include <nlohmann/json.hpp>

namespace auburnspread::configuration::detail
{

template <typename Value>
auto toJsonValue(const Value &value) -> nlohmann::json
{
    if constexpr (HasSchema<Value>) {
        auto object = nlohmann::json::object();
        forEachField<Value>([&](const auto &field) { object[std::string(field.key)] = toJsonValue(value.*field.member); });
        return object;
    } else if constexpr (IsVector<Value>::value) {
        auto list = nlohmann::json::array();
        for (const auto &item : value) {
            list.push_back(toJsonValue(item));
        }
        return list;
    } else if constexpr (std::is_same_v<Value, Duration>) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    } else {
        return value;
    }
}

} // namespace auburnspread::configuration::detail
