/// \file
/// Corrupts valid inputs for fuzz tests of parsers. Equal seeds give equal sequences.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace auburnspread::gateway::tests
{

class Mutator
{
public:
    /// \p dictionary: tokens that are inserted as a whole, because random bytes rarely form them.
    Mutator(std::uint64_t seed, std::vector<std::string> dictionary);

    /// \return \p text with one to four changes: a byte replaced, a range removed or duplicated, a token inserted, or the end cut off
    auto mutate(std::string text) -> std::string;

private:
    auto change(std::string &text) -> void;
    auto randomBelow(std::size_t end) -> std::size_t;

    std::mt19937_64 random_;
    std::vector<std::string> dictionary_;
};

} // namespace auburnspread::gateway::tests
