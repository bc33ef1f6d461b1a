/// \file
/// State that this entry shares with the rest of the fleet: the directory, which it reads from the store for other entries or
/// queries from them, the heartbeats by which entries detect each other, and the load reports.

#pragma once

#include "core/base/time.h"
#include "core/fleet/freshness.h"
#include "core/fleet/membership.h"
#include "core/fleet/role.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/events.h"
#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/cachereader.h"
#include "gateway/directory.h"
#include "gateway/directoryfollower.h"
#include "gateway/directorypage.h"
#include "gateway/directorystate.h"
#include "gateway/duties.h"
#include "gateway/loadreports.h"
#include "gateway/peerexchange.h"
#include "gateway/settings/gatewaysettings.h"
#include "runtime/task/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

struct FleetCallbacks {
    std::function<void(const passthrough::Event &event)> onEvent; ///< input for the router
    std::function<void(const passthrough::CallerLimits &limits)> onLimits;
    std::function<void(const std::string &server)> onServerGone;
    std::function<void()> onReadinessChanged; ///< this entry may have become ready to serve, or stopped being ready
};

class Fleet
{
public:
    /// \p router and \p accounting must outlive the fleet. Throws if an address cannot be bound.
    /// \p account counts what is held for other entries; without one the fleet has its own.
    Fleet(task::EventLoop &loop,
          const GatewaySettings &settings,
          passthrough::RouterState &router,
          Accounting &accounting,
          FleetCallbacks callbacks,
          memory::Account *account = nullptr);

    auto start() -> void;
    /// Announces that this entry serves, so that the other entries may name it to callers.
    auto announce() -> void;
    /// Removes this entry permanently from the addresses named to callers and from the entries that read the store.
    auto leave() -> void;

    /// Records that a request was sent to a backend server, which the next load report includes soon.
    auto recordDispatch() -> void;
    /// Sends the report to the other entries, and repeats it some times.
    auto sendCrashReport(const passthrough::CrashesReported &crashes) -> void;
    /// Tells the entries of these names where a stream began.
    auto sendOrigin(const std::vector<std::string> &entries, const passthrough::OriginReported &origin) -> void;
    /// Asks other entries where a stream began, and which versions its service has had.
    auto askOrigin(const passthrough::AskOrigin &question) -> void;
    /// Records that a request of the workspace started to run on a backend server.
    auto recordStart(const std::string &workspace, TimePoint at) -> void;

    [[nodiscard]] auto hasServerList() const -> bool;
    /// Age of the list of backend servers.
    [[nodiscard]] auto serversAge(TimePoint now) const -> Duration;
    /// Caller addresses of the other entries.
    [[nodiscard]] auto otherAddresses() const -> std::vector<std::string>;
    [[nodiscard]] auto storeCalls() const -> std::uint64_t;

private:
    auto directoryCallbacks() -> DirectoryCallbacks;
    auto handleConfiguration(const ConfigurationSnapshot &read) -> void;
    auto handleConfirmation(StoreRevision revision, TimePoint asOf) -> void;
    auto publishConfirmation(TimePoint asOf) -> void;
    auto handleOffer(StoreRevision revision) -> void;
    auto publishOutdatedSince() -> void;
    auto handleServers(const ServersSnapshot &read) -> void;
    auto handleServersConfirmed(StoreRevision revision, TimePoint asOf) -> void;
    auto handleServersDelta(const ServersDelta &change) -> void;
    auto logServerChanges(const ServerChanges &changes) -> void;
    auto handleEntries(std::vector<fleet::EntryRecord> alive, TimePoint asOf) -> void;
    auto handleRegistrations(const std::vector<fleet::EntryRecord> &registered) -> void;
    auto handleEntriesSnapshot(const std::string &list) -> void;
    auto handleStoreRestored(std::uint64_t era) -> void;
    auto handleReaderCheck(const std::string &peer, bool isHealthy) -> void;
    auto handleLoadReport(const passthrough::PeerReported &report) -> void;
    auto handlePeerMessage(const PeerMessage &message) -> void;
    auto handleOriginQuestion(const OriginQuestion &question) -> void;
    [[nodiscard]] auto peerAddressesOf(const std::vector<std::string> &names) const -> std::vector<std::string>;
    auto handleHeartbeat(const fleet::Heartbeat &heartbeat) -> void;

    [[nodiscard]] auto otherEntries() const -> std::vector<fleet::EntryRecord>;
    auto updateRole() -> void;
    [[nodiscard]] auto isEligibleLeader(TimePoint now) const -> bool;
    auto checkOwnStoreAccess(TimePoint now) -> void;
    auto readStoreIfIsolated(TimePoint now) -> void;
    auto refreshOldData(TimePoint now) -> void;
    auto saveEntriesSnapshot(TimePoint now) -> void;
    auto publishEntries(TimePoint now) -> void;
    auto sendHeartbeat() -> void;
    auto repeatCrashReports() -> void;
    auto publishQuarantined() -> void;
    auto readCaches() -> void;
    auto handleCacheList(const passthrough::CacheListed &listed) -> void;

    task::EventLoop &loop_;
    fleet::EntryRecord self_;
    passthrough::RouterState &router_;
    Accounting &accounting_;
    FleetCallbacks callbacks_;
    DirectoryState known_;
    Directory directory_;
    DirectoryFollower follower_;
    PeerExchange peers_;
    CacheReader caches_;
    std::set<std::string> engineServices_;
    DirectoryPage directoryPage_; ///< answers directory queries of other entries

    std::map<std::string, passthrough::Server> loggedServers_; ///< by id, as last logged
    bool isConfigurationValid_ = false;                        ///< the newest configuration received could be decoded
    LoadReports reports_;
    Duties duties_;
    struct RepeatedCrashReport {
        passthrough::CrashesReported report;
        int repetitionsLeft = 0;
    };
    std::deque<RepeatedCrashReport> crashReports_;  ///< sent recently, oldest first
    std::uint64_t publishedQuarantineRevision_ = 0; ///< of the quarantined requests in \c known_
    fleet::Role role_;
    fleet::Membership membership_; ///< entries from which this one receives heartbeats while it reads the store for them
    fleet::Assignment assignment_;
    bool isServing_ = false;
    TimePoint entriesPublishedAt_; ///< when this entry last published the list of entries
    TimePoint readerSince_;        ///< when this entry started to read the store for others
    TimePoint lastReaderAt_;       ///< when this entry last read the store for others
    TimePoint lastOwnReadAt_;
    TimePoint snapshotSavedAt_;
    std::uint64_t savedSnapshotTag_ = 0;
    Duration ownReadInterval_{};
    fleet::Freshness freshness_;
    task::Watch freshnessTimer_;
    task::Watch heartbeats_;
    task::Watch roleTimer_;
    task::Watch startupConfirmationTimer_;
    task::Watch snapshotTimer_;
};

} // namespace auburnspread::gateway
