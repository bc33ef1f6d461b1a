/// \file
/// Looks into what a core wants done, for tests.

#pragma once

#include <optional>
#include <variant>
#include <vector>

namespace auburnspread::tests
{

/// The first action of this type.
template <typename Wanted, typename Action>
auto findAction(const std::vector<Action> &actions) -> std::optional<Wanted>
{
    for (const auto &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return *wanted;
        }
    }
    return std::nullopt;
}

} // namespace auburnspread::tests
