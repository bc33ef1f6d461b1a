/// \file
/// What this entry shares with the rest of the fleet: the directory, which it reads from the store for others or asks others
/// for, its registration, and the reports of load.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/events.h"
#include "core/passthrough/router.h"
#include "gateway/accounting.h"
#include "gateway/cachereader.h"
#include "gateway/directory.h"
#include "gateway/directoryfollower.h"
#include "gateway/directorypage.h"
#include "gateway/directorystate.h"
#include "gateway/peerexchange.h"
#include "gateway/settings/gatewaysettings.h"
#include "runtime/task/eventloop.h"

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
    /// Names this entry to callers; the first call counts.
    auto registerSelf() -> void;
    /// Out of the addresses, and of the entries that read the store, for good.
    auto leave() -> void;

    auto tellCrashes(const passthrough::CrashesHeard &crashes) -> void;

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
    auto logServerChanges(const ServersRead &read) -> void;
    auto takeEntries(const EntriesRead &read) -> void;
    auto takePeerMessage(const PeerMessage &message) -> void;

    auto updateRole() -> void;
    auto readCaches() -> void;
    auto takeCacheList(const passthrough::CacheListed &listed) -> void;
    auto findReaders() -> std::vector<std::string>;
    auto sendReport() -> void;

    task::EventLoop &loop_;
    std::string name_;
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

    std::map<std::string, passthrough::Server> servers_; ///< as last logged, by id
    bool configurationUnderstood_ = false;               ///< the newest document told could be read
    bool isReader_ = false;
    bool isRegistered_ = false;
    bool isLeaving_ = false;
    TimePoint readOnceAt_;
    bool reportedUse_ = false;         ///< the last report was not empty
    int reportTurn_ = 0;               ///< which part of the entries gets the sum next
    std::vector<std::string> readers_; ///< peer addresses of the readers other than this entry
    task::Watch reporter_;
    task::Watch roleTimer_;
};

} // namespace auburnspread::gateway
