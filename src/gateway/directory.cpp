#include "gateway/directory.h"

#include "gateway/clock.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

using adapter::StoreOutcome;

/// Prefix of the entries' registrations, in the part of the store that belongs to this product.
constexpr std::string_view EntriesPrefix = "auburnspread/entries/";
/// Key of the list of entries that was saved last.
constexpr std::string_view EntriesSnapshotKey = "auburnspread/fleet";

/// Delay after a failed call, doubled after each further failure. An overloaded store must not receive retries of many entries at once,
/// and its recovery has to be noticed within a second.
constexpr Duration RetryDelay = std::chrono::milliseconds(300);
constexpr int MaxDoublings = 2;
/// Timeout of a watch that the store answers at once, whether or not there are changes.
constexpr Duration ImmediateWatchTimeout = std::chrono::milliseconds(1);
/// Longest duration of a watch of the entries. Entries rarely come and go, and a change ends the watch.
constexpr Duration EntriesWatchTimeout = std::chrono::seconds(10);
/// Pause between two watches of the entries. Where many entries start at once, one response covers several of them.
constexpr Duration EntriesWatchInterval = std::chrono::milliseconds(200);
/// Renewals within the lease duration, so that two lost calls do not end the lease.
constexpr int RenewalsPerLease = 3;
/// A failed renewal is retried after the lease duration divided by this number.
constexpr int RetriesPerLease = 5;
/// Upper bound for the staleness of a stale read.
constexpr Duration MaxStaleness = std::chrono::seconds(10);
/// When the list could not be read for longer than this, live servers may have lost their registration.
constexpr Duration OutageThreshold = std::chrono::milliseconds(1500);
/// After the store came back from a copy, the operators write again what the copy lacks.
constexpr Duration RestoreSettleTime = std::chrono::seconds(1);
/// Servers write again what the copy lacks within about two seconds, and the store removes registrations of servers that are gone after
/// three missed heartbeats.
constexpr Duration MaxRegistrationDoubt = std::chrono::milliseconds(4500);
/// The same threshold for an entry that did not attempt to read the list.
constexpr Duration UnattemptedOutageThreshold = std::chrono::milliseconds(3500);

auto describe(StoreOutcome outcome, const http::Result &result) -> std::string
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return error->text;
    }
    return "status " + std::to_string(std::get<http::Response>(result).status) + ", " + std::string(storeOutcomeName(outcome));
}

} // namespace

Directory::Directory(task::EventLoop &loop, DirectoryOptions options, DirectoryCallbacks callbacks)
    : loop_(loop)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , client_(loop)
{
}

auto Directory::setReadsForPeers(bool readsForPeers) -> void
{
    if (std::exchange(readsForPeers_, readsForPeers) == readsForPeers) {
        return;
    }
    if (readsForPeers) {
        startReading();
        return;
    }
    generation_ += 1;
    for (auto *poll : { &configurationPoll_, &serversPoll_, &entriesPoll_ }) {
        *poll = { .consecutiveFailures = poll->consecutiveFailures, .lastFailureAt = poll->lastFailureAt };
    }
}

/// If the last call to the store failed, the remaining retry delay still applies, because entries take turns in retrying. A read of the
/// configuration that is in flight counts as the retry, and its response starts the other reads.
auto Directory::startReading() -> void
{
    if (lastReachable_ == false) {
        serversAndEntriesPending_ = true;
        scheduleNext(configurationPoll_,
                     std::max(configurationPoll_.lastFailureAt + retryDelay(configurationPoll_.consecutiveFailures) - now(), Duration::zero()),
                     &Directory::readOnce);
    } else {
        readOnce();
    }
}

auto Directory::recordConfigurationRevision(StoreRevision revision) -> void
{
    acceptEra(revision.era);
    configurationRevision_ = std::max(configurationRevision_, revision);
    documentRevision_ = std::max(documentRevision_, revision);
}

