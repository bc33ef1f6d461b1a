#include "core/configuration/manifest.h"

#include "core/configuration/digest.h"
#include "core/configuration/internal/jsonreader.h"
#include "core/configuration/internal/jsonvalue.h"
#include "core/configuration/serializer.h"
#include "core/configuration/validation.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace auburnspread::configuration
{

namespace
{

using nlohmann::json;

constexpr int ManifestFormat = 1;
constexpr std::string_view GeneralPart = "general";

/// A list of named things that is spread over parts of its own.
struct SpreadList {
    std::string_view key;
    std::uint64_t buckets;
};

/// 256 buckets make the manifest about as large as one part of 29,000 workspaces, which keeps their sum, the cost
/// of a change, smallest.
constexpr auto SpreadLists = std::to_array<SpreadList>({ { "workspaces", 256 }, { "backend_servers", 16 } });

auto bucketOf(const SpreadList &list, const std::string &name) -> std::uint64_t
{
    return XXH64(name.data(), name.size(), 0) % list.buckets;
}

auto partName(const SpreadList &list, std::uint64_t bucket) -> std::string
{
    return std::string(list.key) + "/" + std::to_string(bucket);
}

auto addPart(SplitDocument &result, std::string name, std::string content) -> void
{
    if (content.size() > MaximumPartBytes) {
        throw ManifestError("part " + name + " would take " + std::to_string(content.size()) + " bytes, more than " + std::to_string(MaximumPartBytes));
    }
    auto digest = digestOf(std::string_view(content));
    result.contents[digest] = std::make_shared<const std::string>(std::move(content));
    result.references.push_back({ .name = std::move(name), .digest = std::move(digest) });
}

/// Digest over all references: equal documents, and only they, have equal ones.
auto digestOfReferences(const std::vector<PartReference> &references) -> std::string
{
    auto text = std::string();
    for (const auto &reference : references) {
        text += reference.name + " " + reference.digest + "\n";
    }
    return digestOf(std::string_view(text));
}

auto spread(SplitDocument &result, const SpreadList &list, const json &items) -> void
{
    auto buckets = std::map<std::uint64_t, json>();
    for (const auto &item : items) {
        buckets[bucketOf(list, item.at("name").get_ref<const std::string &>())].push_back(item);
    }
    for (const auto &[bucket, content] : buckets) {
        addPart(result, partName(list, bucket), content.dump());
    }
}

auto contentOf(const PartReference &reference, const PartContents &contents) -> const std::string &
{
    const auto found = contents.find(reference.digest);
    if (found == contents.end()) {
        throw ManifestError("part " + reference.name + " is absent");
    }
    return *found->second;
}

auto describe(const std::vector<Problem> &problems) -> std::string
{
    return problems.front().path + ": " + problems.front().text + " (" + std::to_string(problems.size()) + " problems)";
}

auto isPartOf(std::string_view partName, std::string_view list) -> bool
{
    return partName.starts_with(list) && partName.substr(list.size()).starts_with('/');
}

/// A part as a document that holds nothing else.
auto readPart(const PartReference &reference, const std::string &content) -> std::shared_ptr<const Document>
{
    auto document = std::make_shared<Document>();
    auto problems = std::vector<Problem>();
    // A newer console may write keys that this node does not know yet: they must not keep it on an old version.
    auto reader = detail::JsonReader(problems, detail::UnknownKeys::Ignore);
    try {
        const auto root = json::parse(content);
        if (reference.name == GeneralPart) {
            reader.readObject(root, *document, {});
        } else if (isPartOf(reference.name, "workspaces")) {
            reader.readItems(root, document->workspaces, "/workspaces");
        } else if (isPartOf(reference.name, "backend_servers")) {
            reader.readItems(root, document->backendServers, "/backend_servers");
        } else {
            throw ManifestError("part " + reference.name + " is not of a known kind");
        }
    } catch (const json::exception &error) {
        throw ManifestError("part " + reference.name + " is not JSON: " + error.what());
    }
    if (!problems.empty()) {
        throw ManifestError("part " + reference.name + " " + describe(problems));
    }
    return document;
}

auto joinParts(const Manifest &manifest, const ParsedParts &parts) -> Document
{
    auto document = Document();
    for (const auto &reference : manifest.parts) {
        const auto &part = *parts.at(reference.digest);
        if (reference.name == GeneralPart) {
            auto workspaces = std::move(document.workspaces);
            auto servers = std::move(document.backendServers);
            document = part;
            document.workspaces = std::move(workspaces);
            document.backendServers = std::move(servers);
        }
        document.workspaces.insert(document.workspaces.end(), part.workspaces.begin(), part.workspaces.end());
        document.backendServers.insert(document.backendServers.end(), part.backendServers.begin(), part.backendServers.end());
    }
    return document;
}

} // namespace

auto split(const Document &document) -> SplitDocument
{
    auto canonical = document;
    canonicalize(canonical);
    auto root = detail::toJsonValue(canonical);
    auto result = SplitDocument();
    auto lists = json::object();
    for (const auto &list : SpreadLists) {
        const auto key = std::string(list.key);
        lists[key] = std::move(root[key]);
        root.erase(key);
    }
    addPart(result, std::string(GeneralPart), root.dump());
    for (const auto &list : SpreadLists) {
        spread(result, list, lists[std::string(list.key)]);
    }
    result.digest = digestOfReferences(result.references);
    return result;
}

auto assemble(const Manifest &manifest, const PartContents &contents, ParsedParts &parsedParts) -> AdoptedDocument
{
    if (digestOfReferences(manifest.parts) != manifest.digest) {
        throw ManifestError("the manifest's digest is not that of its parts");
    }
    auto parts = ParsedParts();
    for (const auto &reference : manifest.parts) {
        const auto known = parsedParts.find(reference.digest);
        parts[reference.digest] = known != parsedParts.end() ? known->second : readPart(reference, contentOf(reference, contents));
    }
    auto adopted = AdoptedDocument{ .version = manifest.version, .digest = manifest.digest, .document = joinParts(manifest, parts) };
    canonicalize(adopted.document);
    const auto problems = validateReferences(adopted.document);
    if (!problems.empty()) {
        throw ManifestError(describe(problems));
    }
    parsedParts = std::move(parts);
    return adopted;
}

auto assemble(const Manifest &manifest, const PartContents &contents) -> AdoptedDocument
{
    auto parsedParts = ParsedParts();
    return assemble(manifest, contents, parsedParts);
}

auto serializeManifest(const Manifest &manifest) -> std::string
{
    auto parts = json::array();
    for (const auto &part : manifest.parts) {
        parts.push_back({ part.name, part.digest });
    }
    auto past = json::array();
    for (const auto &submission : manifest.past) {
        past.push_back({ submission.version, submission.nonce });
    }
    return json{
        { "format", ManifestFormat },  { "version", manifest.version }, { "digest", manifest.digest }, { "previous", manifest.previous },
        { "author", manifest.author }, { "nonce", manifest.nonce },     { "parts", std::move(parts) }, { "past", std::move(past) },
    }
        .dump();
}

auto parseManifest(std::string_view text) -> Manifest
{
    try {
        const auto root = json::parse(text);
        if (root.at("format").get<int>() != ManifestFormat) {
            throw ManifestError("the manifest has format " + root.at("format").dump() + ", this program reads " + std::to_string(ManifestFormat));
        }
        auto manifest = Manifest();
        root.at("version").get_to(manifest.version);
        root.at("digest").get_to(manifest.digest);
        root.at("previous").get_to(manifest.previous);
        root.at("author").get_to(manifest.author);
        root.at("nonce").get_to(manifest.nonce);
        for (const auto &part : root.at("parts")) {
            manifest.parts.push_back({ .name = part.at(0).get<std::string>(), .digest = part.at(1).get<std::string>() });
        }
        for (const auto &submission : root.at("past")) {
            manifest.past.push_back({ .version = submission.at(0).get<std::uint64_t>(), .nonce = submission.at(1).get<std::string>() });
        }
        return manifest;
    } catch (const json::exception &error) {
        throw ManifestError("the manifest cannot be read: " + std::string(error.what()));
    }
}

auto partKey(std::string_view digest) -> std::string
{
    return std::string(PartKeyPrefix) + std::string(digest);
}

auto encodePart(std::string_view content, std::string_view nonce) -> std::string
{
    return std::string(nonce) + "\n" + std::string(content);
}

auto decodePart(std::string_view value, std::string_view digest) -> std::optional<std::string>
{
    const auto lineEnd = value.find('\n');
    if (lineEnd == std::string_view::npos) {
        return std::nullopt;
    }
    const auto content = value.substr(lineEnd + 1);
    if (digestOf(content) != digest) {
        return std::nullopt;
    }
    return std::string(content);
}

} // namespace auburnspread::configuration
