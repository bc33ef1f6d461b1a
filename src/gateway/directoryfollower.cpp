#include "gateway/directoryfollower.h"

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

/// A change of the store reaches every entry within this and the reader's own interval, a third of the least time in which
/// a leaving server must get nothing new.
constexpr Duration AskInterval = std::chrono::milliseconds(300);
/// A reader answers within some milliseconds; without a byte for this long the next one is asked.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(350);
/// Of an answer as long as its bytes come: lists of 600 servers and 330 entries are 100 KB, which a third of the entries get from
/// one link of 25 MB/s in 0.44 s when all of them start.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(1500);
/// A reader whose own confirmation is older is cut off from the store, or the store is away: the next one is asked. In the
/// normal course it is up to 1 s old.
constexpr Duration OldConfirmation = std::chrono::milliseconds(1600);
static_assert(2 * ConfigurationWait < OldConfirmation, "readers that are well would be taken for unfit, one after the other");

/// An entry that knows nothing yet asks sooner: the first answers decide how soon it can serve.
constexpr Duration StartInterval = std::chrono::milliseconds(30);
/// Entries that start together are there within some tens of milliseconds, but not all at once.
constexpr Duration StartSilenceTimeout = std::chrono::milliseconds(100);

constexpr int OkStatus = 200;

} // namespace

auto makeQuestion(const std::string &reader, const DirectoryTags &known) -> http::Request
{
    const auto path = std::string(DirectoryPath) + "?servers=" + std::to_string(known.servers) + "&entries=" + std::to_string(known.entries);
    return { .address = reader, .path = path, .timeout = AnswerTimeout, .silenceTimeout = SilenceTimeout, .isIdempotent = true };
}

auto readQuestion(const std::map<std::string, std::string> &query) -> DirectoryTags
{
    return { .servers = detail::readQueryNumber(query, "servers"), .entries = detail::readQueryNumber(query, "entries") };
}

DirectoryFollower::DirectoryFollower(task::EventLoop &loop, const DirectoryTags &known, std::size_t spread, DirectoryCallbacks callbacks)
    : loop_(loop)
    , callbacks_(std::move(callbacks))
    , known_(known)
    , spread_(spread)
    , client_(loop)
    , documents_(loop,
                 client_,
                 spread,
                 {
                     .onDocument = [this](const ConfigurationRead &read) { callbacks_.onConfiguration(read); },
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
    current_ = spread_ % readers_.size();
    dropQuestion();
    if (!isUnderWay_ && !isScheduled_) {
        ask();
    }
}

/// A question to one that is not to be asked any more may be waiting for a VM that is gone.
auto DirectoryFollower::dropQuestion() -> void
{
    if (isUnderWay_ && std::find(readers_.begin(), readers_.end(), asked_) == readers_.end()) {
        client_.cancel(question_);
        isUnderWay_ = false;
    }
}

auto DirectoryFollower::knowsNothing() const -> bool
{
    return confirmedAt_ == TimePoint();
}

auto DirectoryFollower::ask() -> void
{
    isScheduled_ = false;
    isUnderWay_ = true;
    asked_ = readers_.at(current_);
    auto question = makeQuestion(asked_, known_);
    if (knowsNothing()) {
        question.silenceTimeout = StartSilenceTimeout;
    }
    question_ = client_.fetch(question, [this, askedAt = now()](const http::Result &result) { takeResult(askedAt, result); });
}

/// The pause is the same after a good answer and a bad one: where all are bad, the search for a better one must not become a flood.
auto DirectoryFollower::takeResult(TimePoint askedAt, const http::Result &result) -> void
{
    isUnderWay_ = false;
    const auto reader = asked_;
    const auto fitness = take(reader, askedAt, result);
    const auto isCurrent = !readers_.empty() && readers_.at(current_) == reader;
    if (fitness != Fitness::Fit && isCurrent) {
        current_ = (current_ + 1) % readers_.size();
    }
    if (!readers_.empty()) {
        isScheduled_ = true;
        timer_ = loop_.after(knowsNothing() ? StartInterval : AskInterval, [this]() { ask(); });
    }
    // the answer may change whom to ask
    if (fitness != Fitness::Starting) {
        callbacks_.onAsked(reader, fitness == Fitness::Fit);
    }
}

auto DirectoryFollower::take(const std::string &reader, TimePoint askedAt, const http::Result &result) -> Fitness
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        noteReachable(reader, false, error->text);
        return Fitness::Unfit;
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status != OkStatus) {
        noteReachable(reader, false, "status " + std::to_string(response.status));
        return Fitness::Unfit;
    }
    try {
        const auto answer = decodeAnswer(response.body);
        noteReachable(reader, true, "");
        answeredAt_ = now();
        return apply(answer, askedAt);
    } catch (const std::runtime_error &error) {
        callbacks_.onInvalid("directory", error.what());
        return Fitness::Unfit;
    }
}

/// The reader's age counts from the moment of asking: a reader that was suspended on the way can only make the configuration
/// look older than it is. It confirms the reader's configuration, so it says nothing while that one is still to be fetched.
auto DirectoryFollower::apply(const DirectoryAnswer &answer, TimePoint askedAt) -> Fitness
{
    if (answer.configuration && answer.configuration->revision > known_.configuration) {
        callbacks_.onOffered(answer.configuration->revision);
        documents_.want(*answer.configuration);
    }
    if (answer.confirmedAge && answer.configuration && answer.configuration->revision == known_.configuration) {
        confirmedAt_ = std::max(confirmedAt_, askedAt - *answer.confirmedAge);
        callbacks_.onConfirmed(askedAt - *answer.confirmedAge);
    }
    applyServers(answer, askedAt);
    applyEntries(answer, askedAt);
    if (!answer.confirmedAge || !answer.serversAge) {
        return Fitness::Starting;
    }
    return std::max(*answer.confirmedAge, *answer.serversAge) < OldConfirmation ? Fitness::Fit : Fitness::Unfit;
}

auto DirectoryFollower::applyServers(const DirectoryAnswer &answer, TimePoint askedAt) -> void
{
    if (!answer.serversAge) {
        return;
    }
    const auto asOf = askedAt - *answer.serversAge;
    const auto outageEndedAt = answer.outageAge ? std::optional(askedAt - *answer.outageAge) : std::nullopt;
    if (answer.servers) {
        callbacks_.onServers({
            .servers = unpackServers(*answer.servers),
            .revision = answer.serversRevision,
            .asOf = asOf,
            .outageEndedAt = outageEndedAt,
        });
    } else if (answer.serverChanges) {
        callbacks_.onServersChanged({
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

/// Failure: the asked entry was cut off from the others and hears only some of them. Symptom: whoever asks it takes the rest for dead.
/// Its list is from before by then, and is not taken over.
auto DirectoryFollower::applyEntries(const DirectoryAnswer &answer, TimePoint askedAt) -> void
{
    if (!answer.entriesAge || *answer.entriesAge > fleet::MemberAge) {
        return;
    }
    const auto asOf = askedAt - *answer.entriesAge;
    if (answer.entries) {
        callbacks_.onEntries(unpackEntries(*answer.entries), asOf);
    } else {
        callbacks_.onEntriesConfirmed(asOf);
    }
}

auto DirectoryFollower::noteReachable(const std::string &reader, bool reachable, const std::string &detail) -> void
{
    if (std::exchange(reachable_, reachable) != reachable) {
        callbacks_.onReachable(reader, reachable, "ask-directory", detail);
    }
}

} // namespace auburnspread::gateway