auto Directory::readOnce() -> void
{
    if (!configurationPoll_.isInFlight) {
        refreshConfiguration();
    }
    serversAndEntriesPending_ = lastReachable_ == false;
    if (!serversAndEntriesPending_) {
        readServersAndEntries();
    }
}

/// The servers follow the configuration, so that a store that is unavailable gets one call of each entry and not two.
auto Directory::refreshOnce() -> void
{
    serversPending_ = true;
    confirmConfiguration();
}

/// Failure: the store is unavailable. Symptom: every entry that retries requests everything at once, repeatedly. After a failed call a
/// single read of the configuration therefore probes the store, and the other reads follow when it succeeds.
auto Directory::readServersAndEntries() -> void
{
    serversAndEntriesPending_ = false;
    if (!serversPoll_.isInFlight) {
        refreshServers();
    }
    if (!entriesPoll_.isInFlight) {
        readEntries();
    }
}

auto Directory::readRegistrations() -> void
{
    if (!entriesPoll_.isInFlight) {
        readEntries();
    }
}

auto Directory::adoptServers(const DirectoryState &known) -> void
{
    if (known.serversRevision <= servers_.revision) {
        return;
    }
    acceptEra(known.serversRevision.era);
    servers_ = { .revision = known.serversRevision, .asOf = known.serversAt.value_or(TimePoint()) };
    for (const auto &server : known.servers) {
        servers_.byId[server.id] = server;
    }
}

auto Directory::recordServersConfirmed(TimePoint asOf) -> void
{
    serversConfirmedAt_ = std::max(serversConfirmedAt_.value_or(asOf), asOf);
}

auto Directory::readStale() -> void
{
    readStaleEntries();
    readStaleConfiguration();
    readStaleServers("", std::make_shared<ServersSnapshot>());
}

auto Directory::confirmConfiguration() -> void
{
    if (!configurationPoll_.isInFlight) {
        refreshConfiguration();
    }
}

/// A failed write is not retried, because the next change of the list is written as well.
auto Directory::saveEntriesSnapshot(const std::string &list) -> void
{
    constexpr std::uint64_t NoLease = 0;
    callStore("remember-entries", adapter::makePut(options_.store, EntriesSnapshotKey, list, NoLease), [](StoreOutcome, const http::Result &) {});
}

/// A failed read is not retried, because the same data is requested from other entries at the same time.
auto Directory::readStaleRange(std::string_view name, std::string_view prefix, const std::string &after, OnItems onItems) -> void
{
    const auto request = adapter::makeOutdatedRange(options_.store, prefix, after);
    callStore(name, request, [this, name, onItems = std::move(onItems)](StoreOutcome outcome, const http::Result &result) {
        const auto items = outcome == StoreOutcome::Done ? decodeItems(name, std::get<http::Response>(result)) : std::nullopt;
        if (items) {
            onItems(*items);
        }
    });
}

auto Directory::readStaleConfiguration() -> void
{
    readStaleRange("read-outdated-configuration", adapter::configurationKey(), "", [this](const adapter::StoreItems &items) {
        for (const auto &item : items.items) {
            if (item.key == adapter::configurationKey()) {
                callbacks_.onConfiguration({ .document = item.value, .revision = item.revision });
            }
        }
    });
}

auto Directory::readStaleEntries() -> void
{
    readStaleRange("read-outdated-entries", EntriesSnapshotKey, "", [this](const adapter::StoreItems &items) {
        for (const auto &item : items.items) {
            if (item.key == EntriesSnapshotKey) {
                callbacks_.onEntriesSnapshot(item.value);
            }
        }
    });
}

auto Directory::readStaleServers(const std::string &after, const std::shared_ptr<ServersSnapshot> &read) -> void
{
    readStaleRange("read-outdated-servers", adapter::serversPrefix(), after, [this, read](const adapter::StoreItems &items) {
        ServerList page;
        for (const auto &item : items.items) {
            applyServer(page, item);
        }
        for (auto &[id, server] : page.byId) {
            read->servers.push_back(std::move(server));
        }
        read->revision = read->revision.number == 0 ? items.revision : read->revision;
        if (items.hasMore && !items.items.empty()) {
            readStaleServers(items.items.back().key, read);
            return;
        }
        read->asOf = now() - MaxStaleness;
        callbacks_.onServers(*read);
    });
}

