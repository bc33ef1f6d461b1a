/// \file
/// Keeps the directory up to date by querying the entries that read the store.

#pragma once

#include "gateway/directorystate.h"
#include "gateway/documentfetcher.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

class DirectoryFollower
{
public:
    /// \p known: the data that this entry already has; must outlive the follower. \p startOffset selects the reader that is
    /// queried first, so that entries spread over the readers: when 63 entries fetched 290 KB from one of three readers at once,
    /// each had received 139 KB after 350 ms.
    DirectoryFollower(task::EventLoop &loop, const DirectoryState &known, std::size_t startOffset, DirectoryCallbacks callbacks);

    /// Queries one of these entries several times a second and moves to the next one when it is unhealthy. An empty list stops the
    /// queries.
    auto follow(std::vector<std::string> readers) -> void;

    /// Time of the last valid response; the epoch if there was none.
    [[nodiscard]] auto answeredAt() const -> TimePoint;

private:
    auto sendQuery() -> void;
    auto cancelObsoleteQuery() -> void;
    [[nodiscard]] auto hasNoConfirmation() const -> bool;
    auto handleResult(TimePoint requestedAt, const http::Result &result) -> void;
    /// State of the queried entry as its response shows it.
    enum class ReaderHealth {
        Healthy,
        Starting,  ///< it has not read the store yet
        Unhealthy, ///< it does not respond, or its data of the store is stale
    };
    auto handleResponse(const std::string &reader, TimePoint requestedAt, const http::Result &result) -> ReaderHealth;
    auto apply(const DirectoryAnswer &answer, TimePoint requestedAt) -> ReaderHealth;
    auto applyServers(const DirectoryAnswer &answer, TimePoint requestedAt) -> void;
    auto applyEntries(const DirectoryAnswer &answer, TimePoint requestedAt) -> void;
    auto applyQuarantined(const DirectoryAnswer &answer, TimePoint requestedAt) -> void;
    auto reportReachability(const std::string &reader, bool reachable, const std::string &detail) -> void;

    task::EventLoop &loop_;
    DirectoryCallbacks callbacks_;
    const DirectoryState &known_;
    std::size_t startOffset_;
    http::Client client_;
    DocumentFetcher documents_;
    std::vector<std::string> readers_;
    std::size_t current_ = 0;
    std::string queriedReader_; ///< the reader to which a query is in flight
    http::Handle query_{};
    bool isInFlight_ = false;
    bool isScheduled_ = false;                ///< the timer for the next query is set
    std::uint64_t receivedQuarantineTag_ = 0; ///< of the list of quarantined requests received last
    bool isConfirmedByReader_ = false;        ///< a response confirmed a configuration
    TimePoint answeredAt_;
    bool reachable_ = true;
    task::Watch timer_;
};

/// Creates the request for a directory query, and parses it on the queried entry.
auto makeDirectoryRequest(const std::string &reader, const DirectoryTags &known) -> http::Request;
auto parseDirectoryQuery(const std::map<std::string, std::string> &query) -> DirectoryTags;

} // namespace auburnspread::gateway
