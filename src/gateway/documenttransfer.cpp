#include "gateway/documenttransfer.h"

#include "gateway/contenttag.h"
#include "wire/text/deflate.h"

#include <algorithm>
#include <utility>

namespace auburnspread::gateway
{

auto makeOfferedDocument(const ConfigurationSnapshot &read) -> OfferedDocument
{
    OfferedDocument offered{ .bytes = read.packed.empty() ? text::pack(read.document) : read.packed };
    offered.offer = {
        .revision = read.revision,
        .tag = detail::contentTag(offered.bytes),
        .bytes = offered.bytes.size(),
        .documentBytes = read.document.size(),
    };
    return offered;
}

auto dropOldDocuments(std::vector<OfferedDocument> &documents) -> void
{
    std::size_t kept = 0;
    std::size_t bytes = 0;
    while (kept < std::min(documents.size(), MaxKeptDocuments)) {
        bytes += documents[kept].bytes.size();
        if (kept >= MinKeptDocuments && bytes > MaxKeptBytes) {
            break;
        }
        kept += 1;
    }
    documents.resize(kept);
}

auto readPart(const std::vector<OfferedDocument> &documents, std::uint64_t tag, std::uint64_t from) -> std::optional<std::string_view>
{
    const auto found = std::find_if(documents.begin(), documents.end(), [tag](const OfferedDocument &each) { return each.offer.tag == tag; });
    if (found == documents.end() || from >= found->bytes.size()) {
        return std::nullopt;
    }
    return std::string_view(found->bytes).substr(from, PartBytes);
}

auto appendPart(DocumentTransfer &transfer, std::string_view part) -> PartOutcome
{
    transfer.bytes += part;
    const auto isComplete = transfer.bytes.size() >= transfer.offer.bytes;
    if (!part.empty() && !isComplete) {
        return PartOutcome::Incomplete;
    }
    if (transfer.bytes.size() == transfer.offer.bytes && detail::contentTag(transfer.bytes) == transfer.offer.tag) {
        return PartOutcome::Complete;
    }
    transfer.bytes.clear();
    return PartOutcome::Corrupt;
}

auto unpackDocument(DocumentTransfer transfer) -> std::optional<ConfigurationSnapshot>
{
    auto document = text::unpack(transfer.bytes, transfer.offer.documentBytes);
    if (!document) {
        return std::nullopt;
    }
    return ConfigurationSnapshot{ .document = std::move(*document), .revision = transfer.offer.revision, .packed = std::move(transfer.bytes) };
}

} // namespace auburnspread::gateway
