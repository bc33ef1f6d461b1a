/// \file
/// What this entry shares with the rest of the fleet: the directory, which it reads from the store for others or asks others
/// for, the heartbeats by which entries know of each other, and the reports of load.

#pragma once

#include "core/base/time.h"
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
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

struct FleetCallbacks {
    std::function<void(const passthrough::Event &event)> onEvent; ///< for the decision core
    std::function<void(const passthrough::CallerLimits &limits)> onLimits;
    std::function<void(const std::string &server)> onServerGone;
    std::function<void()> onChanged; ///< this entry may have become able to serve, or no longer be
};

class Fleet
{
public:
    /// \p router and \p accounting must outlive it. Throws if an address can't be bound.
    Fleet(task::EventLoop &loop, const GatewaySettings &settings, passthrough::RouterState &router, Accounting &accounting, FleetCallbacks callbacks);

    auto start() -> void;
    /// This entry serves from now on: the others may name it to callers.
    auto announce() -> void;
    /// Out of the addresses, and of the entries that read the store, for good.
    auto leave() -> void;

    /// A request was sent to a backend server: the others are told soon.
    auto noteSent() -> void;
    auto tellCrashes(const passthrough::CrashesHeard &crashes) -> void;
    /// A request of the workspace began to run on a backend server.
    auto noteBegun(const std::string &workspace, TimePoint at) -> void;

    [[nodiscard]] auto knowsServers() const -> bool;
    /// Age of the list of backend servers.
    [[nodiscard]] auto serversAge(TimePoint now) const -> Duration;
    /// Addresses of the other entries, for callers.
    [[nodiscard]] auto otherAddresses() const -> std::vector<std::string>;
    [[nodiscard]] auto storeCalls() const -> std::uint64_t;

private:
    auto directoryCallbacks() -> DirectoryCallbacks;
    auto takeConfiguration(const ConfigurationRead &read) -> void;
    auto takeConfirmed(TimePoint asOf) -> void;
    auto takeOffer(std::uint64_t revision) -> void;
    auto tellOutdated() -> void;
    auto takeServers(const ServersRead &read) -> void;
    auto takeServersConfirmed(std::uint64_t revision, TimePoint asOf) -> void;
    auto takeServersChanged(const ServersChanged &change) -> void;
    auto logServerChanges(const ServerChanges &changes) -> void;
    auto takeEntries(std::vector<fleet::EntryRecord> alive, TimePoint asOf) -> void;
    auto takeRegistrations(const std::vector<fleet::EntryRecord> &registered) -> void;
    auto takeRemembered(const std::string &list) -> void;
    auto takeAsked(const std::string &peer, bool isFit) -> void;
    auto takePeerMessage(const PeerMessage &message) -> void;
    auto takeHeartbeat(const fleet::Heartbeat &heartbeat) -> void;

    [[nodiscard]] auto others() const -> std::vector<fleet::EntryRecord>;
    auto updateRole() -> void;
    [[nodiscard]] auto mayLead(TimePoint now) const -> bool;
    auto checkOwnReading(TimePoint now) -> void;
    auto checkAlone(TimePoint now) -> void;
    auto rememberEntries(TimePoint now) -> void;
    auto listEntries(TimePoint now) -> void;
    auto sendHeartbeat() -> void;
    auto readCaches() -> void;
    auto takeCacheList(const passthrough::CacheListed &listed) -> void;

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
    DirectoryPage directoryPage_; ///< for other entries

    struct LoggedServer {
        std::string service;
        bool isLeaving = false;
        std::int64_t startedAt = 0;
    };
    std::map<std::string, LoggedServer> servers_; ///< as last logged, by id
    bool configurationUnderstood_ = false;        ///< the newest document told could be read
    LoadReports reports_;
    Duties duties_;
    fleet::Role role_;
    fleet::Membership membership_; ///< as this entry hears the others, while it reads the store for them
    fleet::Assignment assignment_;
    bool serves_ = false;
    TimePoint listedAt_;     ///< the entries, by this entry
    TimePoint readingSince_; ///< the store, for others
    TimePoint readAt_;       ///< the same, until when
    TimePoint readOnceAt_;
    TimePoint rememberedAt_;
    std::uint64_t rememberedTag_ = 0;
    Duration readOncePause_{};
    task::Watch heartbeats_;
    task::Watch roleTimer_;
    task::Watch startConfirmation_;
    task::Watch rememberedTimer_;
};

} // namespace auburnspread::gateway
