/// \file
/// What an entry knows of the directory, and its form on the way from an entry that reads the store to one that does not.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "platform/documents.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

/// What a source of the directory tells the entry: its own reads of the store, or another entry.
struct DirectoryCallbacks {
    std::function<void(const std::string &document)> onConfiguration; ///< as the operators wrote it
    std::function<void(TimePoint asOf)> onConfirmed;                  ///< the last configuration told was the newest then
    std::function<void(const std::vector<passthrough::Server> &servers, bool afterOutage)> onServers;
    std::function<void(const std::vector<adapter::EntryRecord> &entries)> onEntries;
    std::function<void(std::string_view peer, bool reachable, std::string_view call, const std::string &detail)> onReachable; ///< lost or regained
    std::function<void(std::string_view what, const std::string &detail)> onInvalid;                                          ///< makes no sense
};

/// Tell two contents apart without sending them.
struct DirectoryTags {
    std::uint64_t configuration = 0; ///< 0: none
    std::uint64_t servers = 0;
    std::uint64_t entries = 0;
};

/// The directory as one entry knows it.
struct DirectoryState {
    std::string configuration;
    std::optional<TimePoint> confirmedAt;
    std::vector<passthrough::Server> servers;
    std::optional<TimePoint> serversAt;
    std::optional<TimePoint> outageEndedAt; ///< the list was read again after a while without
    std::vector<adapter::EntryRecord> entries;
    DirectoryTags tags;
};

/// Brings the tags up to the contents. Call it after a change.
auto updateTags(DirectoryState &state) -> void;

/// What another entry answers: the parts that differ from the asker's tags, and how old they are.
struct DirectoryAnswer {
    std::optional<Duration> confirmedAge; ///< of the configuration; not set: never confirmed
    std::optional<std::string> configuration;
    std::optional<std::vector<passthrough::Server>> servers;
    bool afterOutage = false; ///< servers absent from the list may be about to register again
    std::optional<std::vector<adapter::EntryRecord>> entries;
    DirectoryTags tags;
};

auto makeAnswer(const DirectoryState &state, const DirectoryTags &known, TimePoint now) -> DirectoryAnswer;

auto encodeAnswer(const DirectoryAnswer &answer) -> std::string;
/// Throws std::runtime_error for bytes that are no answer.
auto decodeAnswer(std::string_view bytes) -> DirectoryAnswer;

} // namespace auburnspread::gateway
