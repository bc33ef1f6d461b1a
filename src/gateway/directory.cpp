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

/// Where the entries register; the product's own part of the store.
constexpr std::string_view EntriesPrefix = "auburnspread/entries/";
/// All entries as they were listed last.
constexpr std::string_view RememberedKey = "auburnspread/fleet";

/// Pause after a call that failed, doubled after each further one. A store that is weak must not be asked by many at once, and one that
/// is back is to be noticed within a second.
constexpr Duration FailurePause = std::chrono::milliseconds(300);
constexpr int MostDoublings = 2;
/// Of a question for changes that is to be answered at once.
constexpr Duration ShortestWait = std::chrono::milliseconds(1);
/// Entries come and go rarely, and a change ends the wait.
constexpr Duration EntriesWait = std::chrono::seconds(10);
/// Between two watches of the entries: where many start at once, one answer tells of several.
constexpr Duration EntriesPause = std::chrono::milliseconds(200);
/// A lease is renewed this often within its time, so that two lost calls do not end it.
constexpr int RenewalsPerLease = 3;
/// A renewal that failed is tried again after this part of the lease's time.
constexpr int RetriesPerLease = 5;
/// What an outdated read tells is no older than this.
constexpr Duration OldestOutdated = std::chrono::seconds(10);
/// Without a list for this long, servers may have lost their registration while they live.
constexpr Duration OutageLength = std::chrono::milliseconds(1500);
/// The same for an entry that did not try to read.
constexpr Duration UnnoticedOutageLength = std::chrono::milliseconds(3500);

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

auto Directory::setReading(bool reading) -> void
{
    if (std::exchange(reading_, reading) == reading) {
        return;
    }
    if (reading) {
        beginReading();
        return;
    }
    round_ += 1;
    for (auto *topic : { &configuration_, &serversTopic_, &entries_ }) {
        *topic = { .failures = topic->failures, .failedAt = topic->failedAt };
    }
}

/// Where the store did not answer the last time, the pause before the next try goes on: entries take turns in trying. A question for the
/// configuration that is under way is that try, and its answer begins the rest.
auto Directory::beginReading() -> void
{
    if (reachable_ == false) {
        readsRest_ = true;
        goOn(configuration_, std::max(configuration_.failedAt + pauseOf(configuration_) - now(), Duration::zero()), &Directory::readOnce);
    } else {
        readOnce();
    }
}

auto Directory::noteConfiguration(std::uint64_t revision) -> void
{
    configurationRevision_ = std::max(configurationRevision_, revision);
}

auto Directory::readOnce() -> void
{
    if (!configuration_.isUnderWay) {
        checkConfiguration();
    }
    readsRest_ = reachable_ == false;
    if (!readsRest_) {
        readRest();
    }
}

/// Failure: the store is away. Symptom: every entry that tries it asks for everything at once, again and again. Where the last call
/// failed, one question finds out, and the rest is asked when it was answered.
auto Directory::readRest() -> void
{
    readsRest_ = false;
    if (!serversTopic_.isUnderWay) {
        checkServers();
    }
    if (!entries_.isUnderWay) {
        readEntries();
    }
}

auto Directory::readRegistrations() -> void
{
    if (!entries_.isUnderWay) {
        readEntries();
    }
}

auto Directory::noteServers(const DirectoryState &known) -> void
{
    if (known.serversRevision <= servers_.revision) {
        return;
    }
    servers_ = { .revision = known.serversRevision, .asOf = known.serversAt.value_or(TimePoint()) };
    for (const auto &server : known.servers) {
        servers_.byId[server.id] = server;
    }
}

auto Directory::noteServersConfirmed(TimePoint asOf) -> void
{
    serversKnownAt_ = std::max(serversKnownAt_.value_or(asOf), asOf);
}

auto Directory::readOutdated() -> void
{
    readOutdatedEntries();
    readOutdatedConfiguration();
    readOutdatedServers("", std::make_shared<ServersRead>());
}

auto Directory::confirmOnce() -> void
{
    if (!configuration_.isUnderWay) {
        checkConfiguration();
    }
}

