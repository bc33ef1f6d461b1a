#include "gateway/fleet.h"

#include "core/passthrough/readers.h"
#include "gateway/clock.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

/// With more entries than this the readers sum the reports up; a sum of 60 servers takes about 1.6 KB.
constexpr std::size_t MostDirectPeers = 12;
/// A reader sends its sum to each entry once in this many reports. With three readers each entry hears one about ten times a
/// second, and a reader of 85 others sends half a megabyte a second.
constexpr int ReportsPerTotals = 3;

/// Whether this entry reads the store is looked at again this often, and whenever the entries change.
constexpr Duration RoleInterval = std::chrono::milliseconds(250);
/// Without a fresh answer of a reader for this long, an entry reads the store itself. A confirmation is up to 1.3 s old in the
/// normal course (two watches of a reader and one question), and the configuration counts as unconfirmed after some 3.5 s.
constexpr Duration FollowPatience = std::chrono::milliseconds(2200);
constexpr Duration ReadOnceInterval = std::chrono::milliseconds(800);

} // namespace

Fleet::Fleet(task::EventLoop &loop, const GatewaySettings &settings, passthrough::RouterState &router, Accounting &accounting, FleetCallbacks callbacks)
    : loop_(loop)
    , name_(settings.name)
    , router_(router)
    , accounting_(accounting)
    , callbacks_(std::move(callbacks))
    , directory_(loop,
                 {
                     .store = settings.storeAddress,
                     .self = {
                         .name = settings.name,
                         .callerAddress = settings.callerAddress,
                         .peerAddress = settings.peerAddress,
                         .failureDomain = settings.failureDomain,
                         .strength = settings.strength,
                     },
                     .leaseTime = settings.leaseTime,
                 },
                 directoryCallbacks())
    , follower_(loop, known_.tags, XXH64(name_.data(), name_.size(), 0), directoryCallbacks())
    , peers_(loop,
             settings.peerAddress,
             [this](const PeerMessage &message) { takePeerMessage(message); },
             [this](const std::string &detail) { accounting_.inputInvalid("peer", detail); })
    , caches_(loop,
              {
                  .onListed = [this](const passthrough::CacheListed &listed) { takeCacheList(listed); },
                  .onFailed = [this](std::string_view server, const std::string &detail) { accounting_.cacheNotListed(server, detail); },
              })
    , directoryPage_(loop, known_)
{
    directoryPage_.listen(settings.peerAddress);
}

auto Fleet::start() -> void
{
    readOnceAt_ = now();
    directory_.readOnce();
    roleTimer_ = loop_.every(RoleInterval, [this]() { updateRole(); });
    reporter_ = loop_.every(passthrough::ReportInterval, [this]() { sendReport(); });
}

auto Fleet::registerSelf() -> void
{
    if (!std::exchange(isRegistered_, true)) {
        directory_.registerSelf();
    }
}

auto Fleet::leave() -> void
{
    isLeaving_ = true;
    updateRole();
    directory_.withdraw();
}

auto Fleet::tellCrashes(const passthrough::CrashesHeard &crashes) -> void
{
    peers_.send(crashes);
}

auto Fleet::knowsServers() const -> bool
{
    return known_.serversAt.has_value();
}

auto Fleet::serversAge(TimePoint now) const -> Duration
{
    return now - known_.serversAt.value_or(TimePoint());
}

auto Fleet::otherAddresses() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto &entry : known_.entries) {
        if (entry.name != name_) {
            addresses.push_back(entry.callerAddress);
        }
    }
    return addresses;
}

auto Fleet::storeCalls() const -> std::uint64_t
{
    return directory_.calls();
}

