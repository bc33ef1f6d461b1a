#include "wire/text/uripath.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace auburnspread::text
{

namespace
{

auto encodePart(std::string_view part) -> std::string
{
    if (part.empty()) {
        return "";
    }
    const std::unique_ptr<char, decltype(&std::free)> encoded(evhttp_uriencode(part.data(), static_cast<ev_ssize_t>(part.size()), 0), std::free);
    return encoded.get();
}

} // namespace

auto encodeUriPath(std::string_view name) -> std::string
{
    std::string path;
    while (true) {
        const auto slash = name.find('/');
        path += encodePart(name.substr(0, slash));
        if (slash == std::string_view::npos) {
            return path;
        }
        path += '/';
        name.remove_prefix(slash + 1);
    }
}

} // namespace auburnspread::text
