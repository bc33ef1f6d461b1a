/// \file
/// Spoils valid inputs for tests of readers: the same seed gives the same sequence.

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
    /// \p words: pieces that are inserted whole, because single bytes seldom form them.
    Mutator(std::uint64_t seed, std::vector<std::string> words);

    /// \p text with one to four changes: bytes flipped, cut out, doubled, words inserted, the end missing.
    auto mutate(std::string text) -> std::string;

private:
    auto change(std::string &text) -> void;
    auto drawBelow(std::size_t end) -> std::size_t;

    std::mt19937_64 random_;
    std::vector<std::string> words_;
};

} // namespace auburnspread::gateway::tests