auto Directory::scheduleNext(Poll &poll, Duration pause, ReadMethod method) -> void
{
    // a callback of the response may already have started the next call
    if (readsForPeers_ && !poll.isInFlight) {
        poll.timer = loop_.after(pause, [this, method]() { (this->*method)(); });
    }
}

auto Directory::retryDelay(int consecutiveFailures) -> Duration
{
    return RetryDelay * (1 << std::clamp(consecutiveFailures - 1, 0, MaxDoublings));
}

auto Directory::scheduleRetry(Poll &poll, ReadMethod method) -> void
{
    if (&poll != &configurationPoll_ && configurationPoll_.consecutiveFailures > 0) {
        serversAndEntriesPending_ = true;
        return;
    }
    poll.consecutiveFailures += 1;
    poll.lastFailureAt = now();
    scheduleNext(poll, retryDelay(poll.consecutiveFailures), method);
}

auto Directory::calls() const -> std::uint64_t
{
    return calls_;
}

auto Directory::callStore(std::string_view name, const http::Request &request, std::function<void(StoreOutcome, const http::Result &)> onDone) -> void
{
    calls_ += 1;
    client_.fetch(request, [this, name, onDone = std::move(onDone)](const http::Result &result) {
        auto outcome = adapter::outcomeOf(result);
        reportReachability(name, outcome, result);
        if (!acceptEra(adapter::eraOf(result))) {
            outcome = StoreOutcome::Unknown; // the response is older than the restore of the store
        }
        onDone(outcome, result);
    });
}

auto Directory::acceptEra(std::uint64_t era) -> bool
{
    if (era == 0 || era == era_) {
        return true;
    }
    if (era < era_) {
        return false;
    }
    if (std::exchange(era_, era) != 0) {
        handleRestore();
    }
    return true;
}

/// What this entry wrote may be lost, so it is written again. What it has read stays in force until the store has later data.
auto Directory::handleRestore() -> void
{
    restore_ = Restore{ .seenAt = now() };
    if (lease_ != 0 && !isDeregistered_) {
        isRegistrationLost_ = true;
        leaseTimer_ = loop_.after(Duration::zero(), [this]() { writeRegistration(); });
    }
    callbacks_.onStoreRestored(era_);
}

/// Failure: the store came back from a copy and has given out the revision again from which an entry watches. Symptom: the watch succeeds
/// and skips what was written before, for ever. Revisions of an earlier era therefore lead to a new read.
auto Directory::canContinueFrom(StoreRevision revision) const -> bool
{
    return revision.number != 0 && revision.era == era_;
}

/// Failure: the copy lacks a configuration that was acknowledged, such as one that withdraws a key. Symptom: an entry that had not received it
/// confirms the older one until the operators have written the newer one again.
auto Directory::isConfigurationSettled(TimePoint requestedAt) const -> bool
{
    if (!restore_) {
        return true;
    }
    const auto isWrittenSince = restore_->copyRevision && documentRevision_.era == era_ && documentRevision_.number > *restore_->copyRevision;
    return isWrittenSince || requestedAt - restore_->seenAt >= RestoreSettleTime;
}

/// Whether the registration may be outdated, because it is in the copy and its server has not written it since.
auto Directory::isDoubtful(const adapter::StoreItem &item) const -> bool
{
    return restore_ && restore_->copyRevision && item.revision.number <= *restore_->copyRevision && now() - restore_->seenAt < MaxRegistrationDoubt;
}

auto Directory::reportReachability(std::string_view name, StoreOutcome outcome, const http::Result &result) -> void
{
    const auto reachable = outcome != StoreOutcome::Unknown && outcome != StoreOutcome::Refused;
    if (lastReachable_ != reachable) {
        lastReachable_ = reachable;
        callbacks_.onReachable(options_.store, reachable, name, describe(outcome, result));
    }
}

