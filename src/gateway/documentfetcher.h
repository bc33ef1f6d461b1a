/// \file
/// Fetches the operators' configuration from other entries, one part at a time.

#pragma once

#include "core/base/time.h"
#include "gateway/documenttransfer.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

/// Path under which an entry serves parts of a document to other entries.
constexpr std::string_view DocumentPath = "/directory/document";

struct DocumentCallbacks {
    std::function<void(const ConfigurationSnapshot &read)> onDocument;
    /// A part was not received; the next entry is asked for it.
    std::function<void(std::string_view peer, const std::string &detail)> onPartFailed;
};

class DocumentFetcher
{
public:
    /// \p client must outlive the fetcher. \p startOffset selects the reader that is asked first.
    DocumentFetcher(task::EventLoop &loop, http::Client &client, std::size_t startOffset, DocumentCallbacks callbacks);

    /// Sets the entries to fetch from. An empty list aborts the current transfer.
    auto setReaders(std::vector<std::string> readers) -> void;
    /// Fetches a document that one of the entries offers. A transfer that has started continues first, as long as an entry still has
    /// its document.
    auto fetch(const DocumentOffer &offer) -> void;

private:
    auto requestNextPart() -> void;
    auto handleResult(const std::string &peer, const http::Result &result) -> void;
    auto handlePart(const std::string &peer, std::string_view part) -> void;
    auto handlePartFailure(const std::string &peer, const std::string &detail) -> void;
    auto handleMissingDocument(const std::string &peer) -> void;
    auto retryWithNextReader() -> void;
    auto finishTransfer() -> void;
    auto startTransfer(const DocumentOffer &offer) -> void;
    auto startPendingTransfer() -> void;

    task::EventLoop &loop_;
    http::Client &client_;
    std::size_t startOffset_;
    DocumentCallbacks callbacks_;
    std::vector<std::string> readers_;
    std::size_t current_ = 0;
    std::uint64_t generation_ = 0; ///< incremented when the readers change; responses to requests of an earlier generation are dropped
    std::optional<DocumentTransfer> transfer_;
    std::optional<DocumentOffer> pendingOffer_; ///< newest offer received since the transfer started
    StoreRevision lastDeliveredRevision_;       ///< of the last document received; it is not fetched again, even if it could not be unpacked
    task::Watch timer_;
};

/// \name Request for one part of a document, and its parsing on the queried entry
/// @{
struct PartQuery {
    std::uint64_t tag = 0;
    std::uint64_t from = 0;
};
auto makePartRequest(const std::string &reader, const PartQuery &partQuery) -> http::Request;
auto parsePartQuery(const std::map<std::string, std::string> &query) -> PartQuery;
/// @}

} // namespace auburnspread::gateway
