#include "gateway/fleet.h"

#include "gateway/clock.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

/// Whether this entry reads the store is looked at again this often, and whenever the entries change.
constexpr Duration RoleInterval = std::chrono::milliseconds(250);
/// An entry that starts and gets its configuration confirmed by no other one asks the store, each at a moment of its own.
constexpr Duration ConfirmationPatience = std::chrono::milliseconds(300);
constexpr Duration ConfirmationSpread = std::chrono::milliseconds(300);
/// Between two writes of the list of entries.
constexpr Duration RememberInterval = std::chrono::seconds(3);
/// The remembered list is not told as fresh.
constexpr Duration RememberedAge = std::chrono::seconds(10);
/// After a list was remembered, this entry's part is looked at again.
constexpr Duration RememberedCheck = std::chrono::milliseconds(45);
/// Until then callers are told of no others: one of those that are remembered may be leaving, and who lives says so first.
constexpr Duration RememberedSilence = std::chrono::milliseconds(150);
/// An entry to which nobody answers for this long reads the store itself, so that it depends on no other entry; then again after
/// a pause that doubles. An answer is due three times a second.
constexpr Duration FollowPatience = std::chrono::milliseconds(2200);
constexpr Duration LeastReadOncePause = std::chrono::milliseconds(800);
constexpr Duration MostReadOncePause = std::chrono::milliseconds(3200);
/// An entry that reads the store for others and whose last confirmation is older lets the next one try. In the normal course it is up
/// to two watches old.
constexpr Duration ReadPatience = std::chrono::milliseconds(1500);
static_assert(2 * ConfigurationWait < ReadPatience, "a reader that is well would give up each second");
/// A leader that does not read the store any more leads on for this long.
constexpr Duration LeaderPatience = std::chrono::seconds(6);
/// Between two lists of the entries that are alive: where many start at once, one list tells of several.
constexpr Duration ListInterval = std::chrono::milliseconds(500);
/// A leaving entry says so more than once, as datagrams get lost.
constexpr int LeavingHeartbeats = 3;
auto recordOf(const GatewaySettings &settings) -> fleet::EntryRecord
{
    return {
        .name = settings.name,
        .callerAddress = settings.callerAddress,
        .peerAddress = settings.peerAddress,
        .failureDomain = settings.failureDomain,
        .strength = settings.strength,
        .incarnation = static_cast<std::uint64_t>(now().time_since_epoch().count()),
    };
}

} // namespace

Fleet::Fleet(task::EventLoop &loop, const GatewaySettings &settings, passthrough::RouterState &router, Accounting &accounting, FleetCallbacks callbacks)
    : loop_(loop)
    , self_(recordOf(settings))
    , router_(router)
    , accounting_(accounting)
    , callbacks_(std::move(callbacks))
    , directory_(loop,
                 {
                     .store = settings.storeAddress,
                     .self = self_,
                     .leaseTime = settings.leaseTime,
                 },
                 directoryCallbacks())
    , follower_(loop, known_.tags, XXH64(self_.name.data(), self_.name.size(), 0), directoryCallbacks())
    , peers_(
          loop,
          settings.peerAddress,
          [this](const PeerMessage &message) { takePeerMessage(message); },
          [this](const std::string &detail) { accounting_.inputInvalid("peer", detail); })
    , caches_(loop,
              {
                  .onListed = [this](const passthrough::CacheListed &listed) { takeCacheList(listed); },
                  .onFailed = [this](std::string_view server, const std::string &detail) { accounting_.cacheNotListed(server, detail); },
              })
    , directoryPage_(loop, known_)
    , reports_(loop, router, peers_, known_, self_)
    , duties_(loop, settings, self_.incarnation, router, known_, accounting)
    , role_(fleet::makeRole({ .self = self_, .seeds = settings.seeds }, now()))
{
    directoryPage_.listen(settings.peerAddress);
}

auto Fleet::start() -> void
{
    callbacks_.onEvent(passthrough::EntriesCounted{ .isGuess = true });
    directory_.readOutdated();
    const auto spread = XXH64(self_.name.data(), self_.name.size(), 0) % static_cast<std::uint64_t>(ConfirmationSpread.count());
    startConfirmation_ = loop_.after(ConfirmationPatience + Duration(static_cast<Duration::rep>(spread)), [this]() {
        if (!known_.confirmedAt) {
            directory_.confirmOnce();
        }
    });
    updateRole();
    roleTimer_ = loop_.every(RoleInterval, [this]() { updateRole(); });
    heartbeats_ = loop_.every(fleet::HeartbeatInterval, [this]() { sendHeartbeat(); });
    reports_.start();
    duties_.start();
}

