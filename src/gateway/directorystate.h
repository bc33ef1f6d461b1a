/// \file
/// An entry's copy of the directory, and the message format in which an entry that reads the store sends it to one that does not.

#pragma once

#include "core/base/storerevision.h"
#include "core/base/time.h"
#include "core/fleet/entryrecord.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/crashledger.h"
#include "gateway/documenttransfer.h"
#include "gateway/serverchanges.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

/// A complete list of the backend servers as it was read from the store.
struct ServersSnapshot {
    std::vector<passthrough::Server> servers;
    StoreRevision revision; ///< orders lists received by different paths
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< end of the last outage of the store; servers not listed since then may be about to register again
};

/// Changes relative to the known list of backend servers.
struct ServersDelta {
    ServerChanges changes;
    std::uint64_t tag = 0; ///< content tag of the list with these changes applied
    StoreRevision revision;
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< see ServersSnapshot
};

/// Receives the directory from one of its sources: the entry's own reads of the store, or another entry.
struct DirectoryCallbacks {
    std::function<void(const ConfigurationSnapshot &read)> onConfiguration;
    std::function<void(StoreRevision revision, TimePoint asOf)> onConfigurationConfirmed; ///< the configuration of this revision was the newest at that time
    std::function<void(StoreRevision revision)> onConfigurationOffered;                   ///< another entry has a newer configuration of this revision
    std::function<void(const ServersSnapshot &read)> onServers;
    std::function<void(const ServersDelta &change)> onServersDelta;
    std::function<void(StoreRevision revision, TimePoint asOf)> onServersConfirmed;              ///< the last delivered list was read again without changes
    std::function<void(const std::vector<fleet::EntryRecord> &alive, TimePoint asOf)> onEntries; ///< entries from which another entry receives heartbeats
    std::function<void(TimePoint asOf)> onEntriesConfirmed;                                      ///< the last delivered entries are still alive
    std::function<void(const std::vector<fleet::EntryRecord> &registered)> onRegistrations;      ///< entries registered in the store
    std::function<void()> onRegistrationsFailed;
    /// The store came back from a copy, as this entry's calls or another entry show. What entries wrote there may be lost.
    std::function<void(std::uint64_t era)> onStoreRestored;
    std::function<void(const std::string &list)> onEntriesSnapshot;                                  ///< list of entries that was last saved in the store
    std::function<void(const std::vector<passthrough::QuarantinedSuspect> &suspects)> onQuarantined; ///< what is quarantined according to another entry
    std::function<void(const std::string &peer, bool isHealthy)> onReaderChecked; ///< whether the queried entry responded with fresh data of the store
    std::function<void(std::string_view peer, bool reachable, std::string_view call, const std::string &detail)> onReachable; ///< a peer was lost or regained
    std::function<void(std::string_view peer, const std::string &detail)> onPartFailed; ///< a part of a configuration was not received from another entry
    std::function<void(std::string_view what, const std::string &detail)> onInvalid;    ///< received data could not be decoded
};

/// Content tags, by which two entries compare parts of the directory without sending them.
struct DirectoryTags {
    StoreRevision configuration; ///< of the newest document read, even if it held an older version
    std::uint64_t servers = 0;   ///< hash of the content, as for the entries
    std::uint64_t entries = 0;
    std::uint64_t quarantined = 0; ///< 0: nothing is quarantined
};

/// A list in the compressed form that is sent to other entries; it is packed once for all of them.
struct PackedList {
    std::string bytes;
    std::size_t size = 0; ///< size of the unpacked list in bytes

    auto operator==(const PackedList &) const -> bool = default;
};

/// The directory as one entry knows it. The functions below change its parts together with their tags.
struct DirectoryState {
    std::vector<OfferedDocument> configurations; ///< newest first; the newest one is in force
    std::optional<TimePoint> confirmedAt;
    std::map<StoreRevision, TimePoint> offeredAt;            ///< when another entry first offered each newer configuration, by revision
    std::map<StoreRevision, TimePoint> pendingConfirmations; ///< of configurations that have not been received yet; see recordConfirmation()
    ServerRecords servers;                                   ///< sorted by id
    ChangeLog serverLog;                                     ///< recent changes of \c servers
    StoreRevision serversRevision;
    std::optional<TimePoint> serversAt;
    std::optional<TimePoint> outageEndedAt;  ///< end of the last outage of the store; see ServersSnapshot
    std::vector<fleet::EntryRecord> entries; ///< entries that are alive
    std::optional<TimePoint> entriesAt;
    std::vector<passthrough::QuarantinedSuspect> quarantined; ///< sorted
    mutable PackedList packedServers;                         ///< created on first request
    mutable std::uint64_t packedServersTag = 0;               ///< content tag of the list in \c packedServers
    PackedList packedEntries;
    DirectoryTags tags;
};

