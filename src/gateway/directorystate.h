/// \file
/// What an entry knows of the directory, and its form on the way from an entry that reads the store to one that does not.

#pragma once

#include "core/base/time.h"
#include "core/fleet/entryrecord.h"
#include "core/passthrough/configuration.h"
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

/// A list of the backend servers as it was read from the store.
struct ServersRead {
    std::vector<passthrough::Server> servers;
    std::uint64_t revision = 0; ///< of the store; orders lists that come by different ways
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< servers not listed since then may be about to register again
};

/// What changed in the list that was known.
struct ServersChanged {
    ServerChanges changes;
    std::uint64_t tag = 0; ///< of the list with these changes
    std::uint64_t revision = 0;
    TimePoint asOf;
    std::optional<TimePoint> outageEndedAt; ///< see ServersRead
};

/// What a source of the directory tells the entry: its own reads of the store, or another entry.
struct DirectoryCallbacks {
    std::function<void(const ConfigurationRead &read)> onConfiguration;
    std::function<void(TimePoint asOf)> onConfirmed;       ///< the last configuration told was the newest then
    std::function<void(std::uint64_t revision)> onOffered; ///< of a newer configuration, which another entry has
    std::function<void(const ServersRead &read)> onServers;
    std::function<void(const ServersChanged &change)> onServersChanged;
    std::function<void(std::uint64_t revision, TimePoint asOf)> onServersConfirmed;              ///< the last list told was read again
    std::function<void(const std::vector<fleet::EntryRecord> &alive, TimePoint asOf)> onEntries; ///< as another entry hears them
    std::function<void(TimePoint asOf)> onEntriesConfirmed;                                      ///< the last ones told were heard again
    std::function<void(const std::vector<fleet::EntryRecord> &registered)> onRegistrations;      ///< in the store
    std::function<void()> onRegistrationsFailed;
    std::function<void(const std::string &list)> onRemembered;        ///< the entries as they were listed last, from the store
    std::function<void(const std::string &peer, bool isFit)> onAsked; ///< an entry answered with fresh knowledge of the store, or did not
    std::function<void(std::string_view peer, bool reachable, std::string_view call, const std::string &detail)> onReachable; ///< lost or regained
    std::function<void(std::string_view peer, const std::string &detail)> onPartFailed; ///< of a configuration, from another entry
    std::function<void(std::string_view what, const std::string &detail)> onInvalid;    ///< makes no sense
};

/// Tell two contents apart without sending them.
struct DirectoryTags {
    std::uint64_t configuration = 0; ///< revision in the store of the newest one read, also if an older version stood there; 0: none
    std::uint64_t servers = 0;       ///< of the content, as the next one
    std::uint64_t entries = 0;
};

/// A list as it goes to other entries, packed once for all of them.
struct PackedList {
    std::string bytes;
    std::size_t size = 0; ///< unpacked

    auto operator==(const PackedList &) const -> bool = default;
};

/// The directory as one entry knows it. The functions below change its parts, each with its tag.
struct DirectoryState {
    std::vector<OfferedDocument> configurations; ///< the newest, which is in force, and some before it
    std::optional<TimePoint> confirmedAt;
    std::map<std::uint64_t, TimePoint> offeredAt; ///< newer configurations of other entries, by revision: when each was heard of
    ServerRecords servers;                        ///< sorted by id
    ChangeLog serverLog;                          ///< of \c servers
    std::uint64_t serversRevision = 0;
    std::optional<TimePoint> serversAt;
    std::optional<TimePoint> outageEndedAt;  ///< the list was read again after a while without; see ServersRead
    std::vector<fleet::EntryRecord> entries; ///< alive
    std::optional<TimePoint> entriesAt;
    mutable PackedList packedServers;           ///< made when it is first asked for
    mutable std::uint64_t packedServersTag = 0; ///< of the list that it holds
    PackedList packedEntries;
    DirectoryTags tags;
};

/// \name Takes over what was read, here or by another entry
///
/// Failure: an entry that read the store for others is cut off for a while and returns. Symptom: those that ask it get a list
/// that is seconds old, take a server for alive that has left since, and change back and forth between two sets of readers.
/// The store's revision orders what comes by different ways, and what is older than what is known changes nothing.
/// @{
auto takeConfiguration(DirectoryState &state, const ConfigurationRead &read) -> void;
/// The configuration of this revision was read, whether or not its version is newer than the one in force: it is not waited for any more.
auto noteConfigurationRead(DirectoryState &state, std::uint64_t revision) -> void;
/// The configuration that is known was the newest at \p asOf. A newer one that was heard of before can't be true.
auto takeConfirmed(DirectoryState &state, TimePoint asOf) -> void;
/// \return whether it is news
auto takeOffer(DirectoryState &state, std::uint64_t revision, TimePoint now) -> bool;
/// \return what changed; nothing: the list is older than the known one
auto takeServers(DirectoryState &state, const ServersRead &read) -> std::optional<ServerChanges>;
/// \return false if this is no change of the known list: the whole one is to be asked for
auto takeServersChanged(DirectoryState &state, const ServersChanged &change) -> bool;
/// \return whether it is news
auto takeEntries(DirectoryState &state, const std::vector<fleet::EntryRecord> &alive, TimePoint asOf) -> bool;
auto takeEntriesConfirmed(DirectoryState &state, TimePoint asOf) -> void;
/// @}

/// Since when this entry has known of a newer configuration than its own; nothing if there is none.
auto outdatedSince(const DirectoryState &state) -> std::optional<TimePoint>;

/// What another entry answers: the lists that differ from the asker's tags, and how old they are.
struct DirectoryAnswer {
    std::optional<Duration> confirmedAge;       ///< of the configuration; not set: never confirmed
    std::optional<DocumentOffer> configuration; ///< the newest one, to be fetched in parts; not set: none
    std::optional<Duration> serversAge;         ///< not set: never read
    std::uint64_t serversRevision = 0;
    std::optional<PackedList> servers;          ///< the whole list, where the asker's one is not known any more
    std::optional<ServerChanges> serverChanges; ///< of the asker's list
    std::uint64_t serversTag = 0;               ///< of the list with these changes
    std::optional<Duration> outageAge;          ///< since the list was read again after a while without; not set: long ago
    std::optional<Duration> entriesAge;         ///< not set: nobody was heard yet
    std::optional<PackedList> entries;
};

auto makeAnswer(const DirectoryState &state, const DirectoryTags &known, TimePoint now) -> DirectoryAnswer;

auto encodeAnswer(const DirectoryAnswer &answer) -> std::string;
/// Throws std::runtime_error for bytes that are no answer.
auto decodeAnswer(std::string_view bytes) -> DirectoryAnswer;
/// \name A list as it is kept in the store; reading throws as above
/// @{
auto encodeList(const PackedList &list) -> std::string;
auto decodeList(std::string_view bytes) -> PackedList;
/// @}

/// \name The lists of an answer; throws as above
/// @{
auto unpackServers(const PackedList &list) -> std::vector<passthrough::Server>;
auto unpackEntries(const PackedList &list) -> std::vector<fleet::EntryRecord>;
/// @}

} // namespace auburnspread::gateway
