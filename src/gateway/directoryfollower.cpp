#include "gateway/directoryfollower.h"

#include "core/fleet/freshness.h"
#include "core/fleet/membership.h"
#include "gateway/clock.h"
#include "gateway/directory.h"
#include "gateway/directorypage.h"
#include "gateway/querynumber.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

/// A change of the store reaches every entry within this interval plus the reader's own one, together a third of the shortest time
/// within which a leaving server must stop receiving new requests.
constexpr Duration QueryInterval = std::chrono::milliseconds(300);
/// A reader responds within milliseconds. After this time without a byte the next one is queried.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(350);
/// Timeout of a response whose bytes keep arriving. Lists of 600 servers and 330 entries are 100 KB, which a third of the entries
/// receive over one link of 25 MB/s in 0.44 s when all of them start at once.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(1500);
/// A reader whose own confirmation is older than MaxDataAge is cut off from the store, or the store is unavailable, and the next reader is
/// queried. In normal operation the confirmation is up to 1 s old.
static_assert(2 * ConfigurationWatchTimeout < fleet::MaxDataAge, "healthy readers would be considered unhealthy, one after the other");

/// An entry without any confirmation queries more often, because the first responses determine how soon it can serve.
constexpr Duration StartupQueryInterval = std::chrono::milliseconds(30);
/// Entries that start together become reachable within tens of milliseconds of each other.
constexpr Duration StartupSilenceTimeout = std::chrono::milliseconds(100);

constexpr int OkStatus = 200;

} // namespace

auto makeDirectoryRequest(const std::string &reader, const DirectoryTags &known) -> http::Request
{
    const auto path = std::string(DirectoryPath) + "?servers=" + std::to_string(known.servers) + "&entries=" + std::to_string(known.entries)
        + "&quarantined=" + std::to_string(known.quarantined);
    return { .address = reader, .path = path, .timeout = AnswerTimeout, .silenceTimeout = SilenceTimeout, .isIdempotent = true };
}

auto parseDirectoryQuery(const std::map<std::string, std::string> &query) -> DirectoryTags
{
    return { .servers = detail::readQueryNumber(query, "servers"),
             .entries = detail::readQueryNumber(query, "entries"),
             .quarantined = detail::readQueryNumber(query, "quarantined") };
}

DirectoryFollower::DirectoryFollower(task::EventLoop &loop, const DirectoryState &known, std::size_t startOffset, DirectoryCallbacks callbacks)
    : loop_(loop)
    , callbacks_(std::move(callbacks))
    , known_(known)
    , startOffset_(startOffset)
    , client_(loop)
    , documents_(loop,
                 client_,
                 startOffset,
                 {
                     .onDocument = [this](const ConfigurationSnapshot &read) { callbacks_.onConfiguration(read); },
                     .onPartFailed = [this](std::string_view peer, const std::string &detail) { callbacks_.onPartFailed(peer, detail); },
                 })
{
}

auto DirectoryFollower::answeredAt() const -> TimePoint
{
    return answeredAt_;
}

auto DirectoryFollower::follow(std::vector<std::string> readers) -> void
{
    if (readers == readers_) {
        return;
    }
    readers_ = std::move(readers);
    documents_.setReaders(readers_);
    if (readers_.empty()) {
        timer_ = {};
        isScheduled_ = false;
        return;
    }
    current_ = startOffset_ % readers_.size();
    cancelObsoleteQuery();
    if (!isInFlight_ && !isScheduled_) {
        sendQuery();
    }
}

/// A query to an entry that is no longer a reader may be waiting for a lost VM.
auto DirectoryFollower::cancelObsoleteQuery() -> void
{
    if (isInFlight_ && std::find(readers_.begin(), readers_.end(), queriedReader_) == readers_.end()) {
        client_.cancel(query_);
        isInFlight_ = false;
    }
}

auto DirectoryFollower::hasNoConfirmation() const -> bool
{
    return !isConfirmedByReader_ || !known_.confirmedAt;
}

auto DirectoryFollower::sendQuery() -> void
{
    isScheduled_ = false;
    isInFlight_ = true;
    queriedReader_ = readers_.at(current_);
    auto known = known_.tags;
    known.quarantined = receivedQuarantineTag_; // this entry's own list differs from the reader's if it knows more
    auto request = makeDirectoryRequest(queriedReader_, known);
    if (hasNoConfirmation()) {
        request.silenceTimeout = StartupSilenceTimeout;
    }
    query_ = client_.fetch(request, [this, requestedAt = now()](const http::Result &result) { handleResult(requestedAt, result); });
}

