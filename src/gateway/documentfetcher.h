/// \file
/// Fetches the operators' configuration from other entries, part by part.

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

/// Where an entry sends parts of a document to others.
constexpr std::string_view DocumentPath = "/directory/document";

struct DocumentCallbacks {
    std::function<void(const ConfigurationRead &read)> onDocument;
    /// One part did not come; the next entry is asked for it.
    std::function<void(std::string_view peer, const std::string &detail)> onPartFailed;
};

class DocumentFetcher
{
public:
    /// \p client must outlive it. \p spread: which of the entries is asked first.
    DocumentFetcher(task::EventLoop &loop, http::Client &client, std::size_t spread, DocumentCallbacks callbacks);

    /// Whom to ask from now on; none: what was begun is dropped.
    auto setReaders(std::vector<std::string> readers) -> void;
    /// One of the entries has this document. A transfer that has begun goes on first, for as long as somebody has its document.
    auto want(const DocumentOffer &offer) -> void;

private:
    auto askNext() -> void;
    auto take(const std::string &peer, const http::Result &result) -> void;
    auto takeBytes(const std::string &peer, std::string_view part) -> void;
    auto fail(const std::string &peer, const std::string &detail) -> void;
    auto takeGone(const std::string &peer) -> void;
    auto askLater() -> void;
    auto finish() -> void;
    auto begin(const DocumentOffer &offer) -> void;
    auto beginWaiting() -> void;

    task::EventLoop &loop_;
    http::Client &client_;
    std::size_t spread_;
    DocumentCallbacks callbacks_;
    std::vector<std::string> readers_;
    std::size_t current_ = 0;
    std::uint64_t round_ = 0; ///< answers to questions of an earlier one are dropped
    std::optional<DocumentTransfer> transfer_;
    std::optional<DocumentOffer> waiting_; ///< offered since the transfer began
    std::uint64_t lastRevision_ = 0;       ///< of the last document told; not fetched twice, also if it could not be read
    task::Watch timer_;
};

/// \name The question for a part, and what the asked entry reads from it
/// @{
struct PartQuestion {
    std::uint64_t tag = 0;
    std::uint64_t from = 0;
};
auto makePartQuestion(const std::string &reader, const PartQuestion &question) -> http::Request;
auto readPartQuestion(const std::map<std::string, std::string> &query) -> PartQuestion;
/// @}

} // namespace auburnspread::gateway
