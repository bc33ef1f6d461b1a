/// \file
/// Quarantine of what crashes backend servers: a request, by its fingerprint, or a part of prompts.
///
/// A request that crashes every server that runs it, and that its caller repeats at any entry, would take down one server after the
/// other. So would requests that are all different but share a prompt part that crashes servers. The ledger holds, for each suspect, the
/// servers whose connection broke while they ran it, as seen by this entry and the others. What has too many of them is not sent any more.
///
/// Connections break for other reasons too. A completed response shows that the request is sound, and a response that went on after its
/// first event that all parts of its prompt are. If the same run of a server is still listed when a crashed one would have left the list, the server has
/// not crashed.
///
/// All parts of a prompt whose server crashes are accused, because any of them may have done it. Sound ones are part of other prompts too,
/// whose responses clear them.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburnspread::passthrough
{

enum class SuspectKind {
    Request,
    PromptPart,
};

/// What may have crashed a server.
struct Suspect {
    SuspectKind kind = SuspectKind::Request;
    std::uint64_t id = 0; ///< fingerprint of the request, or id of the prompt part

    auto operator==(const Suspect &) const -> bool = default;
    auto operator<(const Suspect &other) const -> bool
    {
        return kind != other.kind ? kind < other.kind : id < other.id;
    }
};
auto requestSuspect(Fingerprint fingerprint) -> Suspect;
auto partSuspect(std::uint64_t part) -> Suspect;

/// A connection that broke while its server ran a suspect.
struct CrashIncident {
    std::string server;         ///< server id, which a server may keep when it starts again
    std::int64_t startedAt = 0; ///< run of the server, see Server::startedAt; 0: not known
    TimePoint at;
    bool hadEvents = false; ///< events of the response had arrived
    TimePoint sentAt;       ///< when the request was sent to the server; not set: not known
    Fingerprint request{};  ///< of the request that ran; not set: not known

    auto operator==(const CrashIncident &) const -> bool = default;
};

struct QuarantinedSuspect {
    Suspect suspect;
    TimePoint at; ///< time of the last incident

    auto operator==(const QuarantinedSuspect &) const -> bool = default;
};

/// When a part was proven sound.
struct PartProof {
    std::uint64_t part = 0;
    TimePoint at;
};

struct CrashLedger {
    std::map<Suspect, std::vector<CrashIncident>> incidents;  ///< one for each run of a server
    std::map<Suspect, TimePoint> listed;                      ///< quarantined according to another entry; time of the last incident
    std::unordered_set<Fingerprint> completed;                ///< requests that completed recently
    std::deque<Fingerprint> completionOrder;                  ///< oldest first
    std::unordered_map<std::uint64_t, TimePoint> provenParts; ///< parts that were proven sound lately; time of the last proof
    std::deque<PartProof> proofOrder;                         ///< oldest first; may hold several proofs of a part
    std::uint64_t revision = 0;                               ///< changes whenever what is quarantined may have changed
    TimePoint checkedAt;                                      ///< when the incidents were last checked against the list of servers
};

/// Records incidents of a suspect, of this entry or another one. Those of runs that are already recorded, and those from before a proof,
/// change nothing.
/// \return whether any of them is new
auto recordIncidents(CrashLedger &ledger, Suspect suspect, const std::vector<CrashIncident> &incidents) -> bool;
/// Records that a server completed the request. \return whether incidents of it had been recorded
auto recordCompletion(CrashLedger &ledger, Fingerprint fingerprint) -> bool;
/// Records that a response went on whose prompt contains the part. \return whether incidents of the part were dropped
auto recordProof(CrashLedger &ledger, std::uint64_t part, TimePoint at) -> bool;
/// Replaces what is quarantined according to another entry.
auto setListedSuspects(CrashLedger &ledger, const std::vector<QuarantinedSuspect> &suspects) -> void;

/// Whether the part was proven sound so recently that it is not accused.
auto isRecentlyProven(const CrashLedger &ledger, std::uint64_t part, TimePoint now) -> bool;
/// Whether a request that is or contains the suspect must not be sent.
auto isQuarantined(const CrashLedger &ledger, Suspect suspect, TimePoint now) -> bool;
/// Whether different requests with the part crashed servers. The crashes of one request may be its own fault.
auto isPartSuspected(const CrashLedger &ledger, std::uint64_t part) -> bool;
/// Whether another quarantined part, one that the request does not contain, may have caused all crashes that the part is quarantined for.
/// \param isContained whether the request contains a part
auto isExplainedByOther(const CrashLedger &ledger, std::uint64_t part, const std::function<bool(std::uint64_t part)> &isContained, TimePoint now) -> bool;
auto incidentsOf(const CrashLedger &ledger, Suspect suspect) -> std::span<const CrashIncident>;
/// What is quarantined, sorted; the newest ones if there are very many.
auto quarantinedSuspects(const CrashLedger &ledger, TimePoint now) -> std::vector<QuarantinedSuspect>;

/// Drops incidents that are too old, and those of servers that did not crash. Call it periodically.
/// \param startOf Server::startedAt of a server in the list of backend servers; nothing if it is not listed
/// \param listAsOf time as of which that list is current
auto reviewIncidents(CrashLedger &ledger, const std::function<std::optional<std::int64_t>(std::string_view server)> &startOf, TimePoint listAsOf, TimePoint now)
    -> void;

} // namespace auburnspread::passthrough
