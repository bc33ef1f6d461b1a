/// \file
/// Learns the directory from the entries that read the store.

#pragma once

#include "gateway/directorystate.h"
#include "gateway/documentfetcher.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

class DirectoryFollower
{
public:
    /// \p known: what this entry has already; must outlive it. \p spread: which of the entries is asked first, so that not all
    /// ask the same one: 63 entries that fetched 290 KB from one of three at once had 139 KB each after 350 ms.
    DirectoryFollower(task::EventLoop &loop, const DirectoryTags &known, std::size_t spread, DirectoryCallbacks callbacks);

    /// Asks one of these entries several times a second, the next one when one is not fit; none: stops asking.
    auto follow(std::vector<std::string> readers) -> void;

    /// Time of the last answer of any kind; long ago if there was none.
    [[nodiscard]] auto answeredAt() const -> TimePoint;

private:
    auto ask() -> void;
    auto dropQuestion() -> void;
    [[nodiscard]] auto knowsNothing() const -> bool;
    auto takeResult(TimePoint askedAt, const http::Result &result) -> void;
    /// What an answer shows of the entry that was asked.
    enum class Fitness {
        Fit,
        Starting, ///< it knows nothing yet
        Unfit,    ///< it is silent, or has had nothing fresh from the store
    };
    auto take(const std::string &reader, TimePoint askedAt, const http::Result &result) -> Fitness;
    auto apply(const DirectoryAnswer &answer, TimePoint askedAt) -> Fitness;
    auto applyServers(const DirectoryAnswer &answer, TimePoint askedAt) -> void;
    auto applyEntries(const DirectoryAnswer &answer, TimePoint askedAt) -> void;
    auto noteReachable(const std::string &reader, bool reachable, const std::string &detail) -> void;

    task::EventLoop &loop_;
    DirectoryCallbacks callbacks_;
    const DirectoryTags &known_;
    std::size_t spread_;
    http::Client client_;
    DocumentFetcher documents_;
    std::vector<std::string> readers_;
    std::size_t current_ = 0;
    std::string asked_; ///< the reader to which a question is under way
    http::Handle question_{};
    bool isUnderWay_ = false;
    bool isScheduled_ = false; ///< the next question
    TimePoint confirmedAt_;
    TimePoint answeredAt_;
    bool reachable_ = true;
    task::Watch timer_;
};

/// The question, and what the asked entry reads from it.
auto makeQuestion(const std::string &reader, const DirectoryTags &known) -> http::Request;
auto readQuestion(const std::map<std::string, std::string> &query) -> DirectoryTags;

} // namespace auburnspread::gateway