auto Directory::fetchItems(Poll &poll, std::string_view name, const http::Request &request, Continuity continuity, OnItems onItems, OnFailure onFailure) -> void
{
    const auto generation = generation_;
    const auto era = era_;
    poll.isInFlight = true;
    callStore(name,
              request,
              [this, &poll, name, generation, era, continuity, onItems = std::move(onItems), onFailure = std::move(onFailure)](StoreOutcome outcome,
                                                                                                                               const http::Result &result) {
                  if (generation != generation_) {
                      return;
                  }
                  poll.isInFlight = false;
                  if (outcome != StoreOutcome::Done) {
                      onFailure(outcome);
                      return;
                  }
                  if (continuity == Continuity::Required && era != era_) {
                      poll.consecutiveFailures = 0;
                      onFailure(StoreOutcome::HistoryGone);
                      return;
                  }
                  const auto items = decodeItems(name, std::get<http::Response>(result));
                  poll.mustReadAnew = !items;
                  if (!items) {
                      onFailure(StoreOutcome::Unknown);
                      return;
                  }
                  poll.consecutiveFailures = 0;
                  if (restore_ && !restore_->copyRevision) {
                      restore_->copyRevision = items->revision.number;
                  }
                  onItems(*items);
              });
}

/// Failure: a page of the list has items, but the key of none can be read, so that it is not known where the next page begins. Symptom: the servers on
/// the other pages are taken for gone.
auto Directory::decodeItems(std::string_view name, const http::Response &response) -> std::optional<adapter::StoreItems>
{
    auto items = adapter::decodeItems(response);
    if (!items || (items->hasMore && items->items.empty())) {
        callbacks_.onInvalid(name, "response of the store cannot be decoded");
        return std::nullopt;
    }
    for (const auto &detail : items->unreadable) {
        callbacks_.onInvalid(name, detail);
    }
    return items;
}

auto Directory::readConfiguration() -> void
{
    const auto requestedAt = now();
    fetchItems(
        configurationPoll_,
        "read-configuration",
        adapter::makeRange(options_.store, adapter::configurationKey(), ""),
        Continuity::None,
        [this, requestedAt](const adapter::StoreItems &items) {
            handleConfiguration(items, requestedAt);
            scheduleNext(configurationPoll_, Duration::zero(), &Directory::watchConfiguration);
        },
        [this](StoreOutcome /*outcome*/) { scheduleRetry(configurationPoll_, &Directory::readConfiguration); });
}

/// Failure: entries that receive nothing from other entries read the store themselves, all at once. Symptom: their links are filled
/// repeatedly by the document, which they already have. A watch from the known revision confirms the document as well and transfers only
/// a few bytes.
auto Directory::refreshConfiguration() -> void
{
    fetchConfigurationChange(ImmediateWatchTimeout);
}

auto Directory::watchConfiguration() -> void
{
    fetchConfigurationChange(options_.configurationWatchTimeout);
}

auto Directory::fetchConfigurationChange(Duration watchTimeout) -> void
{
    if (configurationPoll_.mustReadAnew || !canContinueFrom(configurationRevision_)) {
        readConfiguration();
        return;
    }
    const auto requestedAt = now();
    fetchItems(
        configurationPoll_,
        "watch-configuration",
        adapter::makeWatch(options_.store, adapter::configurationKey(), configurationRevision_, watchTimeout),
        Continuity::Required,
        [this, requestedAt](const adapter::StoreItems &items) {
            handleConfiguration(items, requestedAt);
            scheduleNext(configurationPoll_, Duration::zero(), &Directory::watchConfiguration);
        },
        [this](StoreOutcome outcome) {
            if (outcome == StoreOutcome::HistoryGone) {
                readConfiguration();
                return;
            }
            scheduleRetry(configurationPoll_, &Directory::watchConfiguration);
        });
}

