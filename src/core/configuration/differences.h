/// \file
/// What changes between two documents, field by field.

#pragma once

#include "core/configuration/document.h"

#include <string>
#include <vector>

namespace auburnspread::configuration
{

/// One value that differs. Named things are addressed by name, not by index: `/classes/full-quote/tier`.
struct Change {
    std::string path;
    std::string oldValue; ///< JSON; empty: absent before
    std::string newValue; ///< JSON; empty: absent now

    auto operator==(const Change &) const -> bool = default;
};

auto differences(const Document &oldDocument, const Document &newDocument) -> std::vector<Change>;

} // namespace auburnspread::configuration
