#include "core/configuration/serializer.h"

#include "core/configuration/internal/jsonvalue.h"

#include <algorithm>

namespace auburnspread::configuration
{

namespace
{

constexpr int FormatIndent = 2;

template <typename Item>
auto sortByName(std::vector<Item> &items) -> void
{
    std::ranges::stable_sort(items, {}, &Item::name);
}

auto canonicalJson(Document document) -> nlohmann::json
{
    canonicalize(document);
    return detail::toJsonValue(document);
}

} // namespace

auto canonicalize(Document &document) -> void
{
    sortByName(document.failureDomains);
    sortByName(document.models);
    sortByName(document.classes);
    sortByName(document.workspaces);
    sortByName(document.backendServers);
    sortByName(document.services);
    for (auto &service : document.services) {
        sortByName(service.servers);
    }
}

auto serializeDocument(const Document &document) -> std::string
{
    return canonicalJson(document).dump();
}

auto formatDocument(const Document &document) -> std::string
{
    return canonicalJson(document).dump(FormatIndent) + "\n";
}

} // namespace auburnspread::configuration