/// The response shows the state at some time after the request was sent, so only the time of the request is a safe lower bound.
auto Directory::handleConfiguration(const adapter::StoreItems &items, TimePoint requestedAt) -> void
{
    configurationRevision_ = std::max(configurationRevision_, items.revision);
    for (const auto &item : items.items) {
        if (!item.isRemoved && item.key == adapter::configurationKey()) {
            documentRevision_ = std::max(documentRevision_, item.revision);
            callbacks_.onConfiguration({ .document = item.value, .revision = item.revision });
        }
    }
    if (isConfigurationSettled(requestedAt)) {
        callbacks_.onConfigurationConfirmed(documentRevision_, requestedAt);
    }
    const auto areServersPending = std::exchange(serversPending_, false);
    if (serversAndEntriesPending_) {
        readServersAndEntries();
    } else if (areServersPending && !serversPoll_.isInFlight) {
        refreshServers();
    }
}

/// If a list is known, reading the changes since its revision takes one call instead of one for each page.
auto Directory::refreshServers() -> void
{
    fetchServerChanges(ImmediateWatchTimeout);
}

auto Directory::readServers() -> void
{
    partialServers_ = { .asOf = now() };
    if (restore_) {
        restore_->hasIgnoredServers = false;
    }
    readServersPage("");
}

auto Directory::readServersPage(const std::string &after) -> void
{
    fetchItems(
        serversPoll_,
        "read-servers",
        adapter::makeRange(options_.store, adapter::serversPrefix(), after),
        after.empty() ? Continuity::None : Continuity::Required,
        [this](const adapter::StoreItems &items) { handleServersPage(items); },
        [this](StoreOutcome /*outcome*/) {
            lastServersFailureAt_ = now();
            scheduleRetry(serversPoll_, &Directory::readServers);
        });
}

/// The pages are not a consistent snapshot, so the revision of the first page is a safe lower bound for the whole list.
auto Directory::handleServersPage(const adapter::StoreItems &items) -> void
{
    partialServers_.revision = partialServers_.revision.number == 0 ? items.revision : partialServers_.revision;
    for (const auto &item : items.items) {
        applyServer(partialServers_, item);
    }
    if (items.hasMore && !items.items.empty()) {
        readServersPage(items.items.back().key);
        return;
    }
    servers_ = std::exchange(partialServers_, {});
    publishServers();
}

auto Directory::watchServers() -> void
{
    const auto isDoubtOver = restore_ && restore_->hasIgnoredServers && now() - restore_->seenAt >= MaxRegistrationDoubt;
    if (isDoubtOver) {
        readServers();
        return;
    }
    fetchServerChanges(options_.serversWatchTimeout);
}

auto Directory::fetchServerChanges(Duration watchTimeout) -> void
{
    if (serversPoll_.mustReadAnew || !canContinueFrom(servers_.revision)) {
        readServers();
        return;
    }
    const auto requestedAt = now();
    fetchItems(
        serversPoll_,
        "watch-servers",
        adapter::makeWatch(options_.store, adapter::serversPrefix(), servers_.revision, watchTimeout),
        Continuity::Required,
        [this, requestedAt](const adapter::StoreItems &items) {
            servers_.asOf = std::max(servers_.asOf, requestedAt);
            handleServerChanges(items);
        },
        [this](StoreOutcome outcome) {
            lastServersFailureAt_ = now();
            if (outcome == StoreOutcome::HistoryGone) {
                readServers();
                return;
            }
            scheduleRetry(serversPoll_, &Directory::watchServers);
        });
}

/// A list received from another entry while the call was in flight may be newer than the response, and then already contains these
/// changes.
auto Directory::handleServerChanges(const adapter::StoreItems &items) -> void
{
    if (items.revision >= servers_.revision) {
        servers_.revision = items.revision;
        for (const auto &item : items.items) {
            applyServer(servers_, item);
        }
    }
    publishServers();
}