/// A write that fails is not repeated: the next change is written as well.
auto Directory::rememberEntries(const std::string &list) -> void
{
    constexpr std::uint64_t NoLease = 0;
    call("remember-entries", adapter::makePut(options_.store, RememberedKey, list, NoLease), [](StoreOutcome, const http::Result &) {});
}

/// What fails is not asked again: other entries have it, and are asked beside.
auto Directory::readOutdatedRange(std::string_view name, std::string_view prefix, const std::string &after, OnItems onItems) -> void
{
    const auto request = adapter::makeOutdatedRange(options_.store, prefix, after);
    call(name, request, [onItems = std::move(onItems)](StoreOutcome outcome, const http::Result &result) {
        const auto items = outcome == StoreOutcome::Done ? adapter::decodeItems(std::get<http::Response>(result)) : std::nullopt;
        if (items) {
            onItems(*items);
        }
    });
}

auto Directory::readOutdatedConfiguration() -> void
{
    readOutdatedRange("read-outdated-configuration", adapter::configurationKey(), "", [this](const adapter::StoreItems &items) {
        for (const auto &item : items.items) {
            if (item.key == adapter::configurationKey()) {
                callbacks_.onConfiguration({ .document = item.value, .revision = item.revision });
            }
        }
    });
}

auto Directory::readOutdatedEntries() -> void
{
    readOutdatedRange("read-outdated-entries", RememberedKey, "", [this](const adapter::StoreItems &items) {
        for (const auto &item : items.items) {
            if (item.key == RememberedKey) {
                callbacks_.onRemembered(item.value);
            }
        }
    });
}

auto Directory::readOutdatedServers(const std::string &after, const std::shared_ptr<ServersRead> &read) -> void
{
    readOutdatedRange("read-outdated-servers", adapter::serversPrefix(), after, [this, read](const adapter::StoreItems &items) {
        ServerList page;
        for (const auto &item : items.items) {
            takeServer(page, item);
        }
        for (auto &[id, server] : page.byId) {
            read->servers.push_back(std::move(server));
        }
        read->revision = read->revision == 0 ? items.revision : read->revision;
        if (items.hasMore && !items.items.empty()) {
            readOutdatedServers(items.items.back().key, read);
            return;
        }
        read->asOf = now() - OldestOutdated;
        callbacks_.onServers(*read);
    });
}

auto Directory::goOn(Topic &topic, Duration pause, Step step) -> void
{
    // what an answer told may have begun the next call
    if (reading_ && !topic.isUnderWay) {
        topic.timer = loop_.after(pause, [this, step]() { (this->*step)(); });
    }
}

auto Directory::pauseOf(const Topic &topic) -> Duration
{
    return FailurePause * (1 << std::clamp(topic.failures - 1, 0, MostDoublings));
}

auto Directory::goOnAfterFailure(Topic &topic, Step step) -> void
{
    if (&topic != &configuration_ && configuration_.failures > 0) {
        readsRest_ = true;
        return;
    }
    topic.failures += 1;
    topic.failedAt = now();
    goOn(topic, pauseOf(topic), step);
}

auto Directory::calls() const -> std::uint64_t
{
    return calls_;
}

auto Directory::call(std::string_view name, const http::Request &request, std::function<void(StoreOutcome, const http::Result &)> onDone) -> void
{
    calls_ += 1;
    client_.fetch(request, [this, name, onDone = std::move(onDone)](const http::Result &result) {
        const auto outcome = adapter::outcomeOf(result);
        noteReachable(name, outcome, result);
        onDone(outcome, result);
    });
}

auto Directory::noteReachable(std::string_view name, StoreOutcome outcome, const http::Result &result) -> void
{
    const auto reachable = outcome != StoreOutcome::Unknown && outcome != StoreOutcome::Refused;
    if (reachable_ != reachable) {
        reachable_ = reachable;
        callbacks_.onReachable(options_.store, reachable, name, describe(outcome, result));
    }
}

