/// \file
/// Takes a backend server that fails requests out of use for a while, at all entries.
///
/// Failure: each entry finds out by itself that a server answers with errors only. Symptom: a large fleet loses some requests at each of
/// its entries. Who is convinced tells the others. After the pause the entries try the server one after the other, each with one
/// request; the first that fails prolongs the pause for all.

#pragma once

#include "core/passthrough/servertable.h"

namespace auburnspread::passthrough
{

/// Out of use here, and told to the others if \p isTold: what an entry sees of broken connections may lie at its own link.
auto eject(ServerTable &table, ServerState &server, bool isTold, TimePoint now) -> void;

/// Another entry took it out of use until then.
auto applyPeerEjection(ServerTable &table, ServerState &server, TimePoint until, TimePoint now) -> void;

/// How much longer it is out of use, as this entry found itself or as any entry told; 0: it is not.
/// @{
auto remainingOwnEjection(const ServerState &server, TimePoint now) -> Duration;
auto remainingEjection(const ServerState &server, TimePoint now) -> Duration;
/// @}

} // namespace auburnspread::passthrough