auto Fleet::announce() -> void
{
    if (!std::exchange(serves_, true)) {
        sendHeartbeat();
        updateRole();
    }
}

auto Fleet::leave() -> void
{
    role_.isLeaving = true;
    const fleet::Heartbeat heartbeat{ .entry = self_, .isLeaving = true };
    for (auto i = 0; i < LeavingHeartbeats; ++i) {
        peers_.send(heartbeat);
    }
    updateRole();
    directory_.withdraw();
}

auto Fleet::noteSent() -> void
{
    reports_.noteSent();
}

auto Fleet::tellCrashes(const passthrough::CrashesHeard &crashes) -> void
{
    peers_.send(crashes);
}

auto Fleet::noteBegun(const std::string &workspace, TimePoint at) -> void
{
    duties_.noteBegun(workspace, at);
}

auto Fleet::knowsServers() const -> bool
{
    return known_.serversAt.has_value();
}

auto Fleet::serversAge(TimePoint now) const -> Duration
{
    return now - known_.serversAt.value_or(TimePoint());
}

auto Fleet::others() const -> std::vector<fleet::EntryRecord>
{
    auto entries = known_.entries.empty() ? role_.registered : known_.entries;
    std::erase_if(entries, [this](const fleet::EntryRecord &entry) { return entry.name == self_.name; });
    return entries;
}

auto Fleet::otherAddresses() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    if (role_.entriesAreOld && now() - role_.startedAt < RememberedSilence) {
        return addresses;
    }
    for (const auto &entry : others()) {
        addresses.push_back(entry.callerAddress);
    }
    return addresses;
}

auto Fleet::storeCalls() const -> std::uint64_t
{
    return directory_.calls() + duties_.calls();
}

