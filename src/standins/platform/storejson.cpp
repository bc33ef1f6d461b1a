#include "standins/platform/storejson.h"

#include "standins/commandline.h"
#include "wire/text/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace auburnspread::standins
{

namespace
{

auto toJson(const std::string &key, const StoredValue &stored) -> nlohmann::json
{
    nlohmann::json json = { { "Key", key },
                            { "Value", text::encodeBase64(stored.value) },
                            { "Flags", stored.flags },
                            { "CreateIndex", stored.createIndex },
                            { "ModifyIndex", stored.modifyIndex },
                            { "LockIndex", stored.lockIndex } };
    if (!stored.session.empty()) {
        json["Session"] = stored.session;
    }
    return json;
}

} // namespace

auto parseDuration(const std::string &text) -> Duration
{
    const auto unitAt = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto count = static_cast<std::int64_t>(parseCount(text.substr(0, unitAt)));
    const auto unit = text.substr(unitAt);
    if (unit == "ms") {
        return std::chrono::milliseconds(count);
    }
    if (unit == "s") {
        return std::chrono::seconds(count);
    }
    if (unit == "m") {
        return std::chrono::minutes(count);
    }
    if (unit == "h") {
        return std::chrono::hours(count);
    }
    throw std::invalid_argument("'" + text + "' is not a time with the unit ms, s, m or h");
}

auto listValues(const Store &store, const std::string &key, bool isPrefix) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    if (!isPrefix) {
        if (const auto *stored = findValue(store, key)) {
            list.push_back(toJson(key, *stored));
        }
        return list;
    }
    for (auto entry = store.values.lower_bound(key); entry != store.values.end() && entry->first.starts_with(key); ++entry) {
        list.push_back(toJson(entry->first, entry->second));
    }
    return list;
}

auto readOperations(const nlohmann::json &body) -> std::vector<CasOperation>
{
    std::vector<CasOperation> operations;
    for (const auto &entry : body) {
        const auto &operation = entry.at("KV");
        if (operation.at("Verb") != "cas") {
            throw std::invalid_argument("only the verb cas is served");
        }
        auto value = text::decodeBase64(operation.at("Value").get_ref<const std::string &>());
        if (!value) {
            throw std::invalid_argument("value is not base64");
        }
        operations.push_back(
            { .key = operation.at("Key").get<std::string>(), .value = std::move(*value), .index = operation.at("Index").get<std::uint64_t>() });
    }
    return operations;
}

auto transactionErrors(const std::vector<std::size_t> &failed) -> nlohmann::json
{
    auto errors = nlohmann::json::array();
    for (const auto position : failed) {
        errors.push_back({ { "OpIndex", position }, { "What", "failed index check" } });
    }
    return { { "Results", nullptr }, { "Errors", errors } };
}

auto transactionResults(const Store &store, const std::vector<CasOperation> &operations) -> nlohmann::json
{
    auto results = nlohmann::json::array();
    for (const auto &operation : operations) {
        auto value = toJson(operation.key, *findValue(store, operation.key));
        value["Value"] = nullptr;
        results.push_back({ { "KV", value } });
    }
    return { { "Results", results }, { "Errors", nullptr } };
}

auto readSession(const std::string &body) -> Session
{
    const auto json = body.empty() ? nlohmann::json::object() : nlohmann::json::parse(body);
    Session session;
    session.name = json.value("Name", "");
    session.ttlText = json.value("TTL", "");
    session.ttl = session.ttlText.empty() ? Duration::zero() : parseDuration(session.ttlText);
    session.deletesKeys = json.value("Behavior", "release") == "delete";
    return session;
}

auto toJson(const std::string &id, const Session &session) -> nlohmann::json
{
    return { { "ID", id }, { "Name", session.name }, { "TTL", session.ttlText }, { "Behavior", session.deletesKeys ? "delete" : "release" } };
}

} // namespace auburnspread::standins
