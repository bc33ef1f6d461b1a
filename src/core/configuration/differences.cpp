#include "core/configuration/differences.h"

#include "core/configuration/internal/jsonreader.h"
#include "core/configuration/internal/jsonvalue.h"

#include <map>

namespace auburnspread::configuration
{

namespace
{

using nlohmann::json;

/// Whether all items of \p list are objects with a name, so that they are addressed by it.
auto isNamedList(const json &list) -> bool
{
    if (!list.is_array()) {
        return false;
    }
    for (const auto &item : list) {
        if (!item.is_object() || !item.contains("name")) {
            return false;
        }
    }
    return true;
}

auto byName(const json &list) -> std::map<std::string, const json *>
{
    auto named = std::map<std::string, const json *>();
    for (const auto &item : list) {
        named.emplace(item.at("name").get<std::string>(), &item);
    }
    return named;
}

auto byKey(const json &object) -> std::map<std::string, const json *>
{
    auto keyed = std::map<std::string, const json *>();
    for (const auto &[key, value] : object.items()) {
        keyed.emplace(key, &value);
    }
    return keyed;
}

auto compare(const json &oldValue, const json &newValue, const std::string &path, std::vector<Change> &changes) -> void;

auto compareChildren(const std::map<std::string, const json *> &oldChildren,
                     const std::map<std::string, const json *> &newChildren,
                     const std::string &path,
                     std::vector<Change> &changes) -> void
{
    for (const auto &[key, oldChild] : oldChildren) {
        const auto found = newChildren.find(key);
        if (found == newChildren.end()) {
            changes.push_back({ .path = detail::childPath(path, key), .oldValue = oldChild->dump(), .newValue = {} });
        } else {
            compare(*oldChild, *found->second, detail::childPath(path, key), changes);
        }
    }
    for (const auto &[key, newChild] : newChildren) {
        if (!oldChildren.contains(key)) {
            changes.push_back({ .path = detail::childPath(path, key), .oldValue = {}, .newValue = newChild->dump() });
        }
    }
}

auto compare(const json &oldValue, const json &newValue, const std::string &path, std::vector<Change> &changes) -> void
{
    if (oldValue == newValue) {
        return;
    }
    if (oldValue.is_object() && newValue.is_object()) {
        compareChildren(byKey(oldValue), byKey(newValue), path, changes);
        return;
    }
    if (isNamedList(oldValue) && isNamedList(newValue)) {
        compareChildren(byName(oldValue), byName(newValue), path, changes);
        return;
    }
    changes.push_back({ .path = path, .oldValue = oldValue.dump(), .newValue = newValue.dump() });
}

} // namespace

auto differences(const Document &oldDocument, const Document &newDocument) -> std::vector<Change>
{
    auto changes = std::vector<Change>();
    compare(detail::toJsonValue(oldDocument), detail::toJsonValue(newDocument), {}, changes);
    return changes;
}

} // namespace auburnspread::configuration
