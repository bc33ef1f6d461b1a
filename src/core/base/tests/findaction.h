/// \file
/// Finds actions in the result of a decision core, for tests.

#pragma once

#include <optional>
#include <variant>
#include <vector>

namespace auburnspread::tests
{

/// \return the first action of type \p Wanted, if any
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
