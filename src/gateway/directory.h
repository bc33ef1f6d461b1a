/// \file
/// This entry's access to the platform's store: reads of the operators' configuration, the backend servers and the registered
/// entries, and this entry's registration under a lease.

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

/// Longest duration of one watch of the configuration. When a watch returns, it confirms the configuration as of the time at which the
/// watch began, so in normal operation a confirmation gets up to twice this old.
constexpr Duration ConfigurationWatchTimeout = std::chrono::milliseconds(500);

struct DirectoryOptions {
    std::string store; ///< IP number and port of the store
    adapter::EntryRecord self;
    Duration leaseDuration = std::chrono::seconds(10);              ///< starting entries ask an entry that lost power until its lease expires
    Duration serversWatchInterval = std::chrono::milliseconds(400); ///< pause between two watches of the backend servers
    Duration serversWatchTimeout = std::chrono::milliseconds(400);  ///< longest duration of such a watch; a change ends it earlier
    Duration configurationWatchTimeout = ConfigurationWatchTimeout;
};

class Directory
{
public:
    Directory(task::EventLoop &loop, DirectoryOptions options, DirectoryCallbacks callbacks);

    /// Sets whether this entry reads the store on behalf of other entries. While it does, it watches the store for every change.
    auto setReadsForPeers(bool readsForPeers) -> void;
    /// Reads everything once, for an entry that has no other entry to ask.
    auto readOnce() -> void;
    /// Reads the changes of the configuration and the servers once, for an entry whose data is too old.
    auto refreshOnce() -> void;
    /// Reads the configuration, the servers and the saved list of entries once, with results that may be seconds stale, at a tenth
    /// of the cost of a consistent read. Does not confirm the configuration.
    auto readStale() -> void;
    /// Asks the store once whether the known configuration is the newest.
    auto confirmConfiguration() -> void;
    /// Saves the list of entries in the store, for entries that start while no other entry can send it.
    auto saveEntriesSnapshot(const std::string &list) -> void;
    /// Reads the registered entries once.
    auto readRegistrations() -> void;
    /// \name Data received from other entries
    /// @{
    auto recordConfigurationRevision(StoreRevision revision) -> void;
    /// Takes over the known list of servers before this entry reads the store, if it is newer than the list read last.
    auto adoptServers(const DirectoryState &known) -> void;
    auto recordServersConfirmed(TimePoint asOf) -> void;
    /// @}

    /// Registers this entry and renews the registration. Does nothing if called again.
    auto registerSelf() -> void;
    /// Ends the registration; this entry does not register again.
    auto deregister() -> void;

    /// Number of calls to the store so far, for metrics.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    /// Polling state of one kind of data, which is read repeatedly while this entry reads for others. At most one call is in flight.
    ///
    /// Failure: a response takes longer than the interval after which the request is repeated. Symptom: several responses share the
    /// link and delay each other, and the pages of several lists are mixed. A new call therefore waits for the one in flight, whose
    /// timeout bounds the wait.
    struct Poll {
        task::Watch timer; ///< starts the next call
        bool isInFlight = false;
        bool mustReadAnew = false;   ///< a watch brought a response that cannot be decoded, and would again
        int consecutiveFailures = 0; ///< calls that failed since the last response
        TimePoint lastFailureAt;
    };

    /// The backend servers as of a revision of the store.
    struct ServerList {
        std::map<std::string, passthrough::Server> byId;
        StoreRevision revision; ///< number 0: no list is known
        TimePoint asOf;
    };

    /// The store's last return from a copy, as this entry's own calls showed it.
    struct Restore {
        TimePoint seenAt;
        std::optional<std::uint64_t> copyRevision; ///< revision of the store soon after its return; not set: no response has stated it yet
        bool hasIgnoredServers = false;            ///< registrations of the copy were ignored, so the list has to be read again
    };
    /// Whether a response may refer to an earlier era than the call.
    enum class Continuity {
        None,     ///< the call stands for itself
        Required, ///< it continues from an earlier response
    };

    using OnItems = std::function<void(const adapter::StoreItems &items)>;
    using OnFailure = std::function<void(adapter::StoreOutcome outcome)>;
    using ReadMethod = void (Directory::*)();