auto Directory::fetchItems(Topic &topic, std::string_view name, const http::Request &request, OnItems onItems, OnFailure onFailure) -> void
{
    const auto round = round_;
    topic.isUnderWay = true;
    call(name,
         request,
         [this, &topic, name, round, onItems = std::move(onItems), onFailure = std::move(onFailure)](StoreOutcome outcome, const http::Result &result) {
             if (round != round_) {
                 return;
             }
             topic.isUnderWay = false;
             if (outcome != StoreOutcome::Done) {
                 onFailure(outcome);
                 return;
             }
             topic.failures = 0;
             const auto items = adapter::decodeItems(std::get<http::Response>(result));
             if (!items) {
                 callbacks_.onInvalid(name, "answer of the store can't be read");
                 onFailure(StoreOutcome::Unknown);
                 return;
             }
             onItems(*items);
         });
}

auto Directory::readConfiguration() -> void
{
    const auto askedAt = now();
    fetchItems(
        configuration_,
        "read-configuration",
        adapter::makeRange(options_.store, adapter::configurationKey(), ""),
        [this, askedAt](const adapter::StoreItems &items) {
            takeConfiguration(items, askedAt);
            goOn(configuration_, Duration::zero(), &Directory::watchConfiguration);
        },
        [this](StoreOutcome /*outcome*/) { goOnAfterFailure(configuration_, &Directory::readConfiguration); });
}

/// Failure: entries that hear nothing of the others read the store themselves, all at once. Symptom: the document, which they have,
/// fills their links over and over. What changed since the known one confirms it as well, and is a few bytes.
auto Directory::checkConfiguration() -> void
{
    if (configurationRevision_ == 0) {
        readConfiguration();
    } else {
        askForChange(ShortestWait);
    }
}

auto Directory::watchConfiguration() -> void
{
    askForChange(options_.configurationWait);
}

auto Directory::askForChange(Duration wait) -> void
{
    const auto askedAt = now();
    fetchItems(
        configuration_,
        "watch-configuration",
        adapter::makeWatch(options_.store, adapter::configurationKey(), configurationRevision_, wait),
        [this, askedAt](const adapter::StoreItems &items) {
            takeConfiguration(items, askedAt);
            goOn(configuration_, Duration::zero(), &Directory::watchConfiguration);
        },
        [this](StoreOutcome outcome) {
            if (outcome == StoreOutcome::HistoryGone) {
                readConfiguration();
                return;
            }
            goOnAfterFailure(configuration_, &Directory::watchConfiguration);
        });
}

/// The answer shows the state at some time after it was asked for, so the moment of asking is the one that is sure.
auto Directory::takeConfiguration(const adapter::StoreItems &items, TimePoint askedAt) -> void
{
    configurationRevision_ = std::max(configurationRevision_, items.revision);
    for (const auto &item : items.items) {
        if (!item.isRemoved && item.key == adapter::configurationKey()) {
            callbacks_.onConfiguration({ .document = item.value, .revision = item.revision });
        }
    }
    callbacks_.onConfirmed(askedAt);
    if (readsRest_) {
        readRest();
    }
}

/// Where a list is known, what changed since then is one call instead of one for each page.
auto Directory::checkServers() -> void
{
    if (servers_.revision == 0) {
        readServers();
    } else {
        askForServerChanges(ShortestWait);
    }
}

auto Directory::readServers() -> void
{
    page_ = { .asOf = now() };
    readServersPage("");
}

auto Directory::readServersPage(const std::string &after) -> void
{
    fetchItems(
        serversTopic_,
        "read-servers",
        adapter::makeRange(options_.store, adapter::serversPrefix(), after),
        [this](const adapter::StoreItems &items) { takeServersPage(items); },
        [this](StoreOutcome /*outcome*/) {
            serversFailedAt_ = now();
            goOnAfterFailure(serversTopic_, &Directory::readServers);
        });
}

/// The pages are no snapshot: what the first one shows is sure for all of them.
auto Directory::takeServersPage(const adapter::StoreItems &items) -> void
{
    page_.revision = page_.revision == 0 ? items.revision : page_.revision;
    for (const auto &item : items.items) {
        takeServer(page_, item);
    }
    if (items.hasMore && !items.items.empty()) {
        readServersPage(items.items.back().key);
        return;
    }
    servers_ = std::exchange(page_, {});
    takeServers();
}

