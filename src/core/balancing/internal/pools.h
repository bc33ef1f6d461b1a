/// \file
/// Pools, their lists of servers with free slots, and their sums. Every change of a server's limit or load goes
/// through refreshServer or changeInFlight, so lists and sums always agree with the servers.

#pragma once

#include "core/balancing/internal/state.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::balancing::detail
{

auto serverAt(State &state, ServerIndex index) -> Server &;
auto serverAt(const State &state, ServerIndex index) -> const Server &;
auto poolAt(State &state, PoolIndex index) -> Pool &;
auto poolAt(const State &state, PoolIndex index) -> const Pool &;

/// The names under which poolsByKey knows a pool.
auto makeKey(std::string_view model, std::string_view version, std::string_view adapter) -> std::string;
auto makeServiceKey(std::string_view service) -> std::string;
auto findPool(const State &state, const Query &query) -> std::optional<PoolIndex>;
auto findMembership(const Server &server, PoolIndex pool) -> const Membership *;
auto findMembership(Server &server, PoolIndex pool) -> Membership *;

/// Whether the server may be chosen at all.
auto isUsable(const Server &server) -> bool;

/// Works the server's limit out anew and puts it into or out of the free lists of its pools.
auto refreshServer(State &state, ServerIndex index, TimePoint now) -> void;

/// One request more (+1) or less (-1) in flight from this entry.
auto changeInFlight(State &state, ServerIndex index, int change, TimePoint now) -> void;

} // namespace auburnspread::balancing::detail