    auto decodeItems(std::string_view name, const http::Response &response) -> std::optional<adapter::StoreItems>;
    auto callStore(std::string_view name, const http::Request &request, std::function<void(adapter::StoreOutcome, const http::Result &)> onDone) -> void;
    auto fetchItems(Poll &poll, std::string_view name, const http::Request &request, Continuity continuity, OnItems onItems, OnFailure onFailure) -> void;
    /// \return whether the response belongs to the store's newest era that is known
    auto acceptEra(std::uint64_t era) -> bool;
    auto handleRestore() -> void;
    /// Whether a watch from this revision misses nothing.
    [[nodiscard]] auto canContinueFrom(StoreRevision revision) const -> bool;
    /// Whether the operators have had the time to write again what a restore may have lost.
    [[nodiscard]] auto isConfigurationSettled(TimePoint requestedAt) const -> bool;
    [[nodiscard]] auto isDoubtful(const adapter::StoreItem &item) const -> bool;
    auto reportReachability(std::string_view name, adapter::StoreOutcome outcome, const http::Result &result) -> void;
    /// Schedules the next call, if this entry reads for others.
    auto scheduleNext(Poll &poll, Duration pause, ReadMethod method) -> void;
    /// Schedules a retry after a failed call, with a growing delay because other entries retry as well.
    auto scheduleRetry(Poll &poll, ReadMethod method) -> void;

    /// Delay before the next retry.
    [[nodiscard]] static auto retryDelay(int consecutiveFailures) -> Duration;
    auto startReading() -> void;
    auto readServersAndEntries() -> void;

    auto readConfiguration() -> void;
    auto refreshConfiguration() -> void;
    auto watchConfiguration() -> void;
    auto fetchConfigurationChange(Duration watchTimeout) -> void;
    auto handleConfiguration(const adapter::StoreItems &items, TimePoint requestedAt) -> void;

    auto refreshServers() -> void;
    auto readServers() -> void;
    auto readServersPage(const std::string &after) -> void;
    auto handleServersPage(const adapter::StoreItems &items) -> void;
    auto watchServers() -> void;
    auto fetchServerChanges(Duration watchTimeout) -> void;
    auto handleServerChanges(const adapter::StoreItems &items) -> void;
    auto applyServer(ServerList &list, const adapter::StoreItem &item) -> void;
    [[nodiscard]] auto detectOutage() const -> std::optional<TimePoint>;
    auto publishServers() -> void;
    auto reportInvalidServer(const adapter::StoreItem &item, std::string_view detail) -> void;

    auto readStaleRange(std::string_view name, std::string_view prefix, const std::string &after, OnItems onItems) -> void;
    auto readStaleConfiguration() -> void;
    auto readStaleEntries() -> void;
    auto readStaleServers(const std::string &after, const std::shared_ptr<ServersSnapshot> &read) -> void;

    auto readEntries() -> void;
    auto watchEntries() -> void;
    auto handleEntries(const adapter::StoreItems &items) -> void;

    auto acquireLease() -> void;
    auto writeRegistration() -> void;
    auto renewLease() -> void;

    task::EventLoop &loop_;
    DirectoryOptions options_;
    DirectoryCallbacks callbacks_;
    http::Client client_;
    std::uint64_t calls_ = 0;
    std::optional<bool> lastReachable_; ///< as last reported
    bool readsForPeers_ = false;
    bool serversAndEntriesPending_ = false; ///< the servers and entries are read once the store has responded to a read of the configuration
    bool serversPending_ = false;           ///< so are the servers alone
    std::uint64_t era_ = 0;                 ///< newest era of the store that is known, from this entry's calls or another entry
    std::optional<Restore> restore_;
    std::uint64_t generation_ = 0; ///< incremented when this entry stops reading for others; responses to calls of an earlier generation are dropped
    Poll configurationPoll_;
    Poll serversPoll_;
    Poll entriesPoll_;

    StoreRevision configurationRevision_; ///< store revision from which the configuration is watched
    StoreRevision documentRevision_;      ///< of the newest configuration known, by this entry's reads or another entry
    StoreRevision entriesRevision_;
    std::map<std::string, adapter::EntryRecord> registeredEntries_; ///< by store key
    ServerList servers_;                                            ///< newest complete list
    ServerList partialServers_;                                     ///< pages of the list that is being read
    std::map<std::string, StoreRevision> reportedInvalidServers_;   ///< revision of the last registration reported as invalid, by store key
    std::optional<TimePoint> serversConfirmedAt_;                   ///< newest time as of which this entry or another one knew the list
    std::optional<TimePoint> outageEndedAt_;
    std::optional<TimePoint> lastServersFailureAt_; ///< time of the last failed call for the list

    bool isRegistrationStarted_ = false; ///< registration has been requested
    bool isRegistrationLost_ = false;    ///< a restore of the store may have lost it, and it has not been written again yet
    std::uint64_t lease_ = 0;
    int leaseFailures_ = 0;           ///< calls for a lease that failed since the last one was granted
    Duration grantedLeaseDuration_{}; ///< may differ from the requested duration
    bool isDeregistered_ = false;

    task::Watch leaseTimer_;
};

} // namespace auburnspread::gateway
