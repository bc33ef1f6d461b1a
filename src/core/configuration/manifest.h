/// \file
/// A document as it lies in the platform's service: a manifest that names content-addressed parts. A value there
/// holds at most a megabyte and 29,000 workspaces need several, so workspaces and backend servers are spread over
/// many parts by a hash of their names; a change of one workspace writes and fetches one part and the manifest.

#pragma once

#include "core/configuration/document.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::configuration
{

constexpr std::size_t MaximumPartBytes = std::size_t{ 512 } * 1024;
constexpr std::string_view ManifestKey = "auburnspread/manifest";
constexpr std::string_view PartKeyPrefix = "auburnspread/parts/";

/// A manifest or a part that cannot be read, or a document that does not fit.
class ManifestError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct PartReference {
    std::string name;
    std::string digest;

    auto operator==(const PartReference &) const -> bool = default;
};

/// One earlier submission, so that a submitter whose reply was lost still finds itself after others followed.
struct PastSubmission {
    std::uint64_t version = 0;
    std::string nonce;

    auto operator==(const PastSubmission &) const -> bool = default;
};

struct Manifest {
    std::uint64_t version = 0;
    std::string digest;   ///< of the document, see digestOf
    std::string previous; ///< digest of the document that this one replaced; empty: none
    std::string author;
    std::string nonce; ///< differs for each submission
    std::vector<PartReference> parts;
    std::vector<PastSubmission> past; ///< the newest first, at most MaximumPast

    auto operator==(const Manifest &) const -> bool = default;
};

constexpr std::size_t MaximumPast = 16;

using PartContent = std::shared_ptr<const std::string>;
using PartContents = std::map<std::string, PartContent, std::less<>>; ///< by digest

struct SplitDocument {
    std::vector<PartReference> references;
    PartContents contents;
    std::string digest;
};

/// \throws ManifestError if a part would exceed MaximumPartBytes.
auto split(const Document &document) -> SplitDocument;

/// Parts as read, by digest. A change touches one part of hundreds; the others need not be read again.
using ParsedParts = std::map<std::string, std::shared_ptr<const Document>, std::less<>>;

/// Puts the parts together and checks the document. On success \p parsedParts holds the parts of this manifest.
/// \throws ManifestError if a part is absent or faulty, or the document would not be valid.
auto assemble(const Manifest &manifest, const PartContents &contents, ParsedParts &parsedParts) -> AdoptedDocument;

/// The same for once.
auto assemble(const Manifest &manifest, const PartContents &contents) -> AdoptedDocument;

auto serializeManifest(const Manifest &manifest) -> std::string;

/// \throws ManifestError
auto parseManifest(std::string_view text) -> Manifest;

auto partKey(std::string_view digest) -> std::string;

/// The value under which a part is stored: the writer's nonce on a line of its own, then the content. Stores
/// skip a write that changes nothing, and then its ModifyIndex stays. With the nonce each write of a part changes
/// it, so a collector that deletes by compare-and-swap cannot take away a part that was just written again.
auto encodePart(std::string_view content, std::string_view nonce) -> std::string;

/// The content; nothing if \p value does not have this digest.
auto decodePart(std::string_view value, std::string_view digest) -> std::optional<std::string>;

} // namespace auburnspread::configuration
