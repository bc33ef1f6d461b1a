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

/// Without a byte for this long the next entry is asked; see PartBytes for what a part takes.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(350);
/// Of one part as long as its bytes come: 8 KB/s, less than a hundredth of a link of 10 Mbit/s.
constexpr Duration PartTimeout = std::chrono::seconds(4);
/// After a part that did not come; the fault may have struck all connections.
constexpr Duration FailurePause = std::chrono::milliseconds(100);

} // namespace

auto makePartQuestion(const std::string &reader, const PartQuestion &question) -> http::Request
{
    const auto path = std::string(DocumentPath) + "?tag=" + std::to_string(question.tag) + "&from=" + std::to_string(question.from);
    return { .address = reader, .path = path, .timeout = PartTimeout, .silenceTimeout = SilenceTimeout, .isIdempotent = true };
}

auto readPartQuestion(const std::map<std::string, std::string> &query) -> PartQuestion
{
    return { .tag = detail::readQueryNumber(query, "tag"), .from = detail::readQueryNumber(query, "from") };
}

DocumentFetcher::DocumentFetcher(task::EventLoop &loop, http::Client &client, std::size_t spread, DocumentCallbacks callbacks)
    : loop_(loop)
    , client_(client)
    , spread_(spread)
    , callbacks_(std::move(callbacks))
{
}

auto DocumentFetcher::setReaders(std::vector<std::string> readers) -> void
{
    if (readers == readers_) {
        return;
    }
    readers_ = std::move(readers);
    round_ += 1;
    timer_ = {};
    if (readers_.empty()) {
        transfer_.reset();
        waiting_.reset();
        return;
    }
    current_ = spread_ % readers_.size();
    if (transfer_) {
        askNext();
    }
}

auto DocumentFetcher::want(const DocumentOffer &offer) -> void
{
    if (readers_.empty() || offer.revision <= lastRevision_ || std::max(offer.bytes, offer.documentBytes) > MostDocumentBytes) {
        return;
    }
    if (!transfer_) {
        begin(offer);
    } else if (offer.revision >= transfer_->offer.revision && offer != transfer_->offer) {
        waiting_ = offer;
    }
}

auto DocumentFetcher::begin(const DocumentOffer &offer) -> void
{
    transfer_ = DocumentTransfer{ .offer = offer };
    askNext();
}

auto DocumentFetcher::beginWaiting() -> void
{
    transfer_.reset();
    if (const auto next = std::exchange(waiting_, std::nullopt)) {
        begin(*next);
    }
}

auto DocumentFetcher::askNext() -> void
{
    const auto &peer = readers_.at(current_);
    const PartQuestion question{ .tag = transfer_->offer.tag, .from = transfer_->bytes.size() };
    client_.fetch(makePartQuestion(peer, question), [this, peer, round = round_](const http::Result &result) {
        if (round == round_) {
            take(peer, result);
        }
    });
}

auto DocumentFetcher::take(const std::string &peer, const http::Result &result) -> void
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        fail(peer, error->text);
        return;
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status == NotFoundStatus) {
        takeGone(peer);
        return;
    }
    if (response.status != OkStatus) {
        fail(peer, "status " + std::to_string(response.status));
        return;
    }
    takeBytes(peer, response.body);
}

auto DocumentFetcher::takeBytes(const std::string &peer, std::string_view part) -> void
{
    switch (takePart(*transfer_, part)) {
    case PartOutcome::More:
        askNext();
        break;
    case PartOutcome::Whole:
        finish();
        break;
    case PartOutcome::Spoilt:
        fail(peer, "not the bytes that were offered");
        break;
    }
}

/// What came is kept, and the next entry is asked for the rest.
auto DocumentFetcher::fail(const std::string &peer, const std::string &detail) -> void
{
    askLater();
    callbacks_.onPartFailed(peer, detail);
}

/// An entry that has started since, or has had several newer ones, has the document no more. Where another one is offered, the one
/// that may be gone everywhere is given up.
auto DocumentFetcher::takeGone(const std::string &peer) -> void
{
    if (waiting_) {
        beginWaiting();
        return;
    }
    askLater();
    callbacks_.onPartFailed(peer, "no such document");
}

auto DocumentFetcher::askLater() -> void
{
    current_ = (current_ + 1) % readers_.size();
    timer_ = loop_.after(FailurePause, [this]() { askNext(); });
}

auto DocumentFetcher::finish() -> void
{
    const auto round = round_;
    lastRevision_ = transfer_->offer.revision;
    auto whole = *std::exchange(transfer_, std::nullopt);
    if (const auto document = readDocument(std::move(whole))) {
        callbacks_.onDocument(*document);
    } else {
        callbacks_.onPartFailed(readers_.at(current_), "the document can't be unpacked");
    }
    // taking the document over may have changed whom to ask
    if (round == round_ && !transfer_) {
        beginWaiting();
    }
}

} // namespace auburnspread::gateway
