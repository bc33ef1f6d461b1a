#include "gateway/fuzztests/mutation.h"

#include <utility>

namespace auburnspread::gateway::tests
{

Mutator::Mutator(std::uint64_t seed, std::vector<std::string> dictionary)
    : random_(seed)
    , dictionary_(std::move(dictionary))
{
}

auto Mutator::randomBelow(std::size_t end) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
}

auto Mutator::mutate(std::string text) -> std::string
{
    constexpr std::size_t MaxChanges = 4;
    for (auto left = 1 + randomBelow(MaxChanges); left > 0; --left) {
        change(text);
    }
    return text;
}

auto Mutator::change(std::string &text) -> void
{
    constexpr std::size_t ByteValues = 256;
    constexpr std::size_t MaxPieceLength = 40;
    enum Change { Flip, Insert, Cut, Double, Truncate, Changes };
    const auto at = randomBelow(text.size() + 1);
    const auto length = 1 + randomBelow(MaxPieceLength);
    switch (randomBelow(Changes)) {
    case Flip:
        if (at < text.size()) {
            text[at] = static_cast<char>(randomBelow(ByteValues));
        }
        break;
    case Insert:
        text.insert(at, dictionary_.at(randomBelow(dictionary_.size())));
        break;
    case Cut:
        text.erase(at, length);
        break;
    case Double:
        text.insert(at, text.substr(at, length));
        break;
    default:
        text.resize(at);
        break;
    }
}

} // namespace auburnspread::gateway::tests
