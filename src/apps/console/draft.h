/// \file
/// An operator's draft: the version that it was begun on and the edits made so far. It travels in a hidden field of
/// every form, so a console keeps nothing and any console can go on with it, also after a restart.

#pragma once

#include "core/configuration/edits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::console
{

struct ConfigurationDraft {
    std::uint64_t editedVersion = 0; ///< 0: there was no document
    configuration::Edits edits;
};

auto serializeDraft(const ConfigurationDraft &draft) -> std::string;

/// Nothing if the text is not a draft: it came from a browser.
auto parseDraft(std::string_view text) -> std::optional<ConfigurationDraft>;

} // namespace auburnspread::console