/// \name Apply data that was read from the store, by this entry or another one
///
/// Failure: an entry that read the store for others is cut off for a while and returns. Symptom: entries that query it get a list
/// that is seconds old, consider a server alive that has left since, and switch back and forth between two sets of readers.
/// The store's revision therefore orders data received by different paths, and data older than the known state changes nothing. After the
/// store came back from a copy, its new era makes what it gives out later than what is known.
/// @{
auto applyConfiguration(DirectoryState &state, const ConfigurationSnapshot &read) -> void;
/// Records that the configuration of this revision was read, whether or not its version is newer than the one in force. Offers up to
/// this revision no longer count as outstanding.
auto recordConfigurationRead(DirectoryState &state, StoreRevision revision) -> void;
/// Records that the configuration of this revision was the newest at \p asOf. While configurations follow each other, each
/// confirmation refers to one that is still to be fetched, so it is kept until then; otherwise no configuration would ever be confirmed.
/// \return whether the known configuration is at least as new, and so is confirmed as of that time
auto recordConfirmation(DirectoryState &state, StoreRevision revision, TimePoint asOf) -> bool;
/// Applies the confirmations of configurations up to the known one, which was just received.
/// \return the time as of which the known configuration is confirmed; nothing if there are no such confirmations
auto applyPendingConfirmations(DirectoryState &state) -> std::optional<TimePoint>;
/// Records that the known configuration was the newest at \p asOf. Offers of newer ones that arrived before then are wrong and are
/// dropped.
auto applyConfirmation(DirectoryState &state, TimePoint asOf) -> void;
/// Records that another entry offers a newer configuration. \return whether the offer is new
auto recordOffer(DirectoryState &state, StoreRevision revision, TimePoint now) -> bool;
/// \return what changed; nothing if the list is older than the known one
auto applyServers(DirectoryState &state, const ServersSnapshot &read) -> std::optional<ServerChanges>;
/// \return false if the delta does not apply to the known list, so that the whole list has to be requested
auto applyServersDelta(DirectoryState &state, const ServersDelta &change) -> bool;
/// \return whether the list of entries changed
auto applyEntries(DirectoryState &state, const std::vector<fleet::EntryRecord> &alive, TimePoint asOf) -> bool;
auto confirmEntries(DirectoryState &state, TimePoint asOf) -> void;
auto applyQuarantined(DirectoryState &state, std::vector<passthrough::QuarantinedSuspect> suspects) -> void;
/// @}

/// Latest time as of which it is known which configuration is the newest, even if that one has not been received yet.
auto configurationKnownAt(const DirectoryState &state) -> std::optional<TimePoint>;
/// Time at which this entry learned of a configuration newer than its own; nothing if it knows of none.
auto outdatedSince(const DirectoryState &state) -> std::optional<TimePoint>;

/// Response to a directory query: the lists whose tags differ from those of the querying entry, and the age of each list.
struct DirectoryAnswer {
    std::optional<Duration> confirmedAge;       ///< age of the configuration's last confirmation; not set: never confirmed
    std::optional<DocumentOffer> configuration; ///< the newest configuration, to be fetched in parts; not set: none
    std::optional<Duration> serversAge;         ///< age of the list of servers; not set: never read
    StoreRevision serversRevision;
    std::optional<PackedList> servers;          ///< the whole list, if the change log no longer covers the querying entry's list
    std::optional<ServerChanges> serverChanges; ///< changes relative to the querying entry's list
    std::uint64_t serversTag = 0;               ///< content tag of the list with these changes applied
    std::optional<Duration> outageAge;          ///< time since the last outage of the store ended; not set: no recent outage
    std::optional<Duration> entriesAge;         ///< age of the list of entries; not set: no heartbeat was received yet
    std::optional<PackedList> entries;
    struct Quarantined {
        passthrough::Suspect suspect;
        Duration age{}; ///< time since the last crash
    };
    std::uint64_t quarantinedTag = 0;
    std::optional<std::vector<Quarantined>> quarantined; ///< all that is quarantined; not set: the querying entry has this list
};

auto makeAnswer(const DirectoryState &state, const DirectoryTags &known, TimePoint now) -> DirectoryAnswer;

auto encodeAnswer(const DirectoryAnswer &answer) -> std::string;
/// Throws std::runtime_error if the bytes are not a valid answer.
auto decodeAnswer(std::string_view bytes) -> DirectoryAnswer;
/// \name Encoding of a list that is saved in the store; decoding throws as above
/// @{
auto encodeList(const PackedList &list) -> std::string;
auto decodeList(std::string_view bytes) -> PackedList;
/// @}

/// \name Unpack the lists of an answer; throw as above
/// @{
auto unpackServers(const PackedList &list) -> std::vector<passthrough::Server>;
auto unpackEntries(const PackedList &list) -> std::vector<fleet::EntryRecord>;
/// @}

} // namespace auburnspread::gateway
