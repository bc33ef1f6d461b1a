/// \file
/// This entry's own dealings with the platform's store: reads of the operators' configuration, the backend servers and the
/// entries that are alive, and this entry's registration under a lease.

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
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

struct DirectoryOptions {
    std::string store; ///< address
    adapter::EntryRecord self;
    Duration leaseTime = std::chrono::milliseconds(2000);        ///< an entry that lost power is named to callers for as long
    Duration serversInterval = std::chrono::milliseconds(500);   ///< between two reads of the backend servers
    Duration configurationWait = std::chrono::milliseconds(500); ///< of one watch; its return confirms the configuration
};

class Directory
{
public:
    Directory(task::EventLoop &loop, DirectoryOptions options, DirectoryCallbacks callbacks);

    /// Whether this entry reads the store for others: from now on it follows every change, or leaves it.
    auto setReading(bool reading) -> void;
    /// One read of everything, for an entry that has nobody to ask.
    auto readOnce() -> void;
    /// A configuration of this revision came by another way.
    auto noteConfiguration(std::uint64_t revision) -> void;

    /// Registers this entry, and keeps it registered.
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
    };

    using OnItems = std::function<void(const adapter::StoreItems &items)>;
    using OnFailure = std::function<void(adapter::StoreOutcome outcome)>;
    using Step = void (Directory::*)();

    auto call(std::string_view name, const http::Request &request, std::function<void(adapter::StoreOutcome, const http::Result &)> onDone) -> void;
    auto fetchItems(Topic &topic, std::string_view name, const http::Request &request, OnItems onItems, OnFailure onFailure) -> void;
    auto noteReachable(std::string_view name, adapter::StoreOutcome outcome, const http::Result &result) -> void;
    /// The next step, if this entry reads for others.
    auto goOn(Topic &topic, Duration pause, Step step) -> void;

    auto readConfiguration() -> void;
    auto checkConfiguration() -> void;
    auto watchConfiguration() -> void;
    auto askForChange(Duration wait) -> void;
    auto takeConfiguration(const adapter::StoreItems &items, TimePoint askedAt) -> void;

    auto readServers() -> void;
    auto readServersPage(const std::string &after) -> void;
    auto takeServersPage(const adapter::StoreItems &items) -> void;
    auto takeServers() -> void;
    auto tellInvalidServer(const adapter::StoreItem &item, std::string_view detail) -> void;

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
    std::uint64_t round_ = 0; ///< ends when this entry no longer reads for others; answers to calls of an earlier one are dropped
    Topic configuration_;
    Topic servers_;
    Topic entries_;

    std::uint64_t configurationRevision_ = 0; ///< of the store, since which changes of the configuration are asked for
    std::uint64_t entriesRevision_ = 0;
    std::map<std::string, adapter::EntryRecord> knownEntries_; ///< by key
    ServersRead page_;                                         ///< the list that is being read
    std::map<std::string, std::uint64_t> invalidServers_;      ///< revision of the last registration told as invalid, by key
    std::optional<TimePoint> serversReadAt_;
    std::optional<TimePoint> outageEndedAt_;
    bool serversFailed_ = false; ///< since the last list that was read

    std::uint64_t lease_ = 0;
    Duration leaseTime_{}; ///< that the store granted
    bool isWithdrawn_ = false;

    task::Watch leaseTimer_;
};

} // namespace auburnspread::gateway
