#include "core/configuration/edits.h"

#include "core/base/nametable.h"
#include "core/configuration/internal/jsonvalue.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace auburnspread::configuration
{

namespace
{

using nlohmann::json;

constexpr auto SectionKeys = std::to_array<NamedValue<Section>>({
    { Section::FailureDomains, "failure_domains" },
    { Section::Models, "models" },
    { Section::Classes, "classes" },
    { Section::Workspaces, "workspaces" },
    { Section::BackendServers, "backend_servers" },
    { Section::Services, "services" },
    { Section::Limits, "limits" },
    { Section::Name, "name" },
});

constexpr auto Sections = std::to_array<Section>({
    Section::Workspaces,
    Section::Classes,
    Section::Models,
    Section::BackendServers,
    Section::Services,
    Section::FailureDomains,
    Section::Limits,
    Section::Name,
});

/// Calls \p visit with the list of a section. Not for Limits and Name.
template <typename Visit>
auto visitList(const Document &document, Section section, const Visit &visit) -> void
{
    switch (section) {
    case Section::FailureDomains:
        visit(document.failureDomains);
        break;
    case Section::Models:
        visit(document.models);
        break;
    case Section::Classes:
        visit(document.classes);
        break;
    case Section::Workspaces:
        visit(document.workspaces);
        break;
    case Section::BackendServers:
        visit(document.backendServers);
        break;
    case Section::Services:
        visit(document.services);
        break;
    case Section::Limits:
    case Section::Name:
        break;
    }
}

auto parseValue(const Edit &edit) -> json
{
    auto value = json::parse(edit.value, nullptr, false);
    if (value.is_discarded()) {
        throw std::invalid_argument("the edit of " + std::string(sectionKey(edit.section)) + " " + edit.name + " is not JSON");
    }
    return value;
}

auto hasName(const json &item, const std::string &name) -> bool
{
    const auto found = item.find("name");
    return found != item.end() && found->is_string() && found->get_ref<const std::string &>() == name;
}

auto applyToList(json &list, const Edit &edit) -> void
{
    const auto found = std::ranges::find_if(list, [&edit](const json &item) { return hasName(item, edit.name); });
    if (edit.value.empty()) {
        if (found != list.end()) {
            list.erase(found);
        }
        return;
    }
    auto value = parseValue(edit);
    if (found != list.end()) {
        *found = std::move(value);
    } else {
        list.push_back(std::move(value));
    }
}

} // namespace

auto sectionKey(Section section) -> std::string_view
{
    return findName(SectionKeys, section);
}

auto sectionFromKey(std::string_view key) -> std::optional<Section>
{
    return findValue(SectionKeys, key);
}

auto allSections() -> std::span<const Section>
{
    return Sections;
}

auto isNamedList(Section section) -> bool
{
    return section != Section::Limits && section != Section::Name;
}

auto addEdit(Edits &edits, Edit edit) -> void
{
    std::erase_if(edits, [&edit](const Edit &earlier) { return earlier.section == edit.section && earlier.name == edit.name; });
    edits.push_back(std::move(edit));
}

auto applyEdits(const Document &document, const Edits &edits) -> std::string
{
    auto root = detail::toJsonValue(document);
    for (const auto &edit : edits) {
        auto &target = root[std::string(sectionKey(edit.section))];
        if (isNamedList(edit.section)) {
            applyToList(target, edit);
        } else {
            target = parseValue(edit);
        }
    }
    return root.dump();
}

auto itemValue(const Document &document, Section section, std::string_view name) -> std::string
{
    if (section == Section::Limits) {
        return detail::toJsonValue(document.limits).dump();
    }
    if (section == Section::Name) {
        return json(document.name).dump();
    }
    auto value = std::string();
    visitList(document, section, [&](const auto &list) {
        for (const auto &item : list) {
            if (item.name == name) {
                value = detail::toJsonValue(item).dump();
            }
        }
    });
    return value;
}

auto defaultItem(Section section) -> std::string
{
    auto value = std::string();
    visitList(Document(), section, [&]<typename Item>(const std::vector<Item> &) { value = detail::toJsonValue(Item()).dump(); });
    return value;
}

auto itemNames(const Document &document, Section section) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    visitList(document, section, [&](const auto &list) {
        for (const auto &item : list) {
            names.push_back(item.name);
        }
    });
    return names;
}

} // namespace auburnspread::configuration
