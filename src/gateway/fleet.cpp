#include "gateway/fleet.h"

#include "core/passthrough/reportvalidation.h"
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

/// Interval at which this entry re-evaluates whether it reads the store; it also does so whenever the entries change.
constexpr Duration RoleInterval = std::chrono::milliseconds(250);
/// A starting entry whose configuration no other entry confirms asks the store after this delay plus a jitter of its own.
constexpr Duration ConfirmationDelay = std::chrono::milliseconds(300);
constexpr Duration ConfirmationJitter = std::chrono::milliseconds(300);
/// Minimum interval between two writes of the list of entries to the store.
constexpr Duration SnapshotInterval = std::chrono::seconds(3);
/// Age that is assumed for the saved list of entries, so that it does not count as fresh.
constexpr Duration SnapshotAge = std::chrono::seconds(10);
/// Delay after which this entry's role is re-evaluated when the saved list was read.
constexpr Duration SnapshotRoleCheckDelay = std::chrono::milliseconds(45);
/// For this long after its start, an entry that knows only the saved list names no other entries to callers: a saved entry may be
/// leaving, and live entries send a heartbeat within this time.
constexpr Duration SnapshotAddressHoldback = std::chrono::milliseconds(150);
/// An entry that receives no response for this long reads the store itself, so that it depends on no other entry. It then repeats the
/// read at an interval that doubles. Normally it receives three responses a second.
constexpr Duration IsolationTimeout = std::chrono::milliseconds(2200);
constexpr Duration MinOwnReadInterval = std::chrono::milliseconds(800);
constexpr Duration MaxOwnReadInterval = std::chrono::milliseconds(3200);
/// Shortest pause between two looks at the age of the data, for an entry that reads the store and whose data is too old.
constexpr Duration MinFreshnessInterval = std::chrono::milliseconds(50);
/// An entry that reads the store for others hands over to the next one when its last confirmation is older than this. In normal
/// operation the confirmation is up to two watches old.
constexpr Duration MaxOwnConfirmationAge = std::chrono::milliseconds(1500);
static_assert(2 * ConfigurationWatchTimeout < MaxOwnConfirmationAge, "a healthy reader would give up every second");
/// A leader that no longer reads the store stays eligible for this long.
constexpr Duration LeaderGracePeriod = std::chrono::seconds(6);
/// Minimum interval between two published lists of live entries. Where many entries start at once, one list covers several of them.
constexpr Duration PublishInterval = std::chrono::milliseconds(500);
/// A leaving entry sends its last heartbeat several times, as datagrams may get lost.
constexpr int LeavingHeartbeats = 3;
/// A crash report is repeated with each of the next heartbeats.
constexpr int CrashReportRepetitions = 3;
constexpr std::size_t MaxRepeatedCrashReports = 100;

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

Fleet::Fleet(task::EventLoop &loop,
             const GatewaySettings &settings,
             passthrough::RouterState &router,
             Accounting &accounting,
             FleetCallbacks callbacks,
             memory::Account *account)
    : loop_(loop)
    , self_(recordOf(settings))
    , router_(router)
    , accounting_(accounting)
    , callbacks_(std::move(callbacks))
    , directory_(loop,
                 {
                     .store = settings.storeAddress,
                     .self = self_,
                     .leaseDuration = settings.leaseTime,
                 },
                 directoryCallbacks())
    , follower_(loop, known_, XXH64(self_.name.data(), self_.name.size(), 0), directoryCallbacks())
    , peers_(
          loop,
          settings.peerAddress,
          [this](const PeerMessage &message) { handlePeerMessage(message); },
          [this](const std::string &detail) { accounting_.inputInvalid("peer", detail); })
    , caches_(loop,
              {
                  .onListed = [this](const passthrough::CacheListed &listed) { handleCacheList(listed); },
                  .onFailed = [this](std::string_view server, const std::string &detail) { accounting_.cacheNotListed(server, detail); },
                  .onNotice = [this](const passthrough::CallNoticed &event) { callbacks_.onEvent(event); },
              })
    , directoryPage_(loop, known_, account)
    , reports_(loop, router, peers_, known_, self_)
    , duties_(loop, settings, self_.incarnation, router, known_, accounting)
    , role_(fleet::makeRole({ .self = self_, .seeds = settings.seeds }, now()))
    , freshness_(fleet::makeFreshness(role_.startedAt))
{
    directoryPage_.listen(settings.peerAddress);
}

