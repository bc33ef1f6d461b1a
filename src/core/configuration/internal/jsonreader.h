/// \file
/// JSON values to document structs, by the field tables. Reports every fault and goes on.

#pragma once

#include "core/configuration/internal/schema.h"
#include "core/configuration/internal/textforms.h"
#include "core/configuration/parser.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnspread::configuration::detail
{

/// Path below \p parent with \p key escaped as RFC 6901 wants it.
auto childPath(const std::string &parent, std::string_view key) -> std::string;

/// Of \p known the key that differs least from \p key, for "did you mean".
auto nearestKey(std::string_view key, const std::vector<std::string_view> &known) -> std::string_view;

enum class UnknownKeys {
    Report,
    Ignore,
};

class JsonReader
{
public:
    explicit JsonReader(std::vector<Problem> &problems, UnknownKeys unknownKeys = UnknownKeys::Report)
        : problems_(problems)
        , unknownKeys_(unknownKeys)
    {
    }

    template <typename Struct>
    auto readObject(const nlohmann::json &json, Struct &target, const std::string &path) -> void
    {
        if (!json.is_object()) {
            report(path, "expected an object, found " + std::string(json.type_name()));
            return;
        }
        auto known = std::vector<std::string_view>();
        forEachField<Struct>([&](const auto &field) {
            known.push_back(field.key);
            const auto found = json.find(std::string(field.key));
            if (found != json.end()) {
                readValue(*found, target.*field.member, field.rule, childPath(path, field.key));
            } else if (field.rule.required) {
                report(path, "lacks the required key \"" + std::string(field.key) + "\"");
            }
        });
        if (unknownKeys_ == UnknownKeys::Report) {
            reportUnknownKeys(json, known, path);
        }
    }

    template <typename Item>
    auto readItems(const nlohmann::json &json, std::vector<Item> &target, const std::string &path) -> void
    {
        readList(json, target, {}, path);
    }

private:
    template <typename Value>
    auto readValue(const nlohmann::json &json, Value &target, const FieldRule &rule, const std::string &path) -> void
    {
        if constexpr (HasSchema<Value>) {
            readObject(json, target, path);
        } else if constexpr (IsVector<Value>::value) {
            readList(json, target, rule, path);
        } else if constexpr (std::is_same_v<Value, bool>) {
            readBoolean(json, target, path);
        } else if constexpr (std::is_same_v<Value, std::string>) {
            readText(json, target, rule, path);
        } else if constexpr (std::is_same_v<Value, Duration>) {
            auto count = std::int64_t{ 0 };
            if (readNumber(json, count, rule, path)) {
                target = std::chrono::milliseconds(count);
            }
        } else {
            auto number = std::int64_t{ 0 };
            if (readNumber(json, number, rule, path)) {
                target = static_cast<Value>(number);
            }
        }
    }

    template <typename Item>
    auto readList(const nlohmann::json &json, std::vector<Item> &target, const FieldRule &rule, const std::string &path) -> void
    {
        if (!json.is_array()) {
            report(path, "expected a list, found " + std::string(json.type_name()));
            return;
        }
        target.clear();
        target.reserve(json.size());
        for (const auto &item : json) {
            const auto itemPath = path + "/" + std::to_string(target.size());
            readValue(item, target.emplace_back(), rule, itemPath);
        }
    }

    auto readBoolean(const nlohmann::json &json, bool &target, const std::string &path) -> void;
    auto readText(const nlohmann::json &json, std::string &target, const FieldRule &rule, const std::string &path) -> void;
    auto readNumber(const nlohmann::json &json, std::int64_t &target, const FieldRule &rule, const std::string &path) -> bool;
    auto reportUnknownKeys(const nlohmann::json &json, const std::vector<std::string_view> &known, const std::string &path) -> void;
    auto report(std::string path, std::string text) -> void;

    std::vector<Problem> &problems_;
    UnknownKeys unknownKeys_;
};

} // namespace auburnspread::configuration::detail
