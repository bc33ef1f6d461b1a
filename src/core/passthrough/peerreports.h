/// \file
/// What entries tell each other of the backend servers: what they have in flight there, and what engines' caches hold.
///
/// In a large fleet each entry tells a few of its failure domain, which tell their sum to those of the other domains and the sum of all
/// to the entries of their own. An entry hears the same from several sides, and not always the whole: it believes what counts the
/// most entries.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/events.h"
#include "core/passthrough/servertable.h"

#include <cstdint>
#include <string>

namespace auburnspread::passthrough
{

/// Believed from now on, and told to the other entries.
auto applyCacheListing(ServerTable &table, const CacheListed &listed, TimePoint now) -> void;
auto applyPeerReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void;
/// This entry's own report, or the sum of its own with the fresh ones of its failure domain, or of all.
auto makeEntryReport(ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported;
auto makeSumReport(const ServerTable &table, const std::string &entry, ReportScope scope, TimePoint now) -> PeerReported;
/// The servers changed: what was reported of them is summed up anew.
auto rebuildPeerLoads(ServerTable &table) -> void;
/// Requests a second for this service at the other entries, as they told.
auto peerArrivalRate(const ServerTable &table, const std::string &service) -> double;
/// Entries whose requests this one knows of, itself not included.
auto reportingEntries(const ServerTable &table) -> std::uint32_t;
/// Forgets reports that are too old to say anything.
auto expirePeerReports(ServerTable &table, TimePoint now) -> void;

/// A prompt goes there: its shared parts, all but the last, will be in the engine's cache.
auto recordPromptSent(ServerTable &table, ServerState &server, const Prompt &prompt, TimePoint now) -> void;

} // namespace auburnspread::passthrough
