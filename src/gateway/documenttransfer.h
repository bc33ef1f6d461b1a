/// \file
/// The operators' configuration on its way from one entry to another, in parts.
///
/// Failure: the document is larger than a link carries within the time allowed for one answer, because the link is narrow or
/// because all entries ask at once. Symptom: each answer is cut off and asked for anew, links stay full of bytes that nobody
/// keeps, and the configuration is never in force. A part is small enough for any link, and each one that came is kept, whichever
/// entry sent it: every answer brings the document nearer.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

/// A configuration as it was read, here or by another entry.
struct ConfigurationRead {
    std::string document;       ///< as the operators wrote it
    std::uint64_t revision = 0; ///< of the store; orders documents that come by different ways
    std::string packed;         ///< as another entry sent it; empty: read from the store
};

/// What an entry says of a document that it has.
struct DocumentOffer {
    std::uint64_t revision = 0; ///< see ConfigurationRead
    std::uint64_t tag = 0;      ///< of the packed bytes; entries that offer the same one send the same parts
    std::uint64_t bytes = 0;    ///< packed
    std::uint64_t documentBytes = 0;

    auto operator==(const DocumentOffer &) const -> bool = default;
};

/// A document that is kept for other entries.
struct OfferedDocument {
    DocumentOffer offer;
    std::string bytes; ///< packed
};

/// Bytes of one part. 330 entries that ask three at once for parts of this size have 3.6 MB before them at each, which its link
/// of 25 MB/s sends in 144 ms; over a link of 10 Mbit/s a part takes 26 ms.
constexpr std::size_t PartBytes = 32768;
/// A longer document is not fetched, packed or not: the store takes none of more than 1 MB.
constexpr std::uint64_t MostDocumentBytes = 4UL * 1024 * 1024;
/// Documents that are kept, the newest and those before it. Failure: changes follow each other faster than the document travels.
/// Symptom: each is dropped half-way for the next one, and none arrives. A transfer that has begun can end while two more changes
/// come, which is three times as long.
constexpr std::size_t KeptDocuments = 3;

/// What came packed is offered as it came: entries that offer the same bytes can send each other's parts.
auto makeOffered(const ConfigurationRead &read) -> OfferedDocument;

/// The next bytes of the document with this tag; nothing if it is not there (any more) or has no byte at \p from.
auto readPart(const std::vector<OfferedDocument> &documents, std::uint64_t tag, std::uint64_t from) -> std::optional<std::string_view>;

/// A document of which some parts have come.
struct DocumentTransfer {
    DocumentOffer offer;
    std::string bytes; ///< packed, so far
};

enum class PartOutcome {
    More,   ///< the next part is missing
    Whole,  ///< all bytes are there, and they are the offered ones
    Spoilt, ///< they are not; the transfer stands at its beginning again
};

auto takePart(DocumentTransfer &transfer, std::string_view part) -> PartOutcome;

/// Of a transfer that is whole; nothing if its bytes do not unpack to what was offered.
auto readDocument(DocumentTransfer transfer) -> std::optional<ConfigurationRead>;

} // namespace auburnspread::gateway
