#include "core/passthrough/streamversions.h"

#include <xxhash.h>

#include <algorithm>

namespace auburnspread::passthrough
{

namespace
{

/// Longer than any route's timeout.
constexpr Duration VersionRetention = std::chrono::minutes(15);

auto forgetOldest(StreamVersions &streams) -> void
{
    streams.known.erase(streams.order.front().second);
    streams.order.pop_front();
}

} // namespace

auto streamIdOf(std::string_view attemptId) -> StreamId
{
    return StreamId{ XXH64(attemptId.data(), attemptId.size(), 0) };
}

auto recordOrigin(StreamVersions &streams, StreamId stream, const StreamOrigin &origin, TimePoint now) -> void
{
    const auto [found, isNew] = streams.known.try_emplace(stream, StreamVersions::Known{ .origin = origin, .at = now });
    if (!isNew) {
        if (found->second.origin != origin) {
            found->second.origin.reset();
        }
        return;
    }
    streams.order.emplace_back(now, stream);
    if (streams.order.size() > MaxStreamOrigins) {
        forgetOldest(streams);
    }
}

auto findOrigin(const StreamVersions &streams, StreamId stream) -> const StreamOrigin *
{
    const auto found = streams.known.find(stream);
    return found == streams.known.end() || !found->second.origin ? nullptr : &*found->second.origin;
}

auto forgetOldOrigins(StreamVersions &streams, TimePoint now) -> void
{
    while (!streams.order.empty() && now - streams.order.front().first >= StreamOriginRetention) {
        forgetOldest(streams);
    }
}

auto keepVersions(VersionHistory &history, const std::vector<SoftwareVersion> &versions, TimePoint now) -> void
{
    for (const auto &version : versions) {
        history.lastSeen[version.name] = now;
    }
}

auto recordListedVersions(VersionHistory &history, const std::vector<SoftwareVersion> &listed, TimePoint asOf, TimePoint now) -> void
{
    if (history.lastSeen.empty() || asOf - history.confirmedAt > MaxListGap) {
        history.since = now;
    }
    history.confirmedAt = std::max(history.confirmedAt, asOf);
    keepVersions(history, listed, now);
}

auto forgetOldVersions(VersionHistory &history, TimePoint now) -> void
{
    std::erase_if(history.lastSeen, [now](const auto &item) { return now - item.second >= VersionRetention; });
}

auto reportHistory(const VersionHistory &history, const std::string &service, TimePoint now) -> std::optional<VersionReport>
{
    if (history.lastSeen.empty() || now - history.confirmedAt > MaxListGap) {
        return std::nullopt;
    }
    VersionReport report{ .service = service, .knownFor = std::min(now - history.since, VersionRetention), .confirmedAge = now - history.confirmedAt };
    for (const auto &[version, seenAt] : history.lastSeen) {
        report.seen.push_back({ .version = version, .age = now - seenAt });
    }
    return report;
}

auto extendHistory(VersionHistory &history, const VersionReport &report, TimePoint now) -> void
{
    const auto confirmedAt = now - report.confirmedAge;
    if (history.lastSeen.empty() || report.seen.empty() || history.since - confirmedAt > MaxListGap) {
        return;
    }
    for (const auto &[version, age] : report.seen) {
        auto seenAt = now - age;
        if (seenAt >= confirmedAt) {
            seenAt = std::max(seenAt, history.since); // listed last before this entry's first list: it may have served until then
        }
        auto &known = history.lastSeen[version];
        known = std::max(known, seenAt);
    }
    history.since = std::min(history.since, now - report.knownFor);
}

auto coversPeriod(const VersionHistory &history, Duration period, TimePoint now) -> bool
{
    return !history.lastSeen.empty() && now - history.since >= period;
}

auto soleVersionWithin(const VersionHistory &history, Duration period, TimePoint now) -> std::optional<SoftwareVersion>
{
    std::optional<SoftwareVersion> sole;
    for (const auto &[name, seenAt] : history.lastSeen) {
        if (now - seenAt >= period) {
            continue;
        }
        if (sole) {
            return std::nullopt;
        }
        sole = SoftwareVersion{ name };
    }
    return sole;
}

} // namespace auburnspread::passthrough
