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

    /// Asks one of these entries several times a second; none: stops asking.
    auto follow(std::vector<std::string> readers) -> void;

    /// Time of the last answer that confirmed the configuration or brought a part of a newer one; long ago if there was none.
    [[nodiscard]] auto informedAt() const -> TimePoint;

private:
    auto ask() -> void;
    auto askAfter(Duration pause) -> void;
    auto take(TimePoint askedAt, const http::Result &result) -> bool;
    auto apply(const DirectoryAnswer &answer, TimePoint askedAt) -> bool;
    auto noteReachable(bool reachable, const std::string &detail) -> void;
    [[nodiscard]] auto reader() const -> const std::string &;

    task::EventLoop &loop_;
    DirectoryCallbacks callbacks_;
    const DirectoryTags &known_;
    std::size_t spread_;
    http::Client client_;
    DocumentFetcher documents_;
    std::vector<std::string> readers_;
    std::size_t current_ = 0;
    std::uint64_t round_ = 0; ///< answers of an earlier choice of readers are dropped
    TimePoint confirmedAt_;
    bool reachable_ = true;
    task::Watch timer_;
};

/// The question, and what the asked entry reads from it.
auto makeQuestion(const std::string &reader, const DirectoryTags &known) -> http::Request;
auto readQuestion(const std::map<std::string, std::string> &query) -> DirectoryTags;

} // namespace auburnspread::gateway
