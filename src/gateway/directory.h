/// \file
/// This entry's own dealings with the platform's store: reads of the operators' configuration, the backend servers and the
/// registered entries, and this entry's registration under a lease.

#pragma once

#include "core/base/time.h"
#include "gateway/directorystate.h"
#include "platform/documents.h"
#include "platform/store.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

/// Of one watch of the configuration; its return confirms the configuration as of its beginning, so that this is half of how old a
/// confirmation gets in the normal course.
constexpr Duration ConfigurationWait = std::chrono::milliseconds(500);

struct DirectoryOptions {
    std::string store; ///< address
    adapter::EntryRecord self;
    Duration leaseTime = std::chrono::seconds(10);          ///< an entry that lost power is asked by those that start for as long
    Duration serversPause = std::chrono::milliseconds(400); ///< between two watches of the backend servers
    Duration serversWait = std::chrono::milliseconds(400);  ///< of such a watch; a change ends it
    Duration configurationWait = ConfigurationWait;
};

class Directory
{
public:
    Directory(task::EventLoop &loop, DirectoryOptions options, DirectoryCallbacks callbacks);

    /// Whether this entry reads the store for others: from now on it follows every change, or leaves it.
    auto setReading(bool reading) -> void;
    /// One read of everything, for an entry that has nobody to ask.
    auto readOnce() -> void;
    /// One read of the configuration, the servers and the entries as they may have been some seconds ago, at a tenth of the price.
    /// Confirms nothing.
    auto readOutdated() -> void;
    /// One question whether the known configuration is the newest.
    auto confirmOnce() -> void;
    /// Keeps the list of entries for those that start when nobody can tell it.
    auto rememberEntries(const std::string &list) -> void;
    /// One read of who is registered.
    auto readRegistrations() -> void;
    /// \name What came by another way
    /// @{
    auto noteConfiguration(std::uint64_t revision) -> void;
    /// The list that is known, before this entry begins to read for others.
    auto noteServers(const DirectoryState &known) -> void;
    auto noteServersConfirmed(TimePoint asOf) -> void;
    /// @}

    /// Registers this entry, and keeps it registered. Does nothing if it is.
    auto registerSelf() -> void;
    /// Ends the registration for good.
    auto withdraw() -> void;

    /// Calls to the store so far, for metrics.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    /// Something that is read, and read again while this entry reads for others. One call at a time is under way.
    ///
    /// Failure: an answer takes longer than the time after which it is asked for again. Symptom: several answers share the link and delay
    /// each other, and lists that come in pages are mixed. What is under way is awaited, and its timeout bounds the wait.
    struct Topic {
        task::Watch timer; ///< of the next call
        bool isUnderWay = false;
        int failures = 0;   ///< since the last answer
        TimePoint failedAt; ///< last
    };

    /// The backend servers as of a revision of the store.
    struct ServerList {
        std::map<std::string, passthrough::Server> byId;
        std::uint64_t revision = 0; ///< 0: nothing is known
        TimePoint asOf;
    };

    using OnItems = std::function<void(const adapter::StoreItems &items)>;
    using OnFailure = std::function<void(adapter::StoreOutcome outcome)>;
    using Step = void (Directory::*)();

    auto call(std::string_view name, const http::Request &request, std::function<void(adapter::StoreOutcome, const http::Result &)> onDone) -> void;
    auto fetchItems(Topic &topic, std::string_view name, const http::Request &request, OnItems onItems, OnFailure onFailure) -> void;
    auto noteReachable(std::string_view name, adapter::StoreOutcome outcome, const http::Result &result) -> void;
    /// The next step, if this entry reads for others.
    auto goOn(Topic &topic, Duration pause, Step step) -> void;
    /// The same after a call that failed; later each time, as the others that try do so too.
    auto goOnAfterFailure(Topic &topic, Step step) -> void;

    /// Until a topic may be asked for again.
    [[nodiscard]] static auto pauseOf(const Topic &topic) -> Duration;
    auto beginReading() -> void;
    auto readRest() -> void;

    auto readConfiguration() -> void;
    auto checkConfiguration() -> void;
    auto watchConfiguration() -> void;
    auto askForChange(Duration wait) -> void;
    auto takeConfiguration(const adapter::StoreItems &items, TimePoint askedAt) -> void;

    auto checkServers() -> void;
    auto readServers() -> void;
    auto readServersPage(const std::string &after) -> void;
    auto takeServersPage(const adapter::StoreItems &items) -> void;
    auto watchServers() -> void;
    auto askForServerChanges(Duration wait) -> void;
    auto takeServerChanges(const adapter::StoreItems &items) -> void;
    auto takeServer(ServerList &list, const adapter::StoreItem &item) -> void;
    [[nodiscard]] auto findOutage() const -> std::optional<TimePoint>;
    auto takeServers() -> void;
    auto tellInvalidServer(const adapter::StoreItem &item, std::string_view detail) -> void;

    auto readOutdatedRange(std::string_view name, std::string_view prefix, const std::string &after, OnItems onItems) -> void;
    auto readOutdatedConfiguration() -> void;
    auto readOutdatedEntries() -> void;
    auto readOutdatedServers(const std::string &after, const std::shared_ptr<ServersRead> &read) -> void;

    auto readEntries() -> void;
    auto watchEntries() -> void;
    auto takeEntries(const adapter::StoreItems &items) -> void;

    auto takeLease() -> void;
    auto putSelf() -> void;
    auto renewLease() -> void;

    task::EventLoop &loop_;
    DirectoryOptions options_;
    DirectoryCallbacks callbacks_;
    http::Client client_;
    std::uint64_t calls_ = 0;
    std::optional<bool> reachable_; ///< as last told
    bool reading_ = false;
    bool readsRest_ = false;  ///< the servers and entries are to be read once the store has answered for the configuration
    std::uint64_t round_ = 0; ///< ends when this entry no longer reads for others; answers to calls of an earlier one are dropped
    Topic configuration_;
    Topic serversTopic_;
    Topic entries_;

    std::uint64_t configurationRevision_ = 0; ///< of the store, since which changes of the configuration are asked for
    std::uint64_t entriesRevision_ = 0;
    std::map<std::string, adapter::EntryRecord> knownEntries_; ///< by key
    ServerList servers_;                                       ///< the last one known
    ServerList page_;                                          ///< the one that is being read
    std::map<std::string, std::uint64_t> invalidServers_;      ///< revision of the last registration told as invalid, by key
    std::optional<TimePoint> serversKnownAt_;                  ///< the newest time as of which the list was known, here or by another entry
    std::optional<TimePoint> outageEndedAt_;
    std::optional<TimePoint> serversFailedAt_; ///< the last call for the list that failed

    bool isRegistered_ = false; ///< or about to be
    std::uint64_t lease_ = 0;
    Duration leaseTime_{}; ///< that the store granted
    bool isWithdrawn_ = false;

    task::Watch leaseTimer_;
};

} // namespace auburnspread::gateway