auto Directory::watchServers() -> void
{
    askForServerChanges(options_.serversWait);
}

auto Directory::askForServerChanges(Duration wait) -> void
{
    const auto askedAt = now();
    fetchItems(
        serversTopic_,
        "watch-servers",
        adapter::makeWatch(options_.store, adapter::serversPrefix(), servers_.revision, wait),
        [this, askedAt](const adapter::StoreItems &items) {
            servers_.asOf = std::max(servers_.asOf, askedAt);
            takeServerChanges(items);
        },
        [this](StoreOutcome outcome) {
            serversFailedAt_ = now();
            if (outcome == StoreOutcome::HistoryGone) {
                readServers();
                return;
            }
            goOnAfterFailure(serversTopic_, &Directory::watchServers);
        });
}

/// A list that came by another way while the question was under way may be newer than the answer; it holds all of that already.
auto Directory::takeServerChanges(const adapter::StoreItems &items) -> void
{
    if (items.revision >= servers_.revision) {
        servers_.revision = items.revision;
        for (const auto &item : items.items) {
            takeServer(servers_, item);
        }
    }
    takeServers();
}

auto Directory::takeServer(ServerList &list, const adapter::StoreItem &item) -> void
{
    const auto id = adapter::serverIdOf(item.key);
    if (item.isRemoved) {
        list.byId.erase(id);
        return;
    }
    try {
        list.byId[id] = adapter::decodeServer(item.key, item.value);
    } catch (const adapter::InvalidDocument &error) {
        list.byId.erase(id);
        tellInvalidServer(item, error.what());
    }
}

/// A registration of another writer stays for hours and is read twice a second: it is told once for each time it was written.
auto Directory::tellInvalidServer(const adapter::StoreItem &item, std::string_view detail) -> void
{
    constexpr std::size_t MostRemembered = 1000;
    if (invalidServers_.size() >= MostRemembered) {
        invalidServers_.clear();
    }
    auto &told = invalidServers_[item.key];
    if (std::exchange(told, item.revision) != item.revision) {
        callbacks_.onInvalid("server", item.key + ": " + std::string(detail));
    }
}

/// When a while without the store ended, if the list that was just read ends one: servers may have lost their registration meanwhile.
///
/// Failure: an entry's own calls fail, others tell it of the servers, and some time after their last word it reads the list itself.
/// Symptom: a server that has just left counts as one that is about to return, and gets requests for two seconds more. Only calls that
/// failed after the last word of anybody show that the store was away. An entry that takes the reading over may not have tried
/// meanwhile, so a long gap shows it too; it is longer than what the loss of a reader takes.
auto Directory::findOutage() const -> std::optional<TimePoint>
{
    const auto knownAt = serversKnownAt_.value_or(servers_.asOf);
    const auto hasFailedSince = serversFailedAt_ && *serversFailedAt_ > knownAt;
    const auto isOutage = servers_.asOf - knownAt > (hasFailedSince ? OutageLength : UnnoticedOutageLength);
    return isOutage ? std::optional(servers_.asOf) : std::nullopt;
}

auto Directory::takeServers() -> void
{
    if (const auto endedAt = findOutage()) {
        outageEndedAt_ = endedAt;
    }
    noteServersConfirmed(servers_.asOf);
    ServersRead read{ .revision = servers_.revision, .asOf = servers_.asOf, .outageEndedAt = outageEndedAt_ };
    for (const auto &[id, server] : servers_.byId) {
        read.servers.push_back(server);
    }
    callbacks_.onServers(read);
    goOn(serversTopic_, options_.serversPause, &Directory::watchServers);
}

