#include "gateway/directoryfollower.h"

#include "gateway/clock.h"
#include "gateway/directorypage.h"

#include <charconv>
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
/// A reader answers within some milliseconds; after this time the next one is asked.
constexpr Duration AskTimeout = std::chrono::milliseconds(350);
/// A reader whose own confirmation is older is cut off from the store, or the store is away: the next one is asked. In the
/// normal course it is up to 1 s old.
constexpr Duration OldConfirmation = std::chrono::milliseconds(1600);

constexpr int OkStatus = 200;

auto readTag(const std::map<std::string, std::string> &query, const std::string &name) -> std::uint64_t
{
    const auto found = query.find(name);
    std::uint64_t tag = 0;
    if (found != query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), tag);
    }
    return tag;
}

} // namespace

auto makeQuestion(const std::string &reader, const DirectoryTags &known) -> http::Request
{
    const auto path = std::string(DirectoryPath) + "?configuration=" + std::to_string(known.configuration) + "&servers=" + std::to_string(known.servers)
        + "&entries=" + std::to_string(known.entries);
    return { .method = http::Method::Get, .address = reader, .path = path, .timeout = AskTimeout, .isIdempotent = true };
}

auto readQuestion(const std::map<std::string, std::string> &query) -> DirectoryTags
{
    return { .configuration = readTag(query, "configuration"), .servers = readTag(query, "servers"), .entries = readTag(query, "entries") };
}

DirectoryFollower::DirectoryFollower(task::EventLoop &loop, DirectoryCallbacks callbacks)
    : loop_(loop)
    , callbacks_(std::move(callbacks))
    , client_(loop)
{
}

auto DirectoryFollower::confirmedAt() const -> TimePoint
{
    return confirmedAt_;
}

auto DirectoryFollower::reader() const -> const std::string &
{
    return readers_.at(current_);
}

auto DirectoryFollower::follow(std::vector<std::string> readers, const DirectoryTags &known) -> void
{
    tags_ = known;
    if (readers == readers_) {
        return;
    }
    readers_ = std::move(readers);
    current_ = 0;
    round_ += 1;
    timer_ = {};
    if (!readers_.empty()) {
        ask();
    }
}

auto DirectoryFollower::ask() -> void
{
    const auto askedAt = now();
    client_.fetch(makeQuestion(reader(), tags_), [this, askedAt, round = round_](const http::Result &result) {
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
/// look older than it is.
auto DirectoryFollower::apply(const DirectoryAnswer &answer, TimePoint askedAt) -> bool
{
    tags_ = answer.tags;
    const auto round = round_;
    if (answer.configuration) {
        callbacks_.onConfiguration(*answer.configuration);
    }
    if (answer.confirmedAge) {
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
