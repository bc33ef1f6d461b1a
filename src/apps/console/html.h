/// \file
/// Text as HTML. Whatever came from outside passes through here before it stands in a page.

#pragma once

#include <string>
#include <string_view>

namespace auburnspread::console
{

/// Escapes `& < > " '`, so that the text is safe between tags and in quoted attributes. An operator may name a
/// workspace, or a refused caller be shown, as `<script>`; unescaped it would run with another operator's session.
auto escapeHtml(std::string_view text) -> std::string;

/// A whole page with title and body; \p body is HTML already.
auto renderPage(std::string_view title, std::string_view body, std::string_view head = {}) -> std::string;

auto styleSheet() -> std::string_view;

} // namespace auburnspread::console