auto Directory::applyServer(ServerList &list, const adapter::StoreItem &item) -> void
{
    const auto id = adapter::serverIdOf(item.key);
    if (item.isRemoved) {
        list.byId.erase(id);
        return;
    }
    if (isDoubtful(item)) {
        restore_->hasIgnoredServers = true;
        if (const auto known = servers_.byId.find(id); known != servers_.byId.end()) {
            list.byId[id] = known->second;
        }
        return;
    }
    try {
        list.byId[id] = adapter::decodeServer(item.key, item.value);
    } catch (const adapter::InvalidDocument &error) {
        list.byId.erase(id);
        reportInvalidServer(item, error.what());
    }
}

/// An invalid registration may remain for hours and is read twice a second, so it is reported once for each revision.
auto Directory::reportInvalidServer(const adapter::StoreItem &item, std::string_view detail) -> void
{
    constexpr std::size_t MaxReported = 1000;
    if (reportedInvalidServers_.size() >= MaxReported) {
        reportedInvalidServers_.clear();
    }
    auto &reportedRevision = reportedInvalidServers_[item.key];
    if (std::exchange(reportedRevision, item.revision) != item.revision) {
        callbacks_.onInvalid("server", item.key + ": " + std::string(detail));
    }
}

/// End of an outage of the store, if the list that was just read ends one. Servers may have lost their registration during the outage.
///
/// Failure: an entry's own calls fail, it receives the list of servers from other entries, and some time after the last of these updates
/// it reads the list itself. Symptom: a server that has just left is treated as about to return, and receives requests for two more
/// seconds. Therefore only calls that failed after the last confirmation from any source indicate an outage. An entry that takes over
/// reading may not have attempted a call in the meantime, so a long gap also indicates an outage; that threshold is longer than the
/// failover from a lost reader.
auto Directory::detectOutage() const -> std::optional<TimePoint>
{
    const auto knownAt = serversConfirmedAt_.value_or(servers_.asOf);
    const auto hasFailedSince = lastServersFailureAt_ && *lastServersFailureAt_ > knownAt;
    if (restore_ && servers_.asOf - restore_->seenAt < UnattemptedOutageThreshold) {
        return restore_->seenAt; // servers whose registration was lost are about to write it again
    }
    const auto isOutage = servers_.asOf - knownAt > (hasFailedSince ? OutageThreshold : UnattemptedOutageThreshold);
    return isOutage ? std::optional(servers_.asOf) : std::nullopt;
}

auto Directory::publishServers() -> void
{
    if (const auto endedAt = detectOutage()) {
        outageEndedAt_ = endedAt;
    }
    recordServersConfirmed(servers_.asOf);
    ServersSnapshot read{ .revision = servers_.revision, .asOf = servers_.asOf, .outageEndedAt = outageEndedAt_ };
    for (const auto &[id, server] : servers_.byId) {
        read.servers.push_back(server);
    }
    callbacks_.onServers(read);
    scheduleNext(serversPoll_, options_.serversWatchInterval, &Directory::watchServers);
}

auto Directory::readEntries() -> void
{
    fetchItems(
        entriesPoll_,
        "read-entries",
        adapter::makeRange(options_.store, EntriesPrefix, ""),
        Continuity::None,
        [this](const adapter::StoreItems &items) {
            registeredEntries_.clear();
            handleEntries(items);
            scheduleNext(entriesPoll_, EntriesWatchInterval, &Directory::watchEntries);
        },
        [this](StoreOutcome /*outcome*/) {
            callbacks_.onRegistrationsFailed();
            scheduleRetry(entriesPoll_, &Directory::readEntries);
        });
}

