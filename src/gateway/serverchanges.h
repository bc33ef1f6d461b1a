/// \file
/// Differences between lists of backend servers, so that a change of one server does not send thousands of records to every entry.
///
/// The lists are sorted by id. The time for which a server stays slow after its start is not compared, as it differs in each list.

#pragma once

#include "core/passthrough/configuration.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

using ServerRecords = std::vector<passthrough::Server>;

/// Delta that turns one list into another.
struct ServerChanges {
    ServerRecords changed;            ///< changed and new servers as they are in the later list
    std::vector<std::string> removed; ///< ids

    auto operator==(const ServerChanges &) const -> bool = default;
};

auto sortServers(ServerRecords &servers) -> void;

auto diffServers(const ServerRecords &before, const ServerRecords &after) -> ServerChanges;
auto applyChanges(ServerRecords &servers, const ServerChanges &changes) -> void;
/// Content tag that a list of \p servers with this \p tag has after the changes.
auto tagAfter(const ServerRecords &servers, std::uint64_t tag, const ServerChanges &changes) -> std::uint64_t;
auto isEmpty(const ServerChanges &changes) -> bool;

/// Content tag: equal lists have the same tag on every entry. 0 means that there is no list.
auto tagOf(const ServerRecords &servers) -> std::uint64_t;

/// The latest deltas of one list, each with the tag of the list to which it applies.
struct ChangeLog {
    struct Step {
        std::uint64_t before = 0; ///< tag of the list before the delta
        ServerChanges changes;
    };
    std::deque<Step> steps;  ///< oldest first
    std::size_t records = 0; ///< changed and removed servers in all steps
};

auto appendChanges(ChangeLog &log, std::uint64_t before, const ServerChanges &changes) -> void;

/// Merged changes since the list with this tag; nothing if the log no longer contains it.
auto changesSince(const ChangeLog &log, std::uint64_t tag) -> std::optional<ServerChanges>;

} // namespace auburnspread::gateway
