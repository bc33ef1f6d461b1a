#include "gateway/documentfetcher.h"

#include "gateway/querynumber.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

constexpr int OkStatus = 200;
constexpr int NotFoundStatus = 404;

/// After this time without a byte the next entry is asked. See PartBytes for how long a part takes.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(350);
/// Timeout of one part whose bytes keep arriving. It allows for 8 KB/s, less than a hundredth of a link of 10 Mbit/s.
constexpr Duration PartTimeout = std::chrono::seconds(4);
/// Delay after a part that was not received, as the fault may affect all connections.
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

auto makePartRequest(const std::string &reader, const PartQuery &partQuery) -> http::Request
{
    const auto path = std::string(DocumentPath) + "?tag=" + std::to_string(partQuery.tag) + "&from=" + std::to_string(partQuery.from);
    return { .address = reader, .path = path, .timeout = PartTimeout, .silenceTimeout = SilenceTimeout, .isIdempotent = true };
}

auto parsePartQuery(const std::map<std::string, std::string> &query) -> PartQuery
{
    return { .tag = detail::readQueryNumber(query, "tag"), .from = detail::readQueryNumber(query, "from") };
}

DocumentFetcher::DocumentFetcher(task::EventLoop &loop, http::Client &client, std::size_t startOffset, DocumentCallbacks callbacks)
    : loop_(loop)
    , client_(client)
    , startOffset_(startOffset)
    , callbacks_(std::move(callbacks))
{
}

auto DocumentFetcher::setReaders(std::vector<std::string> readers) -> void
{
    if (readers == readers_) {
        return;
    }
    readers_ = std::move(readers);
    generation_ += 1;
    timer_ = {};
    if (readers_.empty()) {
        transfer_.reset();
        pendingOffer_.reset();
        return;
    }
    current_ = startOffset_ % readers_.size();
    if (transfer_) {
        requestNextPart();
    }
}

auto DocumentFetcher::fetch(const DocumentOffer &offer) -> void
{
    if (readers_.empty() || offer.revision <= lastDeliveredRevision_ || std::max(offer.bytes, offer.documentBytes) > MaxDocumentBytes) {
        return;
    }
    if (!transfer_) {
        startTransfer(offer);
    } else if (offer.revision >= transfer_->offer.revision && offer != transfer_->offer) {
        pendingOffer_ = offer;
    }
}

auto DocumentFetcher::startTransfer(const DocumentOffer &offer) -> void
{
    transfer_ = DocumentTransfer{ .offer = offer };
    requestNextPart();
}

auto DocumentFetcher::startPendingTransfer() -> void
{
    transfer_.reset();
    if (const auto next = std::exchange(pendingOffer_, std::nullopt)) {
        startTransfer(*next);
    }
}

auto DocumentFetcher::requestNextPart() -> void
{
    const auto &peer = readers_.at(current_);
    const PartQuery partQuery{ .tag = transfer_->offer.tag, .from = transfer_->bytes.size() };
    client_.fetch(makePartRequest(peer, partQuery), [this, peer, generation = generation_](const http::Result &result) {
        if (generation == generation_) {
            handleResult(peer, result);
        }
    });
}

auto DocumentFetcher::handleResult(const std::string &peer, const http::Result &result) -> void
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        handlePartFailure(peer, error->text);
        return;
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status == NotFoundStatus) {
        handleMissingDocument(peer);
        return;
    }
    if (response.status != OkStatus) {
        handlePartFailure(peer, "status " + std::to_string(response.status));
        return;
    }
    handlePart(peer, response.body);
}

auto DocumentFetcher::handlePart(const std::string &peer, std::string_view part) -> void
{
    switch (appendPart(*transfer_, part)) {
    case PartOutcome::Incomplete:
        requestNextPart();
        break;
    case PartOutcome::Complete:
        finishTransfer();
        break;
    case PartOutcome::Corrupt:
        handlePartFailure(peer, "received bytes do not match the offer");
        break;
    }
}

/// Received bytes are kept, and the next entry is asked for the rest.
auto DocumentFetcher::handlePartFailure(const std::string &peer, const std::string &detail) -> void
{
    retryWithNextReader();
    callbacks_.onPartFailed(peer, detail);
}

/// An entry that has restarted or received several newer documents no longer has this one. If a newer document is offered, the transfer
/// of the old one, which may be gone everywhere, is aborted.
auto DocumentFetcher::handleMissingDocument(const std::string &peer) -> void
{
    if (pendingOffer_) {
        startPendingTransfer();
        return;
    }
    retryWithNextReader();
    callbacks_.onPartFailed(peer, "no such document");
}

auto DocumentFetcher::retryWithNextReader() -> void
{
    current_ = (current_ + 1) % readers_.size();
    timer_ = loop_.after(RetryDelay, [this]() { requestNextPart(); });
}

auto DocumentFetcher::finishTransfer() -> void
{
    const auto generation = generation_;
    lastDeliveredRevision_ = transfer_->offer.revision;
    auto whole = *std::exchange(transfer_, std::nullopt);
    if (const auto document = unpackDocument(std::move(whole))) {
        callbacks_.onDocument(*document);
    } else {
        callbacks_.onPartFailed(readers_.at(current_), "the document cannot be unpacked");
    }
    // the callback may have changed the readers
    if (generation == generation_ && !transfer_) {
        startPendingTransfer();
    }
}

} // namespace auburnspread::gateway
