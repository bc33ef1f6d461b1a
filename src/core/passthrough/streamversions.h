/// \file
/// Which version of a service's software began a stream, and which versions the service has had lately.
///
/// What servers of two versions write does not fit together, and servers don't check it: a stream goes on only at the version that began
/// it. The entry at which a caller takes its stream up again need not be the one that began it, so a few other entries remember it too;
/// see streamkeepers.h.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/configuration.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::passthrough
{

/// Hash of the id that a caller gave to the attempt which brought a stream's first event.
enum class StreamId : std::uint64_t {};

auto streamIdOf(std::string_view attemptId) -> StreamId;

/// Added to the age that a stream can have: the lists of entries differ, so that one may have begun a stream at a server that another one
/// did not list any more.
constexpr Duration StreamAgeMargin = std::chrono::seconds(4);
/// Versions that come and go between two lists further apart than this may have been missed.
constexpr Duration MaxListGap = std::chrono::seconds(10);

/// Where a stream began.
struct StreamOrigin {
    std::string service;
    SoftwareVersion version;

    auto operator==(const StreamOrigin &) const -> bool = default;
};

/// Origins of recent streams.
struct StreamVersions {
    struct Known {
        std::optional<StreamOrigin> origin; ///< not set: contradictory origins were reported
        TimePoint at;
    };
    std::unordered_map<StreamId, Known> known;
    std::deque<std::pair<TimePoint, StreamId>> order; ///< oldest first
};

/// Time for which an origin is remembered; callers give a stream up sooner.
constexpr Duration StreamOriginRetention = std::chrono::seconds(60);
constexpr std::size_t MaxStreamOrigins = 20'000;

auto recordOrigin(StreamVersions &streams, StreamId stream, const StreamOrigin &origin, TimePoint now) -> void;
/// \return null if the origin is not known
auto findOrigin(const StreamVersions &streams, StreamId stream) -> const StreamOrigin *;
auto forgetOldOrigins(StreamVersions &streams, TimePoint now) -> void;

/// The software versions of a service's servers, as the server lists of this entry showed them, and those of others before it started.
struct VersionHistory {
    TimePoint since;                           ///< from then on no version was missed
    TimePoint confirmedAt;                     ///< time as of which the newest list was current
    std::map<std::string, TimePoint> lastSeen; ///< by version
};

/// What an entry tells others of its history. Ages are as of the time at which it is told.
struct VersionReport {
    struct Seen {
        std::string version;
        Duration age{}; ///< since it was listed last
    };
    std::string service;
    Duration knownFor{};     ///< age of VersionHistory::since, or a shorter time
    Duration confirmedAge{}; ///< age of VersionHistory::confirmedAt
    std::vector<Seen> seen;
};

/// Records that servers of these versions may have served until now.
auto keepVersions(VersionHistory &history, const std::vector<SoftwareVersion> &versions, TimePoint now) -> void;
/// Records the versions of a list that was current as of \p asOf.
auto recordListedVersions(VersionHistory &history, const std::vector<SoftwareVersion> &listed, TimePoint asOf, TimePoint now) -> void;
auto forgetOldVersions(VersionHistory &history, TimePoint now) -> void;
/// \return nothing if the list is so old that the report would be of no use
auto reportHistory(const VersionHistory &history, const std::string &service, TimePoint now) -> std::optional<VersionReport>;
/// Extends the history by what another entry knew before, if its list reaches up to the first one of this entry.
auto extendHistory(VersionHistory &history, const VersionReport &report, TimePoint now) -> void;
/// Whether no version was missed within \p period.
auto coversPeriod(const VersionHistory &history, Duration period, TimePoint now) -> bool;
/// \return the version of all servers that were listed within \p period, as far as this history reaches, if it was the only one
auto soleVersionWithin(const VersionHistory &history, Duration period, TimePoint now) -> std::optional<SoftwareVersion>;

} // namespace auburnspread::passthrough
