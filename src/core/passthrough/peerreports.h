/// \file
/// Reports that entries exchange about the backend servers: the load that they put on them, and the contents of engines' caches.
///
/// In a large fleet, each entry reports to a few hubs in its failure domain. A hub sends the aggregate of its domain to the hubs of the
/// other domains, and the aggregate of the whole fleet to the entries of its own. An entry therefore receives the same load along
/// several paths, and not every report is complete; it uses the one that covers the most entries.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/events.h"
#include "core/passthrough/servertable.h"

#include <cstdint>
#include <string>

namespace auburnspread::passthrough
{

/// Adds the parts that an engine lists to the model of its cache and to the next reports to other entries.
auto applyCacheListing(ServerTable &table, const CacheListed &listed, TimePoint now) -> void;
/// A report with invalid figures is ignored; see reportvalidation.h.
auto applyPeerReport(ServerTable &table, const PeerReported &report, TimePoint now) -> void;
/// Creates the report of this entry's own load.
auto makeEntryReport(ServerTable &table, const std::string &entry, TimePoint now) -> PeerReported;
/// Creates an aggregate of this entry's load and the current reports of its failure domain or of the whole fleet.
auto makeAggregateReport(const ServerTable &table, const std::string &entry, ReportScope scope, TimePoint now) -> PeerReported;
/// Recomputes the peer load of all servers from the received reports, for example after the server list changed.
auto rebuildPeerLoads(ServerTable &table) -> void;
/// Requests per second for this service at the other entries, as reported.
auto peerArrivalRate(const ServerTable &table, const std::string &service) -> double;
/// Number of entries covered by the reports of entries and failure domains, without this one.
auto reportingEntries(const ServerTable &table) -> std::uint32_t;
/// Removes reports that are too old to be meaningful.
auto expirePeerReports(ServerTable &table, TimePoint now) -> void;

/// Records that a prompt was sent to the server: its shared parts, all but the last, will be in the engine's cache.
auto recordPromptSent(ServerTable &table, ServerState &server, const Prompt &prompt, TimePoint now) -> void;

/// \name Speed of the engines
/// @{
/// The samples of this entry, or with those of the entries that an aggregate of this scope covers.
auto makeSpeedReport(const ServerTable &table, const std::string &entry, ReportScope scope, TimePoint now) -> PeerReported;
/// Computes the relative delay of each engine from the samples of all entries.
auto updateRelativeDelays(ServerTable &table, TimePoint now) -> void;
/// @}

} // namespace auburnspread::passthrough
