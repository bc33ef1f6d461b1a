#include "apps/console/draft.h"

#include <nlohmann/json.hpp>

namespace auburnspread::console
{

namespace
{

using configuration::Edit;
using nlohmann::json;

/// Whether the value is empty (removed) or JSON of the kind that its section takes.
auto isEditValue(const Edit &edit) -> bool
{
    if (edit.value.empty()) {
        return configuration::isNamedList(edit.section);
    }
    const auto value = json::parse(edit.value, nullptr, false);
    return edit.section == configuration::Section::Name ? value.is_string() : value.is_object();
}

auto readEdit(const json &item) -> std::optional<Edit>
{
    const auto section = configuration::sectionFromKey(item.at("section").get<std::string>());
    if (!section) {
        return std::nullopt;
    }
    auto edit = Edit{ .section = *section, .name = item.at("name").get<std::string>(), .value = item.at("value").get<std::string>() };
    return isEditValue(edit) ? std::optional(std::move(edit)) : std::nullopt;
}

} // namespace

auto serializeDraft(const ConfigurationDraft &draft) -> std::string
{
    auto edits = json::array();
    for (const auto &edit : draft.edits) {
        edits.push_back({ { "section", sectionKey(edit.section) }, { "name", edit.name }, { "value", edit.value } });
    }
    return json{ { "edited", draft.editedVersion }, { "edits", std::move(edits) } }.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto parseDraft(std::string_view text) -> std::optional<ConfigurationDraft>
{
    try {
        const auto root = json::parse(text);
        auto draft = ConfigurationDraft{ .editedVersion = root.at("edited").get<std::uint64_t>(), .edits = {} };
        for (const auto &item : root.at("edits")) {
            auto edit = readEdit(item);
            if (!edit) {
                return std::nullopt;
            }
            addEdit(draft.edits, *std::move(edit));
        }
        return draft;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace auburnspread::console
