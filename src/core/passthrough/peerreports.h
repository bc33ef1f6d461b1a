/// \file
/// What entries tell each other of the backend servers: what they have in flight there, and what engines' caches hold.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/events.h"
#include "core/passthrough/servertable.h"

#include <string>

namespace auburnspread::passthrough
{

/// Believed from now on, and told to the other entries.
auto noteCacheListed(ServerTable &table, const CacheListed &listed, TimePoint now) -> void;
auto notePeerReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void;
/// This entry's own report, or the sum of all fresh ones with its own.
auto takeReport(ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported;
auto takeTotals(const ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported;
/// Forgets reports that are too old to say anything.
auto expirePeerReports(ServerTable &table, TimePoint now) -> void;

/// A prompt goes there: its shared parts, all but the last, will be in the engine's cache.
auto notePrompt(ServerTable &table, ServerState &server, const Prompt &prompt, TimePoint now) -> void;

} // namespace auburnspread::passthrough
