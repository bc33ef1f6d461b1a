/// \file
/// Checks the shape of CBOR bytes before they are built into a document.

#pragma once

#include <string_view>

namespace auburnspread::peer::detail
{

/// Whether \p bytes are one well-formed CBOR value within the depth and the number of values that messages need.
/// The library's parser recurses for each level: a megabyte of opening brackets would exhaust the stack and end the
/// process. This pass stops at a fixed depth, so a document built afterwards is shallow.
auto isWithinBounds(std::string_view bytes) -> bool;

} // namespace auburnspread::peer::detail
