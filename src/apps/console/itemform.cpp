#include "apps/console/itemform.h"

#include "apps/console/html.h"
#include "core/configuration/fieldtable.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace auburnspread::console
{

namespace
{

using configuration::FieldDescription;
using configuration::FieldKind;
using configuration::Problem;
using configuration::Section;
using nlohmann::json;

constexpr auto NameField = "value";
constexpr std::size_t MaximumRows = 200;

/// Fields directly below \p prefix, with keys in place of paths.
auto fieldsBelow(const std::string &prefix) -> std::vector<FieldDescription>
{
    auto fields = std::vector<FieldDescription>();
    for (auto field : configuration::fieldTable()) {
        if (!field.path.starts_with(prefix)) {
            continue;
        }
        field.path.erase(0, prefix.size());
        if (field.path.find_first_of(".[") == std::string::npos) {
            fields.push_back(std::move(field));
        }
    }
    return fields;
}

auto prefixOf(Section section) -> std::string
{
    return std::string(sectionKey(section)) + (isNamedList(section) ? "[]." : ".");
}

auto readNumber(const std::string &text) -> json
{
    auto number = std::int64_t{ 0 };
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return text;
    }
    return number;
}

auto readList(const std::string &text) -> json
{
    auto list = json::array();
    auto word = std::string();
    for (const auto character : text + ",") {
        if (character != ',' && std::isspace(static_cast<unsigned char>(character)) == 0) {
            word += character;
        } else if (!word.empty()) {
            list.push_back(std::exchange(word, {}));
        }
    }
    return list;
}

auto readObject(const std::string &prefix, const std::string &inputPrefix, const FormData &form) -> json;

/// A row without any text is no row: so an item is added in the empty last row and removed by emptying it.
auto isEmptyRow(const json &row) -> bool
{
    for (const auto &value : row) {
        if ((value.is_string() && !value.get_ref<const std::string &>().empty()) || (value.is_array() && !value.empty())) {
            return false;
        }
    }
    return true;
}

auto readRows(const std::string &prefix, const std::string &inputName, const FormData &form) -> json
{
    auto rows = json::array();
    for (std::size_t index = 0; index < MaximumRows; ++index) {
        const auto rowName = inputName + "." + std::to_string(index) + ".";
        const auto first = form.lower_bound(rowName);
        if (first == form.end() || !first->first.starts_with(rowName)) {
            break;
        }
        auto row = readObject(prefix + "[].", rowName, form);
        if (!isEmptyRow(row)) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

auto readField(const FieldDescription &field, const std::string &prefix, const std::string &inputName, const FormData &form) -> json
{
    const auto text = fieldOf(form, inputName);
    switch (field.kind) {
    case FieldKind::Text:
        return text;
    case FieldKind::TextList:
        return readList(text);
    case FieldKind::Number:
    case FieldKind::Milliseconds:
        return readNumber(text);
    case FieldKind::Boolean:
        return text == "on";
    case FieldKind::ObjectList:
        return readRows(prefix + field.path, inputName, form);
    case FieldKind::Object:
        return readObject(prefix + field.path + ".", inputName + ".", form);
    }
    return nullptr;
}

auto readObject(const std::string &prefix, const std::string &inputPrefix, const FormData &form) -> json
{
    auto object = json::object();
    for (const auto &field : fieldsBelow(prefix)) {
        object[field.path] = readField(field, prefix, inputPrefix + field.path, form);
    }
    return object;
}

auto joinList(const json &list) -> std::string
{
    auto text = std::string();
    for (const auto &item : list) {
        text += (text.empty() ? "" : ", ") + (item.is_string() ? item.get<std::string>() : item.dump());
    }
    return text;
}

auto inputText(const json &value) -> std::string
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_array() ? joinList(value) : value.dump();
}

/// Problems of one input: of its value, or of an item of its list.
auto problemsOf(const std::vector<Problem> &problems, const std::string &path) -> std::string
{
    auto text = std::string();
    for (const auto &problem : problems) {
        if (problem.path == path || problem.path.starts_with(path + "/")) {
            text += (text.empty() ? "" : "; ") + problem.text;
        }
    }
    return text;
}

auto renderRange(const FieldDescription &field) -> std::string
{
    auto range = field.range;
    range += field.unit.empty() ? "" : " " + field.unit;
    if (field.kind == FieldKind::TextList) {
        range = "names with commas between them";
    }
    return range.empty() ? field.text : field.text + " (" + range + ")";
}

auto renderInput(const FieldDescription &field, const std::string &name, const json &value, const std::string &fault) -> std::string
{
    const auto id = escapeHtml(name);
    const auto help = id + "-help";
    auto html = "<label for=\"" + id + "\">" + escapeHtml(field.path) + "</label>";
    html += "<input id=\"" + id + "\" name=\"" + id + "\" aria-describedby=\"" + help + "\"" + (fault.empty() ? "" : " aria-invalid=\"true\"");
    if (field.kind == FieldKind::Boolean) {
        html += std::string(" type=\"checkbox\" value=\"on\"") + (value == true ? " checked" : "") + ">";
    } else {
        html += " type=\"text\" autocomplete=\"off\" value=\"" + escapeHtml(inputText(value)) + "\">";
    }
    html += "<small id=\"" + help + "\">" + (fault.empty() ? "" : "<strong class=\"error\">" + escapeHtml(fault) + "</strong>");
    return html + escapeHtml(renderRange(field)) + "</small>";
}

/// Where an object's inputs and values stand.
struct Place {
    std::string prefix;      ///< in the table of fields: `classes[].models[].`
    std::string inputPrefix; ///< of input names: `models.0.`
    std::string path;        ///< of problems: `/models/0`
};

auto renderObject(const Place &place, const json &object, const std::vector<Problem> &problems) -> std::string;

auto renderRows(const FieldDescription &field, const Place &place, const json &rows, const std::vector<Problem> &problems) -> std::string
{
    auto html = std::string();
    const auto own = problemsOf(problems, place.path + "/" + field.path);
    for (std::size_t index = 0; index <= rows.size(); ++index) {
        const auto number = std::to_string(index);
        const auto row = Place{ .prefix = place.prefix + field.path + "[].",
                                .inputPrefix = place.inputPrefix + field.path + "." + number + ".",
                                .path = place.path + "/" + field.path + "/" + number };
        const auto isNew = index == rows.size();
        html += "<fieldset><legend>" + escapeHtml(field.path) + (isNew ? ", one more" : " " + std::to_string(index + 1)) + "</legend>";
        html += renderObject(row, isNew ? json::object() : rows[index], problems) + "</fieldset>";
    }
    const auto fault = own.empty() ? std::string() : "<strong class=\"error\">" + escapeHtml(own) + "</strong>";
    return "<h3>" + escapeHtml(field.path) + "</h3><small>" + fault + escapeHtml(field.text) + " Empty a row to remove it.</small>" + html;
}

/// What an input shows if the object lacks the field: the default, or nothing in a new row.
auto fallbackValue(const FieldDescription &field) -> json
{
    const auto value = json::parse(field.defaultValue, nullptr, false);
    return value.is_discarded() ? json("") : value;
}

auto renderObject(const Place &place, const json &object, const std::vector<Problem> &problems) -> std::string
{
    auto html = std::string();
    for (const auto &field : fieldsBelow(place.prefix)) {
        const auto value = object.contains(field.path) ? object[field.path] : fallbackValue(field);
        if (field.kind == FieldKind::ObjectList) {
            html += renderRows(field, place, value, problems);
            continue;
        }
        html += renderInput(field, place.inputPrefix + field.path, value, problemsOf(problems, place.path + "/" + field.path));
    }
    return html;
}

auto nameField() -> FieldDescription
{
    for (const auto &field : configuration::fieldTable()) {
        if (field.path == "name") {
            return field;
        }
    }
    return {};
}

} // namespace

auto readItem(Section section, const FormData &form) -> std::string
{
    if (section == Section::Name) {
        return json(fieldOf(form, NameField)).dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return readObject(prefixOf(section), {}, form).dump(-1, ' ', false, json::error_handler_t::replace);
}

auto renderItem(Section section, std::string_view value, const std::vector<Problem> &problems) -> std::string
{
    const auto item = json::parse(value, nullptr, false);
    if (section == Section::Name) {
        return renderInput(nameField(), NameField, item, problemsOf(problems, ""));
    }
    return renderObject({ .prefix = prefixOf(section), .inputPrefix = {}, .path = {} }, item, problems);
}

auto problemsBelow(const std::vector<Problem> &problems, std::string_view path) -> std::vector<Problem>
{
    auto below = std::vector<Problem>();
    for (const auto &problem : problems) {
        const auto inside = problem.path == path || problem.path.starts_with(std::string(path) + "/");
        if (inside) {
            below.push_back({ .path = problem.path.substr(path.size()), .text = problem.text });
        }
    }
    return below;
}

} // namespace auburnspread::console
