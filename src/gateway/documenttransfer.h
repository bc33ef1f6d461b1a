/// \file
/// Transfer of the operators' configuration from one entry to another, in parts.
///
/// Failure: the document is larger than what a link carries before the response times out, because the link is narrow or because
/// all entries send requests at once. Symptom: each response is cut off and requested again, the links stay full of bytes that are
/// discarded, and the configuration never comes into force. A part is small enough for any link, and every received part is kept,
/// whichever entry sent it, so each response makes progress.

#pragma once

#include "core/base/storerevision.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

/// A configuration as it was read from the store, by this entry or another one.
struct ConfigurationSnapshot {
    std::string document;   ///< as the operators wrote it
    StoreRevision revision; ///< orders documents received by different paths
    std::string packed;     ///< compressed form in which another entry sent it; empty: read from the store
};

/// Description of a document that an entry offers to others.
struct DocumentOffer {
    StoreRevision revision;          ///< see ConfigurationSnapshot
    std::uint64_t tag = 0;           ///< content tag of the packed bytes; entries that offer the same tag send the same parts
    std::uint64_t bytes = 0;         ///< size of the packed document
    std::uint64_t documentBytes = 0; ///< size of the unpacked document

    auto operator==(const DocumentOffer &) const -> bool = default;
};

/// A document that this entry offers to others.
struct OfferedDocument {
    DocumentOffer offer;
    std::string bytes; ///< packed document
};

/// Size of one part in bytes. When 330 entries request parts of this size from three readers at once, each reader has 3.6 MB to
/// send, which takes 144 ms over its link of 25 MB/s. Over a link of 10 Mbit/s a part takes 26 ms.
constexpr std::size_t PartBytes = 32768;
/// Longer documents, packed or unpacked, are not fetched. The store accepts no document of more than 1 MB.
constexpr std::uint64_t MaxDocumentBytes = 4UL * 1024 * 1024;
/// Number of documents that are always kept, the newest one and those before it. Failure: changes follow each other faster than a
/// document can be transferred. Symptom: each transfer is dropped half-way for the next document, and none completes.
constexpr std::size_t MinKeptDocuments = 3;
/// Older documents are kept up to this number and total size in bytes, so that a transfer over a narrow link can complete while many
/// more changes arrive.
constexpr std::size_t MaxKeptDocuments = 128;
constexpr std::size_t MaxKeptBytes = std::size_t{ 2 } * 1024 * 1024;

/// A document received in packed form is offered unchanged, so that entries that offer the same bytes can replace each other during a
/// transfer.
auto makeOfferedDocument(const ConfigurationSnapshot &read) -> OfferedDocument;

/// Drops documents from the end of the list, the oldest ones, beyond what is kept.
auto dropOldDocuments(std::vector<OfferedDocument> &documents) -> void;

/// The next part of the document with this tag, from offset \p from; nothing if the document is not kept or is not that long.
auto readPart(const std::vector<OfferedDocument> &documents, std::uint64_t tag, std::uint64_t from) -> std::optional<std::string_view>;

/// A partially received document.
struct DocumentTransfer {
    DocumentOffer offer;
    std::string bytes; ///< packed bytes received so far
};

enum class PartOutcome {
    Incomplete, ///< further parts are missing
    Complete,   ///< all bytes were received, and they match the offer
    Corrupt,    ///< the bytes do not match the offer; the transfer restarts from the beginning
};

auto appendPart(DocumentTransfer &transfer, std::string_view part) -> PartOutcome;

/// Unpacks a complete transfer; nothing if the document does not have the offered size.
auto unpackDocument(DocumentTransfer transfer) -> std::optional<ConfigurationSnapshot>;

} // namespace auburnspread::gateway
