#include "core/configuration/fieldtable.h"

#include "core/base/nametable.h"
#include "core/configuration/internal/jsonvalue.h"

namespace auburnspread::configuration
{

namespace
{

constexpr auto KindNames = std::to_array<NamedValue<FieldKind>>({
    { FieldKind::Text, "text" },
    { FieldKind::TextList, "list of texts" },
    { FieldKind::Number, "number" },
    { FieldKind::Milliseconds, "number" },
    { FieldKind::Boolean, "boolean" },
    { FieldKind::Object, "object" },
    { FieldKind::ObjectList, "list of objects" },
});

template <typename Value>
constexpr auto kindOf() -> FieldKind
{
    if constexpr (detail::HasSchema<Value>) {
        return FieldKind::Object;
    } else if constexpr (std::is_same_v<Value, std::vector<std::string>>) {
        return FieldKind::TextList;
    } else if constexpr (detail::IsVector<Value>::value) {
        return FieldKind::ObjectList;
    } else if constexpr (std::is_same_v<Value, bool>) {
        return FieldKind::Boolean;
    } else if constexpr (std::is_same_v<Value, std::string>) {
        return FieldKind::Text;
    } else if constexpr (std::is_same_v<Value, Duration>) {
        return FieldKind::Milliseconds;
    } else {
        return FieldKind::Number;
    }
}

auto textRange(detail::TextForm form) -> std::string
{
    switch (form) {
    case detail::TextForm::Name:
        return "name";
    case detail::TextForm::Address:
        return "IP number:port";
    case detail::TextForm::Method:
        return "HTTP method";
    case detail::TextForm::PathPrefix:
        return "path";
    }
    return {};
}

auto rangeOf(FieldKind kind, const detail::FieldRule &rule) -> std::string
{
    switch (kind) {
    case FieldKind::Text:
    case FieldKind::TextList:
        return textRange(rule.form);
    case FieldKind::Number:
    case FieldKind::Milliseconds:
        return std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
    case FieldKind::Boolean:
        return "true, false";
    case FieldKind::Object:
    case FieldKind::ObjectList:
        return {};
    }
    return {};
}

template <typename Struct>
auto describe(const std::string &prefix, std::vector<FieldDescription> &table) -> void
{
    const auto defaults = Struct();
    detail::forEachField<Struct>([&]<typename Value>(const detail::Field<Struct, Value> &field) {
        constexpr auto Kind = kindOf<Value>();
        const auto path = prefix + std::string(field.key);
        const auto defaultValue = Kind == FieldKind::Object ? std::string("{}") : detail::toJsonValue(defaults.*field.member).dump();
        table.push_back({ .path = path,
                          .kind = Kind,
                          .unit = std::string(field.rule.unit),
                          .defaultValue = field.rule.required ? "required" : defaultValue,
                          .range = rangeOf(Kind, field.rule),
                          .text = std::string(field.text) });
        if constexpr (Kind == FieldKind::Object) {
            describe<Value>(path + ".", table);
        } else if constexpr (Kind == FieldKind::ObjectList) {
            describe<typename Value::value_type>(path + "[].", table);
        }
    });
}

} // namespace

auto fieldKindName(FieldKind kind) -> std::string_view
{
    return findName(KindNames, kind);
}

auto fieldTable() -> std::vector<FieldDescription>
{
    auto table = std::vector<FieldDescription>();
    describe<Document>({}, table);
    return table;
}

} // namespace auburnspread::configuration
