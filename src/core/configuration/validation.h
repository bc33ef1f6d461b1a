/// \file
/// Checks that concern more than one field: references, duplicates, capacity.

#pragma once

#include "core/configuration/document.h"
#include "core/configuration/parser.h"

#include <vector>

namespace auburnspread::configuration
{

/// Problems between the fields of \p document; the parser finds those of single fields.
auto validateReferences(const Document &document) -> std::vector<Problem>;

} // namespace auburnspread::configuration
