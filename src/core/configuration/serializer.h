/// \file
/// Writes documents as canonical JSON: every field, keys sorted, lists of named things sorted by name.

#pragma once

#include "core/configuration/document.h"

#include <string>

namespace auburnspread::configuration
{

/// Sorts the lists whose order carries no meaning by name. The order of versions, grants and served models stays.
auto canonicalize(Document &document) -> void;

/// Canonical and without spaces: equal documents give equal texts.
auto serializeDocument(const Document &document) -> std::string;

/// The same for people, indented.
auto formatDocument(const Document &document) -> std::string;

} // namespace auburnspread::configuration