/// The interval is the same after healthy and unhealthy responses: if all readers are unhealthy, the search must not flood them. It counts from
/// the last query, so that the time lost on a silent reader is not followed by a pause.
auto DirectoryFollower::handleResult(TimePoint requestedAt, const http::Result &result) -> void
{
    isInFlight_ = false;
    const auto reader = queriedReader_;
    const auto health = handleResponse(reader, requestedAt, result);
    const auto isCurrent = !readers_.empty() && readers_.at(current_) == reader;
    if (health != ReaderHealth::Healthy && isCurrent) {
        current_ = (current_ + 1) % readers_.size();
    }
    if (!readers_.empty()) {
        isScheduled_ = true;
        const auto nextQueryAt = requestedAt + (hasNoConfirmation() ? StartupQueryInterval : QueryInterval);
        timer_ = loop_.after(std::max(nextQueryAt - now(), Duration::zero()), [this]() { sendQuery(); });
    }
    // the callback may change the readers
    if (health != ReaderHealth::Starting) {
        callbacks_.onReaderChecked(reader, health == ReaderHealth::Healthy);
    }
}

auto DirectoryFollower::handleResponse(const std::string &reader, TimePoint requestedAt, const http::Result &result) -> ReaderHealth
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        reportReachability(reader, false, error->text);
        return ReaderHealth::Unhealthy;
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status != OkStatus) {
        reportReachability(reader, false, "status " + std::to_string(response.status));
        return ReaderHealth::Unhealthy;
    }
    try {
        const auto answer = decodeAnswer(response.body);
        reportReachability(reader, true, "");
        answeredAt_ = now();
        return apply(answer, requestedAt);
    } catch (const std::runtime_error &error) {
        callbacks_.onInvalid("directory", error.what());
        return ReaderHealth::Unhealthy;
    }
}

/// Ages in the response are subtracted from the time of the request, so a reader that was suspended in between can only make the
/// configuration look older than it is. The confirmation refers to the reader's configuration, which may still have to be fetched.
auto DirectoryFollower::apply(const DirectoryAnswer &answer, TimePoint requestedAt) -> ReaderHealth
{
    if (answer.configuration && answer.configuration->revision > known_.tags.configuration) {
        callbacks_.onConfigurationOffered(answer.configuration->revision);
        documents_.fetch(*answer.configuration);
    }
    if (answer.confirmedAge && answer.configuration) {
        isConfirmedByReader_ = true;
        callbacks_.onConfigurationConfirmed(answer.configuration->revision, requestedAt - *answer.confirmedAge);
    }
    applyServers(answer, requestedAt);
    applyEntries(answer, requestedAt);
    applyQuarantined(answer, requestedAt);
    if (!answer.confirmedAge || !answer.serversAge) {
        return ReaderHealth::Starting;
    }
    return std::max(*answer.confirmedAge, *answer.serversAge) < fleet::MaxDataAge ? ReaderHealth::Healthy : ReaderHealth::Unhealthy;
}

auto DirectoryFollower::applyServers(const DirectoryAnswer &answer, TimePoint requestedAt) -> void
{
    if (!answer.serversAge) {
        return;
    }
    const auto asOf = requestedAt - *answer.serversAge;
    const auto outageEndedAt = answer.outageAge ? std::optional(requestedAt - *answer.outageAge) : std::nullopt;
    if (answer.servers) {
        callbacks_.onServers({
            .servers = unpackServers(*answer.servers),
            .revision = answer.serversRevision,
            .asOf = asOf,
            .outageEndedAt = outageEndedAt,
        });
    } else if (answer.serverChanges) {
        callbacks_.onServersDelta({
            .changes = *answer.serverChanges,
            .tag = answer.serversTag,
            .revision = answer.serversRevision,
            .asOf = asOf,
            .outageEndedAt = outageEndedAt,
        });
    } else {
        callbacks_.onServersConfirmed(answer.serversRevision, asOf);
    }
}

/// Failure: the queried entry was partitioned from the others and receives heartbeats of only some of them. Symptom: entries that query
/// it consider the rest dead. Its list is outdated by then, so an old list is not applied.
auto DirectoryFollower::applyEntries(const DirectoryAnswer &answer, TimePoint requestedAt) -> void
{
    if (!answer.entriesAge || *answer.entriesAge > fleet::MemberTimeout) {
        return;
    }
    const auto asOf = requestedAt - *answer.entriesAge;
    if (answer.entries) {
        callbacks_.onEntries(unpackEntries(*answer.entries), asOf);
    } else {
        callbacks_.onEntriesConfirmed(asOf);
    }
}

auto DirectoryFollower::applyQuarantined(const DirectoryAnswer &answer, TimePoint requestedAt) -> void
{
    if (!answer.quarantined) {
        return;
    }
    receivedQuarantineTag_ = answer.quarantinedTag;
    std::vector<passthrough::QuarantinedSuspect> suspects;
    for (const auto &each : *answer.quarantined) {
        suspects.push_back({ .suspect = each.suspect, .at = requestedAt - each.age });
    }
    callbacks_.onQuarantined(suspects);
}

auto DirectoryFollower::reportReachability(const std::string &reader, bool reachable, const std::string &detail) -> void
{
    if (std::exchange(reachable_, reachable) != reachable) {
        callbacks_.onReachable(reader, reachable, "ask-directory", detail);
    }
}

} // namespace auburnspread::gateway