auto Directory::readEntries() -> void
{
    fetchItems(
        entries_,
        "read-entries",
        adapter::makeRange(options_.store, EntriesPrefix, ""),
        [this](const adapter::StoreItems &items) {
            knownEntries_.clear();
            takeEntries(items);
            goOn(entries_, EntriesPause, &Directory::watchEntries);
        },
        [this](StoreOutcome /*outcome*/) {
            callbacks_.onRegistrationsFailed();
            goOnAfterFailure(entries_, &Directory::readEntries);
        });
}

auto Directory::watchEntries() -> void
{
    fetchItems(
        entries_,
        "watch-entries",
        adapter::makeWatch(options_.store, EntriesPrefix, entriesRevision_, EntriesWait),
        [this](const adapter::StoreItems &items) {
            takeEntries(items);
            goOn(entries_, EntriesPause, &Directory::watchEntries);
        },
        [this](StoreOutcome outcome) {
            const auto isHistoryGone = outcome == StoreOutcome::HistoryGone;
            goOnAfterFailure(entries_, isHistoryGone ? &Directory::readEntries : &Directory::watchEntries);
        });
}

auto Directory::takeEntries(const adapter::StoreItems &items) -> void
{
    entriesRevision_ = items.revision;
    for (const auto &item : items.items) {
        if (item.isRemoved) {
            knownEntries_.erase(item.key);
            continue;
        }
        try {
            knownEntries_[item.key] = adapter::decodeEntry(item.value);
        } catch (const adapter::InvalidDocument &error) {
            callbacks_.onInvalid("entry", error.what());
        }
    }
    std::vector<adapter::EntryRecord> registered;
    for (const auto &[key, entry] : knownEntries_) {
        registered.push_back(entry);
    }
    callbacks_.onRegistrations(registered);
}

auto Directory::registerSelf() -> void
{
    if (!std::exchange(isRegistered_, true)) {
        takeLease();
    }
}

auto Directory::takeLease() -> void
{
    if (isWithdrawn_) {
        return;
    }
    call("take-lease", adapter::makeLease(options_.store, options_.leaseTime), [this](StoreOutcome outcome, const http::Result &result) {
        const auto lease = outcome == StoreOutcome::Done ? adapter::decodeLease(std::get<http::Response>(result)) : std::nullopt;
        if (!lease) {
            leaseTimer_ = loop_.after(FailurePause, [this]() { takeLease(); });
            return;
        }
        lease_ = lease->id;
        leaseTime_ = lease->lifetime;
        putSelf();
    });
}

auto Directory::putSelf() -> void
{
    if (isWithdrawn_) {
        return;
    }
    const auto key = std::string(EntriesPrefix) + options_.self.name;
    call("register", adapter::makePut(options_.store, key, adapter::encodeEntry(options_.self), lease_), [this](StoreOutcome outcome, const http::Result &) {
        if (outcome == StoreOutcome::Done) {
            leaseTimer_ = loop_.after(leaseTime_ / RenewalsPerLease, [this]() { renewLease(); });
            return;
        }
        // an answer that was lost may belong to a write that was done: writing the same again does no harm
        const auto isLeaseGone = outcome == StoreOutcome::Absent;
        leaseTimer_ = loop_.after(FailurePause, [this, isLeaseGone]() { isLeaseGone ? takeLease() : putSelf(); });
    });
}

auto Directory::renewLease() -> void
{
    if (isWithdrawn_) {
        return;
    }
    call("renew-lease", adapter::makeRenewal(options_.store, lease_), [this](StoreOutcome outcome, const http::Result &) {
        if (outcome == StoreOutcome::Absent) {
            takeLease();
            return;
        }
        const auto pause = outcome == StoreOutcome::Done ? leaseTime_ / RenewalsPerLease : std::max(FailurePause, leaseTime_ / RetriesPerLease);
        leaseTimer_ = loop_.after(pause, [this]() { renewLease(); });
    });
}

auto Directory::withdraw() -> void
{
    if (std::exchange(isWithdrawn_, true) || lease_ == 0) {
        return;
    }
    // a failure needs no repeat: the lease ends by itself within seconds
    call("withdraw", adapter::makeLeaseEnd(options_.store, lease_), [](StoreOutcome, const http::Result &) {});
}

} // namespace auburnspread::gateway