auto Directory::watchEntries() -> void
{
    if (entriesPoll_.mustReadAnew || !canContinueFrom(entriesRevision_)) {
        readEntries();
        return;
    }
    fetchItems(
        entriesPoll_,
        "watch-entries",
        adapter::makeWatch(options_.store, EntriesPrefix, entriesRevision_, EntriesWatchTimeout),
        Continuity::Required,
        [this](const adapter::StoreItems &items) {
            handleEntries(items);
            scheduleNext(entriesPoll_, EntriesWatchInterval, &Directory::watchEntries);
        },
        [this](StoreOutcome outcome) {
            const auto isHistoryGone = outcome == StoreOutcome::HistoryGone;
            scheduleRetry(entriesPoll_, isHistoryGone ? &Directory::readEntries : &Directory::watchEntries);
        });
}

auto Directory::handleEntries(const adapter::StoreItems &items) -> void
{
    entriesRevision_ = items.revision;
    for (const auto &item : items.items) {
        if (item.isRemoved) {
            registeredEntries_.erase(item.key);
            continue;
        }
        try {
            registeredEntries_[item.key] = adapter::decodeEntry(item.value);
        } catch (const adapter::InvalidDocument &error) {
            callbacks_.onInvalid("entry", error.what());
        }
    }
    std::vector<adapter::EntryRecord> registered;
    for (const auto &[key, entry] : registeredEntries_) {
        registered.push_back(entry);
    }
    callbacks_.onRegistrations(registered);
}

auto Directory::registerSelf() -> void
{
    if (!std::exchange(isRegistrationStarted_, true)) {
        acquireLease();
    }
}

auto Directory::acquireLease() -> void
{
    if (isDeregistered_) {
        return;
    }
    callStore("take-lease", adapter::makeLease(options_.store, options_.leaseDuration), [this](StoreOutcome outcome, const http::Result &result) {
        const auto lease = outcome == StoreOutcome::Done ? adapter::decodeLease(std::get<http::Response>(result)) : std::nullopt;
        if (!lease) {
            leaseFailures_ += 1;
            leaseTimer_ = loop_.after(retryDelay(leaseFailures_), [this]() { acquireLease(); });
            return;
        }
        leaseFailures_ = 0;
        lease_ = lease->id;
        grantedLeaseDuration_ = lease->lifetime;
        writeRegistration();
    });
}

auto Directory::writeRegistration() -> void
{
    if (isDeregistered_) {
        return;
    }
    isRegistrationLost_ = false;
    const auto key = std::string(EntriesPrefix) + options_.self.name;
    callStore(
        "register", adapter::makePut(options_.store, key, adapter::encodeEntry(options_.self), lease_), [this](StoreOutcome outcome, const http::Result &) {
            if (outcome == StoreOutcome::Done) {
                leaseTimer_ = loop_.after(grantedLeaseDuration_ / RenewalsPerLease, [this]() { renewLease(); });
                return;
            }
            // the write may have succeeded although its response was lost; writing the same value again is harmless
            const auto isLeaseGone = outcome == StoreOutcome::Absent;
            leaseTimer_ = loop_.after(RetryDelay, [this, isLeaseGone]() { isLeaseGone ? acquireLease() : writeRegistration(); });
        });
}

auto Directory::renewLease() -> void
{
    if (isDeregistered_) {
        return;
    }
    callStore("renew-lease", adapter::makeRenewal(options_.store, lease_), [this](StoreOutcome outcome, const http::Result &) {
        if (isRegistrationLost_) {
            return; // it is about to be written again
        }
        if (outcome == StoreOutcome::Absent) {
            acquireLease();
            return;
        }
        const auto pause
            = outcome == StoreOutcome::Done ? grantedLeaseDuration_ / RenewalsPerLease : std::max(RetryDelay, grantedLeaseDuration_ / RetriesPerLease);
        leaseTimer_ = loop_.after(pause, [this]() { renewLease(); });
    });
}

auto Directory::deregister() -> void
{
    if (std::exchange(isDeregistered_, true) || lease_ == 0) {
        return;
    }
    // not retried after a failure: the lease expires within seconds
    callStore("withdraw", adapter::makeLeaseEnd(options_.store, lease_), [](StoreOutcome, const http::Result &) {});
}

} // namespace auburnspread::gateway
