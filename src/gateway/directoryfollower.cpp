#include "gateway/directoryfollower.h"

#include "gateway/clock.h"
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

auto DirectoryFollower::informedAt() const -> TimePoint
{
    return std::max(confirmedAt_, documents_.progressAt());
}

auto DirectoryFollower::reader() const -> const std::string &
{
    return readers_.at(current_);
}

auto DirectoryFollower::follow(std::vector<std::string> readers) -> void
{
    if (readers == readers_) {
        return;
    }
    readers_ = std::move(readers);
    round_ += 1;
    timer_ = {};
    documents_.setReaders(readers_);
    if (!readers_.empty()) {
        current_ = spread_ % readers_.size();
        ask();
    }
}

auto DirectoryFollower::ask() -> void
{
    const auto askedAt = now();
    client_.fetch(makeQuestion(reader(), known_), [this, askedAt, round = round_](const http::Result &result) {
        if (round != round_) {
            return;
        }
        const auto good = take(askedAt, result);
        // applying an answer may have changed whom to ask
        if (round != round_) {
            return;
        }
        if (!good) {
            current_ = (current_ + 1) % readers_.size();
        }
        askAfter(AskInterval);
    });
}

auto DirectoryFollower::askAfter(Duration pause) -> void
{
    timer_ = loop_.after(pause, [this]() { ask(); });
}

/// \return whether this reader is a good one
auto DirectoryFollower::take(TimePoint askedAt, const http::Result &result) -> bool
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        noteReachable(false, error->text);
        return false;
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status != OkStatus) {
        noteReachable(false, "status " + std::to_string(response.status));
        return false;
    }
    try {
        const auto answer = decodeAnswer(response.body);
        noteReachable(true, "");
        return apply(answer, askedAt);
    } catch (const std::runtime_error &error) {
        callbacks_.onInvalid("directory", error.what());
        return false;
    }
}

/// The reader's age counts from the moment of asking: a reader that was suspended on the way can only make the configuration
/// look older than it is. It confirms the reader's configuration, so it says nothing while that one is still to be fetched.
auto DirectoryFollower::apply(const DirectoryAnswer &answer, TimePoint askedAt) -> bool
{
    const auto round = round_;
    if (answer.configuration && answer.configuration->revision > known_.configuration) {
        callbacks_.onOffered(answer.configuration->revision);
        documents_.want(*answer.configuration);
    }
    if (answer.confirmedAge && answer.configuration && answer.configuration->revision == known_.configuration) {
        confirmedAt_ = std::max(confirmedAt_, askedAt - *answer.confirmedAge);
        callbacks_.onConfirmed(askedAt - *answer.confirmedAge);
    }
    if (answer.servers && answer.serversAge) {
        callbacks_.onServers({
            .servers = *answer.servers,
            .revision = answer.serversRevision,
            .asOf = askedAt - *answer.serversAge,
            .outageEndedAt = answer.outageAge ? std::optional(askedAt - *answer.outageAge) : std::nullopt,
        });
    } else if (answer.serversAge) {
        callbacks_.onServersConfirmed(answer.serversRevision, askedAt - *answer.serversAge);
    }
    if (answer.entries) {
        callbacks_.onEntries({ .entries = *answer.entries, .revision = answer.entriesRevision });
    }
    const auto isRecent = [](const std::optional<Duration> &age) { return age && *age < OldConfirmation; };
    return round == round_ && isRecent(answer.confirmedAge) && isRecent(answer.serversAge);
}

auto DirectoryFollower::noteReachable(bool reachable, const std::string &detail) -> void
{
    if (std::exchange(reachable_, reachable) != reachable) {
        callbacks_.onReachable(reader(), reachable, "ask-directory", detail);
    }
}

} // namespace auburnspread::gateway
