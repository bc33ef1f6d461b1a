/// \file
/// A draft as a list of edits on a document. An edit replaces or removes one named thing, so a draft stays small
/// whatever the document's size, and can be moved onto a newer document.

#pragma once

#include "core/configuration/document.h"
#include "core/configuration/parser.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::configuration
{

/// The parts of a document that are edited one item at a time.
enum class Section {
    FailureDomains,
    Models,
    Classes,
    Workspaces,
    BackendServers,
    Services,
    Limits, ///< one object without a name
    Name,   ///< the document's name, a text
};

/// Key of the section in a document: `backend_servers`.
auto sectionKey(Section section) -> std::string_view;
auto sectionFromKey(std::string_view key) -> std::optional<Section>;
auto allSections() -> std::span<const Section>;
auto isNamedList(Section section) -> bool;

struct Edit {
    Section section{};
    std::string name;  ///< of the item; empty for Limits and Name
    std::string value; ///< the whole item as JSON; empty: removed

    auto operator==(const Edit &) const -> bool = default;
};

using Edits = std::vector<Edit>;

/// Adds \p edit, in place of an earlier one of the same item.
auto addEdit(Edits &edits, Edit edit) -> void;

/// The document's JSON with all edits made; not checked. An edit of an absent item adds it at the end.
/// \throws std::invalid_argument if an edit's value is not JSON
auto applyEdits(const Document &document, const Edits &edits) -> std::string;

/// The item as JSON; empty: there is none of this name.
auto itemValue(const Document &document, Section section, std::string_view name) -> std::string;

/// An item with all fields at their defaults.
auto defaultItem(Section section) -> std::string;

auto itemNames(const Document &document, Section section) -> std::vector<std::string>;

} // namespace auburnspread::configuration
