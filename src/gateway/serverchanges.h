/// \file
/// How lists of backend servers differ, so that a change of one server does not send thousands to every entry.
///
/// The lists are sorted by id. The time for which a server stays slow after its start is left out: it differs in each list.

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

/// What makes one list of another.
struct ServerChanges {
    ServerRecords changed;            ///< as they are in the later list, those that are new among them
    std::vector<std::string> removed; ///< ids

    auto operator==(const ServerChanges &) const -> bool = default;
};

auto sortServers(ServerRecords &servers) -> void;

auto findChanges(const ServerRecords &before, const ServerRecords &after) -> ServerChanges;
auto applyChanges(ServerRecords &servers, const ServerChanges &changes) -> void;
/// What the tag of \p servers becomes by these changes.
auto tagAfter(const ServerRecords &servers, std::uint64_t tag, const ServerChanges &changes) -> std::uint64_t;
auto isEmpty(const ServerChanges &changes) -> bool;

/// The same for equal lists at every entry; 0 stands for none.
auto tagOf(const ServerRecords &servers) -> std::uint64_t;

/// The latest changes of one list, each with the tag of the list that it was made to.
struct ChangeLog {
    struct Step {
        std::uint64_t before = 0; ///< tag
        ServerChanges changes;
    };
    std::deque<Step> steps;  ///< oldest first
    std::size_t records = 0; ///< in all steps
};

auto noteChanges(ChangeLog &log, std::uint64_t before, const ServerChanges &changes) -> void;

/// What changed since the list with this tag; nothing if that is not known any more.
auto changesSince(const ChangeLog &log, std::uint64_t tag) -> std::optional<ServerChanges>;

} // namespace auburnspread::gateway