auto Fleet::start() -> void
{
    callbacks_.onEvent(passthrough::EntriesCounted{ .isProvisional = true });
    directory_.readStale();
    const auto jitter = XXH64(self_.name.data(), self_.name.size(), 0) % static_cast<std::uint64_t>(ConfirmationJitter.count());
    startupConfirmationTimer_ = loop_.after(ConfirmationDelay + Duration(static_cast<Duration::rep>(jitter)), [this]() {
        if (!known_.confirmedAt) {
            directory_.confirmConfiguration();
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
    if (!std::exchange(isServing_, true)) {
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
    directory_.deregister();
}

auto Fleet::recordDispatch() -> void
{
    reports_.recordDispatch();
}

auto Fleet::sendCrashReport(const passthrough::CrashesReported &crashes) -> void
{
    peers_.send(crashes);
    std::erase_if(crashReports_, [&crashes](const RepeatedCrashReport &each) { return each.report.suspect == crashes.suspect; });
    crashReports_.push_back({ .report = crashes, .repetitionsLeft = CrashReportRepetitions });
    if (crashReports_.size() > MaxRepeatedCrashReports) {
        crashReports_.pop_front();
    }
    publishQuarantined();
}

/// Datagrams may get lost, and an entry may be cut off for a moment.
auto Fleet::repeatCrashReports() -> void
{
    for (auto &each : crashReports_) {
        peers_.send(each.report);
        each.repetitionsLeft -= 1;
    }
    std::erase_if(crashReports_, [](const RepeatedCrashReport &each) { return each.repetitionsLeft <= 0; });
}

/// The directory carries what is quarantined to entries that received none of the reports, such as those that start later.
auto Fleet::publishQuarantined() -> void
{
    const auto revision = passthrough::quarantineRevision(router_);
    if (std::exchange(publishedQuarantineRevision_, revision) != revision) {
        gateway::applyQuarantined(known_, passthrough::quarantinedSuspects(router_, now()));
    }
}

auto Fleet::peerAddressesOf(const std::vector<std::string> &names) const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    for (const auto &entry : known_.entries) {
        if (std::find(names.begin(), names.end(), entry.name) != names.end()) {
            addresses.push_back(entry.peerAddress);
        }
    }
    return addresses;
}

auto Fleet::sendOrigin(const std::vector<std::string> &entries, const passthrough::OriginReported &origin) -> void
{
    peers_.sendTo(peerAddressesOf(entries), origin);
}

auto Fleet::askOrigin(const passthrough::AskOrigin &question) -> void
{
    peers_.sendTo(peerAddressesOf(question.entries),
                  OriginQuestion{ .stream = question.stream, .service = question.service, .peerAddress = self_.peerAddress });
}

auto Fleet::handleOriginQuestion(const OriginQuestion &question) -> void
{
    if (const auto origin = passthrough::findStreamOrigin(router_, question.stream)) {
        peers_.sendTo({ question.peerAddress }, passthrough::OriginReported{ .stream = question.stream, .origin = *origin });
    } else {
        peers_.sendTo({ question.peerAddress },
                      passthrough::OriginUnknown{
                          .stream = question.stream, .entry = self_.name, .versions = passthrough::describeVersions(router_, question.service, now()) });
    }
}

auto Fleet::recordStart(const std::string &workspace, TimePoint at) -> void
{
    duties_.recordStart(workspace, at);
}

auto Fleet::hasServerList() const -> bool
{
    return known_.serversAt.has_value();
}

auto Fleet::serversAge(TimePoint now) const -> Duration
{
    return now - known_.serversAt.value_or(TimePoint());
}

auto Fleet::otherEntries() const -> std::vector<fleet::EntryRecord>
{
    auto entries = known_.entries.empty() ? role_.registered : known_.entries;
    std::erase_if(entries, [this](const fleet::EntryRecord &entry) { return entry.name == self_.name; });
    return entries;
}

auto Fleet::otherAddresses() const -> std::vector<std::string>
{
    std::vector<std::string> addresses;
    if (role_.entriesAreStale && now() - role_.startedAt < SnapshotAddressHoldback) {
        return addresses;
    }
    for (const auto &entry : otherEntries()) {
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
        .onConfiguration = [this](const ConfigurationSnapshot &read) { handleConfiguration(read); },
        .onConfigurationConfirmed = [this](StoreRevision revision, TimePoint asOf) { handleConfirmation(revision, asOf); },
        .onConfigurationOffered = [this](StoreRevision revision) { handleOffer(revision); },
        .onServers = [this](const ServersSnapshot &read) { handleServers(read); },
        .onServersDelta = [this](const ServersDelta &change) { handleServersDelta(change); },
        .onServersConfirmed = [this](StoreRevision revision, TimePoint asOf) { handleServersConfirmed(revision, asOf); },
        .onEntries = [this](const std::vector<fleet::EntryRecord> &alive, TimePoint asOf) { handleEntries(alive, asOf); },
        .onEntriesConfirmed = [this](TimePoint asOf) { gateway::confirmEntries(known_, asOf); },
        .onRegistrations = [this](const std::vector<fleet::EntryRecord> &registered) { handleRegistrations(registered); },
        .onRegistrationsFailed = [this]() { handleRegistrations(role_.registered); },
        .onStoreRestored = [this](std::uint64_t era) { handleStoreRestored(era); },
        .onEntriesSnapshot = [this](const std::string &list) { handleEntriesSnapshot(list); },
        .onQuarantined
        = [this](const std::vector<passthrough::QuarantinedSuspect> &suspects) { callbacks_.onEvent(passthrough::QuarantineListed{ .suspects = suspects }); },
        .onReaderChecked = [this](const std::string &peer, bool isHealthy) { handleReaderCheck(peer, isHealthy); },
        .onReachable =
            [this](std::string_view peer, bool reachable, std::string_view call, const std::string &detail) {
                accounting_.dependencyStateChanged(peer, reachable, call, detail);
            },
        .onPartFailed = [this](std::string_view peer, const std::string &detail) { accounting_.documentPartFailed(peer, detail); },
        .onInvalid = [this](std::string_view what, const std::string &detail) { accounting_.inputInvalid(what, detail); },
    };
}

auto Fleet::handleConfiguration(const ConfigurationSnapshot &read) -> void
{
    try {
        const auto configuration = adapter::decodeConfiguration(read.document);
        isConfigurationValid_ = true;
        const auto before = passthrough::statusOf(router_, now()).configurationVersion;
        callbacks_.onEvent(passthrough::ConfigurationAdopted{ .configuration = configuration });
        if (configuration.version < before) {
            recordConfigurationRead(known_, read.revision);
        } else {
            gateway::applyConfiguration(known_, read);
            directory_.recordConfigurationRevision(read.revision);
        }
        if (const auto asOf = gateway::applyPendingConfirmations(known_)) {
            publishConfirmation(*asOf);
        }
        publishOutdatedSince();
        if (configuration.version <= before) {
            return;
        }
        duties_.applyConfiguration(configuration);
        engineServices_.clear();
        for (const auto &service : configuration.services) {
            if (service.batchSlots) {
                engineServices_.insert(service.name);
            }
        }
        accounting_.configurationAdopted(configuration.version, read.document.size(), configuration.routes.size(), configuration.workspaces.size());
        callbacks_.onLimits(configuration.limits);
    } catch (const adapter::InvalidDocument &error) {
        isConfigurationValid_ = false;
        accounting_.inputInvalid("configuration", error.what());
    }
}

/// A document that could not be decoded may withdraw keys, so it does not confirm the configuration in force.
auto Fleet::handleConfirmation(StoreRevision revision, TimePoint asOf) -> void
{
    if (isConfigurationValid_ && gateway::recordConfirmation(known_, revision, asOf)) {
        publishConfirmation(asOf);
        publishOutdatedSince();
    }
}

auto Fleet::publishConfirmation(TimePoint asOf) -> void
{
    callbacks_.onEvent(passthrough::ConfigurationConfirmed{ .asOf = asOf });
}

auto Fleet::handleOffer(StoreRevision revision) -> void
{
    if (gateway::recordOffer(known_, revision, now())) {
        accounting_.configurationOffered(revision);
        publishOutdatedSince();
    }
}

auto Fleet::publishOutdatedSince() -> void
{
    callbacks_.onEvent(passthrough::ConfigurationOutdated{ .since = outdatedSince(known_) });
    callbacks_.onReadinessChanged();
}

auto Fleet::handleServers(const ServersSnapshot &read) -> void
{
    const auto changes = gateway::applyServers(known_, read);
    if (!changes) {
        return;
    }
    logServerChanges(*changes);
    callbacks_.onEvent(passthrough::ServersListed{ .servers = read.servers, .asOf = read.asOf, .outageEndedAt = read.outageEndedAt });
    callbacks_.onReadinessChanged();
}

/// A delta that does not apply to the known list is dropped, and clearing the tag requests the whole list.
auto Fleet::handleServersDelta(const ServersDelta &change) -> void
{
    if (change.revision < known_.serversRevision) {
        return;
    }
    if (!gateway::applyServersDelta(known_, change)) {
        known_.tags.servers = 0;
        return;
    }
    directory_.recordServersConfirmed(change.asOf);
    logServerChanges(change.changes);
    callbacks_.onEvent(passthrough::ServersChanged{
        .changed = change.changes.changed,
        .removed = change.changes.removed,
        .asOf = change.asOf,
        .outageEndedAt = change.outageEndedAt,
    });
    callbacks_.onReadinessChanged();
}

/// The known list was read again and has not changed.
auto Fleet::handleServersConfirmed(StoreRevision revision, TimePoint asOf) -> void
{
    if (revision >= known_.serversRevision && known_.serversAt) {
        known_.serversRevision = revision;
        known_.serversAt = std::max(*known_.serversAt, asOf);
        directory_.recordServersConfirmed(asOf);
        callbacks_.onEvent(passthrough::ServersConfirmed{ .asOf = *known_.serversAt });
    }
}

auto Fleet::logServerChanges(const ServerChanges &changes) -> void
{
    for (const auto &server : changes.changed) {
        const auto [found, isNew] = loggedServers_.try_emplace(server.id);
        const auto before = std::exchange(found->second, server);
        if (isNew) {
            accounting_.serversChanged("joined", server);
        } else if (before.startedAt != server.startedAt) {
            accounting_.serversChanged("restarted", server);
            callbacks_.onServerGone(server.id);
        } else if (before.isLeaving != server.isLeaving) {
            accounting_.serversChanged(server.isLeaving ? "leaving" : "available", server);
        }
    }
    for (const auto &id : changes.removed) {
        const auto gone = loggedServers_.extract(id);
        if (gone) {
            accounting_.serversChanged("unlisted", gone.mapped());
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
            counted.otherAddresses.push_back(entry.callerAddress);
            counted.others.push_back({ .name = entry.name, .failureDomain = entry.failureDomain, .hash = XXH64(entry.name.data(), entry.name.size(), 0) });
        }
    }
    counted.entries = static_cast<std::uint32_t>(counted.names.size());
    return counted;
}

} // namespace

auto Fleet::handleEntries(std::vector<fleet::EntryRecord> alive, TimePoint asOf) -> void
{
    fleet::removeDeparted(membership_, alive);
    role_.entriesAreStale = now() - asOf > fleet::MemberTimeout;
    if (!gateway::applyEntries(known_, alive, asOf)) {
        return;
    }
    accounting_.entriesChanged(known_.entries.size());
    role_.entries = known_.entries;
    auto addresses = peerAddresses(known_.entries, self_);
    callbacks_.onEvent(countEntries(known_.entries, self_));
    peers_.setPeers(std::move(addresses));
    updateRole();
}

auto Fleet::handleRegistrations(const std::vector<fleet::EntryRecord> &registered) -> void
{
    role_.registered = registered;
    role_.registrationsReadAt = now();
    updateRole();
}

/// Failure: all entries restart together. Symptom: for a second no entry knows the others, each one dispatches as if it were alone, and
/// callers get only one address. The list saved before the restart contains nearly all of the entries.
auto Fleet::handleEntriesSnapshot(const std::string &list) -> void
{
    if (!known_.entries.empty()) {
        return;
    }
    try {
        handleEntries(unpackEntries(decodeList(list)), now() - SnapshotAge);
        snapshotTimer_ = loop_.after(SnapshotRoleCheckDelay, [this]() { updateRole(); });
    } catch (const std::runtime_error &error) {
        accounting_.inputInvalid("remembered entries", error.what());
    }
}

/// The saved list of entries may be lost with the rest. Claims and registrations are written again by those who hold them.
auto Fleet::handleStoreRestored(std::uint64_t era) -> void
{
    accounting_.storeRestored(era);
    savedSnapshotTag_ = 0;
    duties_.handleStoreRestored(era);
}

auto Fleet::handleReaderCheck(const std::string &peer, bool isHealthy) -> void
{
    isHealthy ? fleet::markFit(role_, peer, now()) : fleet::markUnfit(role_, peer, now());
    updateRole();
}

/// Assigns this entry's role: to read the store and publish the list of entries, or to query the entries that do.
auto Fleet::updateRole() -> void
{
    const auto at = now();
    checkOwnStoreAccess(at);
    const auto reads = std::exchange(assignment_, fleet::computeAssignment(role_, at)).readsStore;
    if (assignment_.readsStore != reads) {
        accounting_.roleChanged(assignment_.readsStore, assignment_.queryAddresses.size() + (assignment_.readsStore ? 1 : 0));
    }
    if (assignment_.readsStore && !reads) {
        readerSince_ = at;
        fleet::beginCollecting(membership_, role_.entriesAreStale ? std::vector<fleet::EntryRecord>() : otherEntries(), at);
    }
    if (assignment_.readsStore && !reads) {
        directory_.adoptServers(known_);
    }
    directory_.setReadsForPeers(assignment_.readsStore);
    if (assignment_.readsStore && isServing_) {
        directory_.registerSelf();
    }
    if (assignment_.readsStore) {
        lastReaderAt_ = at;
    }
    duties_.setEligible(isEligibleLeader(at));
    follower_.follow(assignment_.readsStore ? std::vector<std::string>() : assignment_.queryAddresses);
    publishEntries(at);
    readStoreIfIsolated(at);
    refreshOldData(at);
    readCaches();
}

/// Failure: the readers switch back and forth while the store is overloaded. Symptom: there is no leader for seconds after each switch.
/// A leader therefore stays eligible for a grace period after another entry has taken over reading.
auto Fleet::isEligibleLeader(TimePoint now) const -> bool
{
    const auto isReader = assignment_.readsStore || (duties_.leads() && now - lastReaderAt_ < LeaderGracePeriod);
    return isReader && isServing_ && !role_.isLeaving;
}

/// Failure: an entry that reads the store for others is cut off from it. Symptom: it has the first rank and never queries the entries that
/// can reach the store.
auto Fleet::checkOwnStoreAccess(TimePoint now) -> void
{
    if (!assignment_.readsStore) {
        return;
    }
    const auto &self = self_.peerAddress;
    const auto confirmedAt = std::max(readerSince_, known_.confirmedAt.value_or(readerSince_));
    if (now - confirmedAt > MaxOwnConfirmationAge) {
        fleet::markUnfit(role_, self, now);
    } else if (known_.confirmedAt) {
        fleet::markFit(role_, self, now);
    }
}

auto Fleet::readStoreIfIsolated(TimePoint now) -> void
{
    if (assignment_.readsStore) {
        return;
    }
    if (fleet::needsRegistrations(role_, now)) {
        directory_.readRegistrations();
    }
    if (now - std::max(follower_.answeredAt(), role_.startedAt) < IsolationTimeout) {
        ownReadInterval_ = MinOwnReadInterval;
        return;
    }
    if (now - lastOwnReadAt_ >= ownReadInterval_) {
        lastOwnReadAt_ = now;
        directory_.adoptServers(known_);
        ownReadInterval_ = std::min(2 * ownReadInterval_, MaxOwnReadInterval);
        directory_.readOnce();
    }
}

/// Failure: the entries that this one asks are lost together with those that would replace them. Symptom: a server that is leaving gets requests, and
/// a withdrawn key is accepted, until each of them has been asked in vain.
auto Fleet::refreshOldData(TimePoint now) -> void
{
    const auto configurationAt = configurationKnownAt(known_).value_or(TimePoint());
    const auto serversAt = known_.serversAt.value_or(TimePoint());
    const auto asOf = std::min(configurationAt, serversAt);
    const auto isDue = fleet::takeDueRead(freshness_, asOf, now); // an entry that reads for others has tried as well
    if (isDue && !assignment_.readsStore) {
        accounting_.oldDataRead(now - configurationAt, now - serversAt);
        directory_.adoptServers(known_);
        directory_.refreshOnce();
    }
    const auto nextAt = std::max(fleet::nextReadAt(freshness_, asOf), now + MinFreshnessInterval);
    freshnessTimer_ = loop_.after(nextAt - now, [this]() { refreshOldData(gateway::now()); });
}

/// Publishes the entries from which this one receives heartbeats, for entries that query it.
auto Fleet::publishEntries(TimePoint now) -> void
{
    fleet::expireMembers(membership_, now);
    if (!assignment_.readsStore || now - entriesPublishedAt_ < PublishInterval) {
        return;
    }
    auto alive = fleet::listMembers(membership_, now);
    if (!alive) {
        return;
    }
    entriesPublishedAt_ = now;
    if (isServing_) {
        alive->push_back(self_);
    }
    // readers that receive the same heartbeats publish the same list, with the same tag
    std::sort(alive->begin(), alive->end(), [](const fleet::EntryRecord &a, const fleet::EntryRecord &b) { return a.name < b.name; });
    handleEntries(*alive, now);
    saveEntriesSnapshot(now);
}

auto Fleet::saveEntriesSnapshot(TimePoint now) -> void
{
    if (assignment_.isFirstReader && savedSnapshotTag_ != known_.tags.entries && now - snapshotSavedAt_ >= SnapshotInterval) {
        savedSnapshotTag_ = known_.tags.entries;
        snapshotSavedAt_ = now;
        directory_.saveEntriesSnapshot(encodeList(known_.packedEntries));
    }
}

auto Fleet::sendHeartbeat() -> void
{
    if (isServing_) {
        peers_.sendTo(assignment_.heartbeatAddresses, fleet::Heartbeat{ .entry = self_, .isLeaving = role_.isLeaving });
    }
    if (const auto usage = duties_.makeReport()) {
        peers_.sendTo(assignment_.heartbeatAddresses, *usage);
    }
    repeatCrashReports();
    publishQuarantined();
}

auto Fleet::handleHeartbeat(const fleet::Heartbeat &heartbeat) -> void
{
    fleet::applyHeartbeat(membership_, heartbeat, now());
    if (heartbeat.isLeaving) {
        handleEntries(known_.entries, known_.entriesAt.value_or(TimePoint()));
    }
}

/// Reads the engines' caches once, as soon as engines and other entries are known.
auto Fleet::readCaches() -> void
{
    if (caches_.hasRead() || engineServices_.empty() || !known_.serversAt || known_.entries.empty()) {
        return;
    }
    std::vector<passthrough::Server> engines;
    std::copy_if(known_.servers.begin(), known_.servers.end(), std::back_inserter(engines), [this](const passthrough::Server &server) {
        return engineServices_.contains(server.service) && passthrough::acceptsCalls(router_, server.id, now());
    });
    std::vector<std::string> entries;
    std::transform(known_.entries.begin(), known_.entries.end(), std::back_inserter(entries), [](const fleet::EntryRecord &entry) { return entry.name; });
    caches_.readOnce(engines, entries, self_.name);
}

auto Fleet::handleCacheList(const passthrough::CacheListed &listed) -> void
{
    accounting_.cacheListed(listed);
    callbacks_.onEvent(listed);
}

auto Fleet::handleLoadReport(const passthrough::PeerReported &report) -> void
{
    if (const auto figure = passthrough::findInvalidFigure(report)) {
        accounting_.inputInvalid("peer", "load report of " + report.entry + ": " + *figure);
        return;
    }
    reports_.handleReport(report);
    callbacks_.onEvent(report);
}

auto Fleet::handlePeerMessage(const PeerMessage &message) -> void
{
    if (const auto *report = std::get_if<passthrough::PeerReported>(&message)) {
        handleLoadReport(*report);
    } else if (const auto *heartbeat = std::get_if<fleet::Heartbeat>(&message)) {
        handleHeartbeat(*heartbeat);
    } else if (const auto *usage = std::get_if<usage::Report>(&message)) {
        duties_.handleReport(*usage);
    } else if (const auto *question = std::get_if<OriginQuestion>(&message)) {
        handleOriginQuestion(*question);
    } else if (const auto *origin = std::get_if<passthrough::OriginReported>(&message)) {
        callbacks_.onEvent(*origin);
    } else if (const auto *unknown = std::get_if<passthrough::OriginUnknown>(&message)) {
        callbacks_.onEvent(*unknown);
    } else {
        callbacks_.onEvent(std::get<passthrough::CrashesReported>(message));
    }
}

} // namespace auburnspread::gateway
