/// \file
/// The form of one item of the document, made from the table of fields: labels, inputs, and errors beside them.

#pragma once

#include "apps/console/formdata.h"
#include "core/configuration/edits.h"
#include "core/configuration/parser.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::console
{

/// The item's JSON from what the operator typed. What is not a number stays a text, so that the parser reports it
/// and the form shows it again.
auto readItem(configuration::Section section, const FormData &form) -> std::string;

/// Inputs for the item \p value (JSON). \p problems have paths relative to the item: `/tier`, `/models/0/model`.
auto renderItem(configuration::Section section, std::string_view value, const std::vector<configuration::Problem> &problems) -> std::string;

/// Of \p problems those at or below \p path, with paths relative to it.
auto problemsBelow(const std::vector<configuration::Problem> &problems, std::string_view path) -> std::vector<configuration::Problem>;

} // namespace auburnspread::console