auto Fleet::directoryCallbacks() -> DirectoryCallbacks
{
    return {
        .onConfiguration = [this](const ConfigurationRead &read) { takeConfiguration(read); },
        .onConfirmed = [this](TimePoint asOf) { takeConfirmed(asOf); },
        .onOffered = [this](std::uint64_t revision) { takeOffer(revision); },
        .onServers = [this](const ServersRead &read) { takeServers(read); },
        .onServersConfirmed = [this](std::uint64_t revision, TimePoint asOf) { takeServersConfirmed(revision, asOf); },
        .onEntries = [this](const EntriesRead &read) { takeEntries(read); },
        .onReachable =
            [this](std::string_view peer, bool reachable, std::string_view call, const std::string &detail) {
                accounting_.dependencyReachable(peer, reachable, call, detail);
            },
        .onPartFailed = [this](std::string_view peer, const std::string &detail) { accounting_.documentPartFailed(peer, detail); },
        .onInvalid = [this](std::string_view what, const std::string &detail) { accounting_.inputInvalid(what, detail); },
    };
}

auto Fleet::takeConfiguration(const ConfigurationRead &read) -> void
{
    try {
        const auto configuration = adapter::decodeConfiguration(read.document);
        configurationUnderstood_ = true;
        const auto before = passthrough::statusOf(router_, now()).configurationVersion;
        callbacks_.onEvent(passthrough::ConfigurationAdopted{ .configuration = configuration });
        if (configuration.version < before) {
            noteConfigurationRead(known_, read.revision);
        } else {
            gateway::takeConfiguration(known_, read);
            directory_.noteConfiguration(read.revision);
        }
        tellOutdated();
        if (configuration.version <= before) {
            return;
        }
        engineServices_.clear();
        for (const auto &service : configuration.services) {
            if (service.batchSlots) {
                engineServices_.insert(service.name);
            }
        }
        accounting_.configurationAdopted(configuration.version, read.document.size(), configuration.routes.size(), configuration.workspaces.size());
        callbacks_.onLimits(configuration.limits);
    } catch (const adapter::InvalidDocument &error) {
        configurationUnderstood_ = false;
        accounting_.inputInvalid("configuration", error.what());
    }
}

/// A document that could not be read may take keys away: the configuration in force is not confirmed by it.
auto Fleet::takeConfirmed(TimePoint asOf) -> void
{
    if (!configurationUnderstood_) {
        return;
    }
    gateway::takeConfirmed(known_, asOf);
    callbacks_.onEvent(passthrough::ConfigurationConfirmed{ .asOf = asOf });
    tellOutdated();
}

auto Fleet::takeOffer(std::uint64_t revision) -> void
{
    if (gateway::takeOffer(known_, revision, now())) {
        accounting_.configurationOffered(revision);
        tellOutdated();
    }
}

auto Fleet::tellOutdated() -> void
{
    callbacks_.onEvent(passthrough::ConfigurationOutdated{ .since = outdatedSince(known_) });
    callbacks_.onChanged();
}

auto Fleet::takeServers(const ServersRead &read) -> void
{
    if (!gateway::takeServers(known_, read)) {
        return;
    }
    logServerChanges(read);
    callbacks_.onEvent(passthrough::ServersListed{ .servers = read.servers, .asOf = read.asOf, .outageEndedAt = read.outageEndedAt });
    callbacks_.onChanged();
}

/// What was listed and has not changed was read again.
auto Fleet::takeServersConfirmed(std::uint64_t revision, TimePoint asOf) -> void
{
    if (revision >= known_.serversRevision && known_.serversAt) {
        known_.serversRevision = revision;
        known_.serversAt = std::max(*known_.serversAt, asOf);
    }
}

auto Fleet::logServerChanges(const ServersRead &read) -> void
{
    std::map<std::string, passthrough::Server> next;
    for (const auto &server : read.servers) {
        next[server.id] = server;
        const auto before = servers_.find(server.id);
        if (before == servers_.end()) {
            accounting_.serversChanged("joined", server.id, server.service);
        } else if (before->second.startedAt != server.startedAt) {
            accounting_.serversChanged("restarted", server.id, server.service);
            callbacks_.onServerGone(server.id);
        } else if (before->second.isLeaving != server.isLeaving) {
            accounting_.serversChanged(server.isLeaving ? "leaving" : "available", server.id, server.service);
        }
    }
    for (const auto &[id, server] : servers_) {
        if (!next.contains(id)) {
            accounting_.serversChanged("unlisted", id, server.service);
            callbacks_.onServerGone(id);
        }
    }
    servers_ = std::move(next);
}

