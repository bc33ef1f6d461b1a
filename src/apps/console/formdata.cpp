#include "apps/console/formdata.h"

#include <charconv>

namespace auburnspread::console
{

namespace
{

constexpr int HexBase = 16;

auto decode(std::string_view text) -> std::optional<std::string>
{
    auto decoded = std::string();
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        auto byte = 0U;
        const auto digits = text.substr(1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, HexBase);
        if (digits.size() != 2 || error != std::errc{} || end != digits.data() + digits.size()) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        text.remove_prefix(3);
    }
    return decoded;
}

} // namespace

auto parseForm(std::string_view body) -> std::optional<FormData>
{
    auto form = FormData();
    while (!body.empty()) {
        const auto pair = body.substr(0, body.find('&'));
        body.remove_prefix(std::min(pair.size() + 1, body.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        auto name = decode(pair.substr(0, equals));
        auto value = decode(pair.substr(std::min(equals + 1, pair.size())));
        if (!name || !value) {
            return std::nullopt;
        }
        form[*name] = *std::move(value);
    }
    return form;
}

auto fieldOf(const FormData &form, const std::string &name) -> std::string
{
    const auto found = form.find(name);
    return found == form.end() ? std::string() : found->second;
}

} // namespace auburnspread::console
