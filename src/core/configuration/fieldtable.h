/// \file
/// Every field that a document may have, for the operators' page and for forms.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::configuration
{

enum class FieldKind {
    Text,
    TextList,
    Number,
    Milliseconds,
    Boolean,
    Object,
    ObjectList,
};

struct FieldDescription {
    std::string path; ///< `classes[].tier`
    FieldKind kind = FieldKind::Text;
    std::string unit;
    std::string defaultValue; ///< as JSON; `required` if there is none
    std::string range;
    std::string text;
};

auto fieldKindName(FieldKind kind) -> std::string_view;

/// All fields in the order of the document.
auto fieldTable() -> std::vector<FieldDescription>;

} // namespace auburnspread::configuration