auto Fleet::takeEntries(const EntriesRead &read) -> void
{
    if (!gateway::takeEntries(known_, read)) {
        return;
    }
    accounting_.entriesChanged(known_.entries.size());
    std::vector<std::string> others;
    for (const auto &entry : known_.entries) {
        if (entry.name != name_) {
            others.push_back(entry.peerAddress);
        }
    }
    callbacks_.onEvent(passthrough::EntriesCounted{ .entries = static_cast<std::uint32_t>(others.size() + 1) });
    peers_.setPeers(std::move(others));
    updateRole();
}

/// Addresses of the readers that this entry may ask; whether it is one itself stands in isReader_.
auto Fleet::findReaders() -> std::vector<std::string>
{
    std::vector<passthrough::ReaderCandidate> candidates;
    std::map<std::string, std::string> addresses;
    for (const auto &entry : known_.entries) {
        candidates.push_back({ .name = entry.name, .strength = entry.strength });
        addresses[entry.name] = entry.peerAddress;
    }
    auto chosen = passthrough::chooseReaders(std::move(candidates));
    const auto reads = std::erase(chosen, name_) > 0 && !isLeaving_;
    if (std::exchange(isReader_, reads) != reads) {
        accounting_.roleChanged(isReader_, chosen.size() + (reads ? 1 : 0));
    }
    std::transform(chosen.begin(), chosen.end(), chosen.begin(), [&](const std::string &name) { return addresses.at(name); });
    return chosen;
}

/// An entry that is not among the readers asks these. One that has nobody to ask, or gets nothing fresh, reads the store
/// itself now and then, so that it depends on no other entry.
auto Fleet::updateRole() -> void
{
    readCaches();
    readers_ = findReaders();
    directory_.setReading(isReader_);
    follower_.follow(isReader_ ? std::vector<std::string>() : readers_);
    const auto at = now();
    const auto isInformed = isReader_ || at - follower_.informedAt() < FollowPatience;
    if (!isInformed && at - readOnceAt_ >= ReadOnceInterval) {
        readOnceAt_ = at;
        directory_.readOnce();
    }
}

/// Once, as soon as engines and other entries are known.
auto Fleet::readCaches() -> void
{
    if (engineServices_.empty() || !known_.serversAt || known_.entries.empty()) {
        return;
    }
    std::vector<passthrough::Server> engines;
    std::copy_if(known_.servers.begin(), known_.servers.end(), std::back_inserter(engines), [this](const passthrough::Server &server) {
        return engineServices_.contains(server.service);
    });
    std::vector<std::string> entries;
    std::transform(known_.entries.begin(), known_.entries.end(), std::back_inserter(entries), [](const adapter::EntryRecord &entry) { return entry.name; });
    caches_.readOnce(engines, entries, name_);
}

auto Fleet::takeCacheList(const passthrough::CacheListed &listed) -> void
{
    accounting_.cacheListed(listed);
    callbacks_.onEvent(listed);
}

auto Fleet::takePeerMessage(const PeerMessage &message) -> void
{
    if (const auto *report = std::get_if<passthrough::PeerReported>(&message)) {
        callbacks_.onEvent(*report);
    } else {
        callbacks_.onEvent(std::get<passthrough::CrashesHeard>(message));
    }
}

/// In a small fleet each entry tells each other. In a large one the entries tell the readers, which tell all the sum:
/// datagrams grow with the number of entries, not with its square.
auto Fleet::sendReport() -> void
{
    const auto isLarge = peers_.peers() > MostDirectPeers;
    const auto report = passthrough::takeReport(router_);
    const auto hasUse = !report.uses.empty();
    const auto isNews = std::exchange(reportedUse_, hasUse) || hasUse;
    if (isNews && isLarge) {
        peers_.sendTo(readers_, report);
    } else if (isNews) {
        peers_.send(report);
    }
    if (isLarge && isReader_) {
        reportTurn_ = (reportTurn_ + 1) % ReportsPerTotals;
        peers_.sendToPart(reportTurn_, ReportsPerTotals, passthrough::takeTotals(router_));
    }
}

} // namespace auburnspread::gateway
