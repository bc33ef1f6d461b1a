/// \file
/// How a node comes to the configuration in force: `(state, event, now) -> actions`. A node adopts a document
/// whole, only a higher version than it has, and never serves before it asked every source it can reach.
///
/// A few nodes of a cell watch the manifest in the platform's service; the others hear its version from peers and
/// look themselves at long intervals. Parts come first from the source that told of the manifest, then from others,
/// so an outage of the platform's service after the first node learnt a version does not stop it from spreading.

#pragma once

#include "core/base/time.h"
#include "core/configuration/document.h"
#include "core/configuration/manifest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::configuration
{

/// Where a manifest or part is had.
struct Source {
    std::string peer; ///< name or address of a node; empty: the platform's service

    auto isPlatform() const -> bool
    {
        return peer.empty();
    }
    auto operator==(const Source &) const -> bool = default;
    auto operator<(const Source &other) const -> bool
    {
        return peer < other.peer;
    }
};

/// The process starts and holds nothing. All sources are asked; it is ready when each of them answered or failed.
struct AdoptionStarted {
    std::string self;
    std::vector<std::string> peers; ///< from the settings; the node itself is left out
};

/// The nodes of the cell that are alive, this one included: decides who watches.
struct CellKnown {
    std::vector<std::string> members;
};

/// A peer says which version it has adopted: after an adoption, and with its regular reports.
struct VersionAnnounced {
    std::string peer;
    std::uint64_t version = 0;
};

/// A source answered; nothing: it holds no manifest. Watches report here too.
struct ManifestFetched {
    Source source;
    std::optional<Manifest> manifest;
};

/// A source did not answer in time, or not with a manifest. Every FetchManifest ends in one of these two events.
struct ManifestFailed {
    Source source;
};

struct PartFetched {
    std::string digest;
    std::string content; ///< checked against the digest
};

/// The source did not answer in time, does not hold the part, or sent something else.
struct PartFailed {
    Source source;
    std::string digest;
};

struct AdoptionTick {
};

using AdoptionEvent = std::variant<AdoptionStarted, CellKnown, VersionAnnounced, ManifestFetched, ManifestFailed, PartFetched, PartFailed, AdoptionTick>;

struct FetchManifest {
    Source source;
};

struct FetchPart {
    Source source;
    std::string digest;
};

/// The document is in force on this node from now on.
struct Adopt {
    std::shared_ptr<const AdoptedDocument> configuration;
};

/// The document of this manifest is faulty; the node stays on what it has. For log and counter.
struct RejectManifest {
    std::uint64_t version = 0;
    std::string text;
};

/// Tell all peers of the cell.
struct AnnounceVersion {
    std::uint64_t version = 0;
};

/// Keep a blocking read of the manifest open, or stop it.
struct WatchManifest {
    bool active = false;
};

using AdoptionAction = std::variant<FetchManifest, FetchPart, Adopt, RejectManifest, AnnounceVersion, WatchManifest>;
using AdoptionActions = std::vector<AdoptionAction>;

struct AdoptionOptions {
    Duration retryDelay = std::chrono::milliseconds(250); ///< after a failure of all sources, or of the platform's service; doubles
    Duration retryDelayMaximum = std::chrono::seconds(4);
    Duration checkInterval = std::chrono::seconds(60); ///< of nodes that do not watch
    std::size_t concurrentFetches = 8;
    std::size_t watchersPerCell = 2;
};

/// One part on its way.
struct PartFetch {
    std::optional<Source> inFlight;
    std::set<Source> failed; ///< since the last delay
};

/// A manifest whose parts are not all here yet.
struct PendingManifest {
    Manifest manifest;
    std::vector<Source> holders; ///< that told of it, in the order in which they are asked
    std::map<std::string, PartFetch> missing;
    TimePoint retryAt{};
    Duration delay{};
};

struct AdoptionState {
    AdoptionOptions options;
    std::string self;
    std::vector<std::string> peers;
    bool started = false;
    bool ready = false;
    bool watching = false;
    bool platformAnswers = false;       ///< the last read of the platform's service succeeded
    std::uint64_t platformVersion = 0;  ///< as last read there; lower than the adopted one: it lost data
    std::set<Source> fetchingManifests; ///< asked and not answered yet
    TimePoint nextCheck{};
    Duration checkDelay{};
    std::shared_ptr<const AdoptedDocument> current;
    Manifest manifest;       ///< of current
    PartContents parts;      ///< of current, for peers
    ParsedParts parsedParts; ///< of current
    std::optional<PendingManifest> pending;
    PartContents arrived; ///< of pending
    std::uint64_t rejectedVersion = 0;
    std::string rejectedDigest;
    std::string rejection; ///< why
};

auto handle(AdoptionState &state, const AdoptionEvent &event, TimePoint now) -> AdoptionActions;

struct Readiness {
    bool ready = false;
    std::string text; ///< why not
};

/// Once ready, a node stays so: it keeps what it has adopted through any outage.
auto readinessOf(const AdoptionState &state) -> Readiness;

/// For a peer that asks; null: not held.
auto partOf(const AdoptionState &state, const std::string &digest) -> PartContent;

/// Whether \p self is one of the \p count members that watch the platform's service for the cell.
auto isWatcher(const std::string &self, const std::vector<std::string> &members, std::size_t count) -> bool;

} // namespace auburnspread::configuration
