/// \file
/// Reads a document from JSON and checks it. Every fault is reported at once, each with its place, so that an
/// operator mends a document in one round.

#pragma once

#include "core/configuration/document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::configuration
{

struct Problem {
    std::string path; ///< JSON pointer (RFC 6901) of the faulty value; empty: the whole document
    std::string text; ///< what is wrong and what was expected

    auto operator==(const Problem &) const -> bool = default;
};

/// The document is present only if there is no problem.
struct Parsed {
    std::optional<Document> document;
    std::vector<Problem> problems;
};

auto parseDocument(std::string_view json) -> Parsed;

/// Like parseDocument, but keeps what could be read of a faulty document: for a draft that is still being edited.
struct Draft {
    Document document;
    std::vector<Problem> problems;
};

auto parseDraft(std::string_view json) -> Draft;

} // namespace auburnspread::configuration