auto Fleet::directoryCallbacks() -> DirectoryCallbacks
{
    return {
        .onConfiguration = [this](const ConfigurationRead &read) { takeConfiguration(read); },
        .onConfirmed = [this](TimePoint asOf) { takeConfirmed(asOf); },
        .onOffered = [this](std::uint64_t revision) { takeOffer(revision); },
        .onServers = [this](const ServersRead &read) { takeServers(read); },
        .onServersChanged = [this](const ServersChanged &change) { takeServersChanged(change); },
        .onServersConfirmed = [this](std::uint64_t revision, TimePoint asOf) { takeServersConfirmed(revision, asOf); },
        .onEntries = [this](const std::vector<fleet::EntryRecord> &alive, TimePoint asOf) { takeEntries(alive, asOf); },
        .onEntriesConfirmed = [this](TimePoint asOf) { gateway::takeEntriesConfirmed(known_, asOf); },
        .onRegistrations = [this](const std::vector<fleet::EntryRecord> &registered) { takeRegistrations(registered); },
        .onRegistrationsFailed = [this]() { takeRegistrations(role_.registered); },
        .onRemembered = [this](const std::string &list) { takeRemembered(list); },
        .onAsked = [this](const std::string &peer, bool isFit) { takeAsked(peer, isFit); },
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
        duties_.takeConfiguration(configuration);
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
    const auto changes = gateway::takeServers(known_, read);
    if (!changes) {
        return;
    }
    logServerChanges(*changes);
    callbacks_.onEvent(passthrough::ServersListed{ .servers = read.servers, .asOf = read.asOf, .outageEndedAt = read.outageEndedAt });
    callbacks_.onChanged();
}

/// A change of another list than the known one is dropped, and the whole list is asked for.
auto Fleet::takeServersChanged(const ServersChanged &change) -> void
{
    if (change.revision < known_.serversRevision) {
        return;
    }
    if (!gateway::takeServersChanged(known_, change)) {
        known_.tags.servers = 0;
        return;
    }
    directory_.noteServersConfirmed(change.asOf);
    logServerChanges(change.changes);
    callbacks_.onEvent(passthrough::ServersChanged{
        .changed = change.changes.changed,
        .removed = change.changes.removed,
        .asOf = change.asOf,
        .outageEndedAt = change.outageEndedAt,
    });
    callbacks_.onChanged();
}

/// What was listed and has not changed was read again.
auto Fleet::takeServersConfirmed(std::uint64_t revision, TimePoint asOf) -> void
{
    if (revision >= known_.serversRevision && known_.serversAt) {
        known_.serversRevision = revision;
        known_.serversAt = std::max(*known_.serversAt, asOf);
        directory_.noteServersConfirmed(asOf);
    }
}

auto Fleet::logServerChanges(const ServerChanges &changes) -> void
{
    for (const auto &server : changes.changed) {
        const auto [found, isNew] = servers_.try_emplace(server.id);
        const auto before = std::exchange(found->second, { .service = server.service, .isLeaving = server.isLeaving, .startedAt = server.startedAt });
        if (isNew) {
            accounting_.serversChanged("joined", server.id, server.service);
        } else if (before.startedAt != server.startedAt) {
            accounting_.serversChanged("restarted", server.id, server.service);
            callbacks_.onServerGone(server.id);
        } else if (before.isLeaving != server.isLeaving) {
            accounting_.serversChanged(server.isLeaving ? "leaving" : "available", server.id, server.service);
        }
    }
    for (const auto &id : changes.removed) {
        const auto gone = servers_.extract(id);
        if (gone) {
            accounting_.serversChanged("unlisted", id, gone.mapped().service);
            callbacks_.onServerGone(id);
        }
    }
}

namespace
{

auto countEntries(const std::vector<fleet::EntryRecord> &entries, const fleet::EntryRecord &self) -> passthrough::EntriesCounted
{
    passthrough::EntriesCounted counted{ .names = { self.name } };
    for (const auto &entry : entries) {
        if (entry.name != self.name) {
            counted.names.push_back(entry.name);
        }
    }
    counted.entries = static_cast<std::uint32_t>(counted.names.size());
    return counted;
}

} // namespace

auto Fleet::takeEntries(std::vector<fleet::EntryRecord> alive, TimePoint asOf) -> void
{
    fleet::dropLeaving(membership_, alive);
    role_.entriesAreOld = now() - asOf > fleet::MemberAge;
    if (!gateway::takeEntries(known_, alive, asOf)) {
        return;
    }
    accounting_.entriesChanged(known_.entries.size());
    role_.entries = known_.entries;
    auto addresses = peerAddresses(known_.entries, self_);
    callbacks_.onEvent(countEntries(known_.entries, self_));
    peers_.setPeers(std::move(addresses));
    updateRole();
}

auto Fleet::takeRegistrations(const std::vector<fleet::EntryRecord> &registered) -> void
{
    role_.registered = registered;
    role_.registrationsAt = now();
    updateRole();
}

/// Failure: all entries restart together. Symptom: for a second nobody knows the others, each sends its requests as if it were alone, and
/// callers get one address. The list from before the fault holds nearly all of them.
auto Fleet::takeRemembered(const std::string &list) -> void
{
    if (!known_.entries.empty()) {
        return;
    }
    try {
        takeEntries(unpackEntries(decodeList(list)), now() - RememberedAge);
        rememberedTimer_ = loop_.after(RememberedCheck, [this]() { updateRole(); });
    } catch (const std::runtime_error &error) {
        accounting_.inputInvalid("remembered entries", error.what());
    }
}

auto Fleet::takeAsked(const std::string &peer, bool isFit) -> void
{
    isFit ? fleet::noteFit(role_, peer, now()) : fleet::noteUnfit(role_, peer, now());
    updateRole();
}

/// Gives the entry its part: to read the store for others and to list the entries, or to ask those that do.
auto Fleet::updateRole() -> void
{
    const auto at = now();
    checkOwnReading(at);
    const auto reads = std::exchange(assignment_, fleet::assign(role_, at)).reads;
    if (assignment_.reads != reads) {
        accounting_.roleChanged(assignment_.reads, assignment_.ask.size() + (assignment_.reads ? 1 : 0));
    }
    if (assignment_.reads && !reads) {
        readingSince_ = at;
        fleet::beginCollecting(membership_, role_.entriesAreOld ? std::vector<fleet::EntryRecord>() : others(), at);
    }
    if (assignment_.reads && !reads) {
        directory_.noteServers(known_);
    }
    directory_.setReading(assignment_.reads);
    if (assignment_.reads && serves_) {
        directory_.registerSelf();
    }
    if (assignment_.reads) {
        readAt_ = at;
    }
    duties_.setEligible(mayLead(at));
    follower_.follow(assignment_.reads ? std::vector<std::string>() : assignment_.ask);
    listEntries(at);
    checkAlone(at);
    readCaches();
}

/// Failure: the readers change back and forth while the store is weak. Symptom: nobody leads for seconds after each change. A leader
/// stays one for a while although another entry reads.
auto Fleet::mayLead(TimePoint now) const -> bool
{
    const auto isReader = assignment_.reads || (duties_.leads() && now - readAt_ < LeaderPatience);
    return isReader && serves_ && !role_.isLeaving;
}

/// Failure: an entry that reads the store for others is cut off from it. Symptom: it is the first in rank and never asks those that can.
auto Fleet::checkOwnReading(TimePoint now) -> void
{
    if (!assignment_.reads) {
        return;
    }
    const auto &self = self_.peerAddress;
    const auto heardAt = std::max(readingSince_, known_.confirmedAt.value_or(readingSince_));
    if (now - heardAt > ReadPatience) {
        fleet::noteUnfit(role_, self, now);
    } else if (known_.confirmedAt) {
        fleet::noteFit(role_, self, now);
    }
}

auto Fleet::checkAlone(TimePoint now) -> void
{
    if (assignment_.reads) {
        return;
    }
    if (fleet::needsRegistrations(role_, now)) {
        directory_.readRegistrations();
    }
    if (now - std::max(follower_.answeredAt(), role_.startedAt) < FollowPatience) {
        readOncePause_ = LeastReadOncePause;
        return;
    }
    if (now - readOnceAt_ >= readOncePause_) {
        readOnceAt_ = now;
        directory_.noteServers(known_);
        readOncePause_ = std::min(2 * readOncePause_, MostReadOncePause);
        directory_.readOnce();
    }
}

/// The entries that this one hears, for those that ask it.
auto Fleet::listEntries(TimePoint now) -> void
{
    fleet::expireMembers(membership_, now);
    if (!assignment_.reads || now - listedAt_ < ListInterval) {
        return;
    }
    auto alive = fleet::listMembers(membership_, now);
    if (!alive) {
        return;
    }
    listedAt_ = now;
    if (serves_) {
        alive->push_back(self_);
    }
    // entries that hear the same list the same
    std::sort(alive->begin(), alive->end(), [](const fleet::EntryRecord &a, const fleet::EntryRecord &b) { return a.name < b.name; });
    takeEntries(*alive, now);
    rememberEntries(now);
}

auto Fleet::rememberEntries(TimePoint now) -> void
{
    if (assignment_.isFirst && rememberedTag_ != known_.tags.entries && now - rememberedAt_ >= RememberInterval) {
        rememberedTag_ = known_.tags.entries;
        rememberedAt_ = now;
        directory_.rememberEntries(encodeList(known_.packedEntries));
    }
}

auto Fleet::sendHeartbeat() -> void
{
    if (serves_) {
        peers_.sendTo(assignment_.heartbeatsTo, fleet::Heartbeat{ .entry = self_, .isLeaving = role_.isLeaving });
    }
    if (const auto usage = duties_.makeReport()) {
        peers_.sendTo(assignment_.heartbeatsTo, *usage);
    }
}

auto Fleet::takeHeartbeat(const fleet::Heartbeat &heartbeat) -> void
{
    fleet::noteHeartbeat(membership_, heartbeat, now());
    if (heartbeat.isLeaving) {
        takeEntries(known_.entries, known_.entriesAt.value_or(TimePoint()));
    }
}

/// Once, as soon as engines and other entries are known.
auto Fleet::readCaches() -> void
{
    if (caches_.hasRead() || engineServices_.empty() || !known_.serversAt || known_.entries.empty()) {
        return;
    }
    std::vector<passthrough::Server> engines;
    std::copy_if(known_.servers.begin(), known_.servers.end(), std::back_inserter(engines), [this](const passthrough::Server &server) {
        return engineServices_.contains(server.service);
    });
    std::vector<std::string> entries;
    std::transform(known_.entries.begin(), known_.entries.end(), std::back_inserter(entries), [](const fleet::EntryRecord &entry) { return entry.name; });
    caches_.readOnce(engines, entries, self_.name);
}

auto Fleet::takeCacheList(const passthrough::CacheListed &listed) -> void
{
    accounting_.cacheListed(listed);
    callbacks_.onEvent(listed);
}

auto Fleet::takePeerMessage(const PeerMessage &message) -> void
{
    if (const auto *report = std::get_if<passthrough::PeerReported>(&message)) {
        reports_.hear(*report);
        callbacks_.onEvent(*report);
    } else if (const auto *heartbeat = std::get_if<fleet::Heartbeat>(&message)) {
        takeHeartbeat(*heartbeat);
    } else if (const auto *usage = std::get_if<usage::Report>(&message)) {
        duties_.hear(*usage);
    } else {
        callbacks_.onEvent(std::get<passthrough::CrashesHeard>(message));
    }
}

} // namespace auburnspread::gateway
