#include "wire/text/jsonparts.h"

#include <algorithm>
#include <cstddef>

namespace auburnspread::text
{

namespace
{

constexpr std::string_view Space = " \t\r\n";

/// Reads a text from its front.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : rest_(text)
    {
    }

    /// Skips white space and \p symbol. \return whether it is there
    auto take(char symbol) -> bool
    {
        skipSpace();
        if (!rest_.starts_with(symbol)) {
            return false;
        }
        rest_.remove_prefix(1);
        return true;
    }

    /// \return a string with its quotes
    auto takeString() -> std::optional<std::string_view>
    {
        skipSpace();
        return rest_.starts_with('"') ? takeUntil(stringEnd(0)) : std::nullopt;
    }

    /// \return a value of any kind
    auto takeValue() -> std::optional<std::string_view>
    {
        skipSpace();
        if (rest_.starts_with('"')) {
            return takeUntil(stringEnd(0));
        }
        return takeUntil(rest_.starts_with('{') || rest_.starts_with('[') ? bracketEnd() : rest_.find_first_of(",]} \t\r\n"));
    }

    auto isAtEnd() -> bool
    {
        skipSpace();
        return rest_.empty();
    }

private:
    auto skipSpace() -> void
    {
        rest_.remove_prefix(std::min(rest_.find_first_not_of(Space), rest_.size()));
    }

    auto takeUntil(std::size_t end) -> std::optional<std::string_view>
    {
        if (end == std::string_view::npos || end == 0) {
            return std::nullopt;
        }
        const auto taken = rest_.substr(0, end);
        rest_.remove_prefix(end);
        return taken;
    }

    /// \return position behind the string that begins at \p begin
    [[nodiscard]] auto stringEnd(std::size_t begin) const -> std::size_t
    {
        auto at = rest_.find_first_of("\"\\", begin + 1);
        while (at != std::string_view::npos && rest_[at] == '\\') {
            at = rest_.find_first_of("\"\\", at + 2);
        }
        return at == std::string_view::npos ? at : at + 1;
    }

    /// \return position behind the object or array at the front
    [[nodiscard]] auto bracketEnd() const -> std::size_t
    {
        std::size_t depth = 0;
        for (auto at = rest_.find_first_of("\"[]{}"); at != std::string_view::npos; at = rest_.find_first_of("\"[]{}", at)) {
            if (rest_[at] == '"') {
                at = stringEnd(at);
                continue;
            }
            const auto opens = rest_[at] == '[' || rest_[at] == '{';
            at += 1;
            depth += opens ? 1 : 0;
            depth -= opens ? 0 : 1;
            if (depth == 0) {
                return at;
            }
        }
        return std::string_view::npos;
    }

    std::string_view rest_;
};

auto takeMember(Scanner &scanner) -> std::optional<JsonMember>
{
    const auto name = scanner.takeString();
    const auto value = name && scanner.take(':') ? scanner.takeValue() : std::nullopt;
    return value ? std::optional(JsonMember{ .name = name->substr(1, name->size() - 2), .value = *value }) : std::nullopt;
}

auto takeElement(Scanner &scanner) -> std::optional<std::string_view>
{
    return scanner.takeValue();
}

template <typename Part>
auto split(std::string_view text, char opening, char closing, std::optional<Part> (*takePart)(Scanner &scanner)) -> std::optional<std::vector<Part>>
{
    Scanner scanner(text);
    if (!scanner.take(opening)) {
        return std::nullopt;
    }
    std::vector<Part> parts;
    if (!scanner.take(closing)) {
        do {
            const auto part = takePart(scanner);
            if (!part) {
                return std::nullopt;
            }
            parts.push_back(*part);
        } while (scanner.take(','));
        if (!scanner.take(closing)) {
            return std::nullopt;
        }
    }
    return scanner.isAtEnd() ? std::optional(std::move(parts)) : std::nullopt;
}

} // namespace

auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>
{
    return split<JsonMember>(text, '{', '}', takeMember);
}

auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>
{
    return split<std::string_view>(text, '[', ']', takeElement);
}

} // namespace auburnspread::text
