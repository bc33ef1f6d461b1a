#include "core/passthrough/internal/resuming.h"

#include "core/passthrough/internal/dispatching.h"
#include "core/passthrough/internal/ending.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

constexpr auto OriginSources = std::to_array<NamedValue<OriginSource>>({
    { OriginSource::Own, "own" },
    { OriginSource::Forwarded, "forwarded" },
    { OriginSource::OtherEntry, "other-entry" },
    { OriginSource::SoleVersion, "sole-version" },
    { OriginSource::Unknown, "unknown" },
});

} // namespace

auto originSourceName(OriginSource source) -> std::string_view
{
    return findName(OriginSources, source);
}

namespace detail
{

namespace
{

/// A question is repeated once after this time: datagrams may get lost, and a caller may be faster than the report of its stream.
constexpr Duration RepeatQuestionAfter = std::chrono::milliseconds(60);
/// Time after which the other entries' answers are not waited for any more. An entry whose processor share is used up may not answer for
/// the rest of a tenth of a second.
constexpr Duration QuestionTimeout = std::chrono::milliseconds(200);
/// Added to the age that a stream can have: the list of servers lags, and an entry that lost its path to the store may have sent requests
/// by an old list.
constexpr Duration StreamAgeMargin = std::chrono::seconds(4);
/// A caller that names no earlier attempt is held to the only version of a list that was confirmed within this time.
constexpr Duration MaxListAge = std::chrono::milliseconds(2500);
/// Time for which a request waits for a list of servers that is not older than itself.
constexpr Duration ListTimeout = std::chrono::milliseconds(1500);

/// Longest time that a request of the route may have had, whichever configuration it began under.
auto longestLimit(const RouterState &state, const Route &route) -> Duration
{
    const auto known = state.longestDeadlines.find(route.name);
    const auto former = state.formerLimits.find(route.name);
    return std::max({
        route.timeout,
        known == state.longestDeadlines.end() ? Duration::zero() : known->second,
        former == state.formerLimits.end() || former->second.until <= state.now ? Duration::zero() : former->second.longest,
    });
}

/// The time that a caller's tries have taken so far is at most the longest deadline of the route less the one that is left.
auto longestStreamAge(const RouterState &state, const Request &request) -> Duration
{
    const auto left = request.call.deadline.value_or(Duration::zero());
    return std::max(longestLimit(state, *request.route) - left, Duration::zero()) + StreamAgeMargin;
}

/// Where the stream began if the service has had a single version for as long as the stream can be old.
/// \param needsHistory whether this entry must have known the list of servers for so long
auto inferOrigin(const RouterState &state, const Request &request, bool needsHistory) -> std::optional<StreamOrigin>
{
    const auto history = state.versionHistories.find(request.service);
    if (history == state.versionHistories.end()) {
        return std::nullopt;
    }
    const auto period = longestStreamAge(state, request);
    if (needsHistory && !coversPeriod(history->second, period, state.now)) {
        return std::nullopt;
    }
    const auto version = soleVersionWithin(history->second, period, state.now);
    return version ? std::optional(StreamOrigin{ .service = request.service, .version = *version }) : std::nullopt;
}

auto reportResolved(const RouterState &state, const Request &request, OriginSource source, Actions &actions) -> void
{
    actions.emplace_back(OriginResolved{
        .request = request.call.request,
        .origin = request.origin.value_or(StreamOrigin{ .service = request.service }),
        .source = source,
        .resumedAttempt = request.call.resumedAttempt,
        .after = state.now - request.arrived,
        .listAge = state.now - state.serversConfirmedAt,
    });
}

auto holdTo(RouterState &state, Request &request, const StreamOrigin &origin, OriginSource source, Actions &actions) -> void
{
    const auto &shares = request.route->shares;
    const auto isRouted = std::any_of(shares.begin(), shares.end(), [&origin](const Share &share) { return share.service == origin.service; });
    if (!isRouted) {
        // the route leads to other services by now, which can't go on with the stream
        endWithoutAnswer(state, request, Reason::VersionGone, actions);
        return;
    }
    request.service = origin.service;
    request.origin = origin;
    reportResolved(state, request, source, actions);
    enqueue(state, request);
    dispatchService(state, origin.service, actions);
}

auto refuseUnknown(RouterState &state, Request &request, Actions &actions) -> void
{
    reportResolved(state, request, OriginSource::Unknown, actions);
    endWithoutAnswer(state, request, Reason::VersionUnknown, actions);
}

/// Decides by the list of servers, since no entry knows the origin. A version that is not in the list yet may have begun the stream if the
/// list is older than the request, so a newer one is waited for.
auto decideByList(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto origin = inferOrigin(state, request, true);
    const auto isListNewer = state.serversConfirmedAt >= request.arrived;
    if (!origin || (!isListNewer && state.now - request.arrived >= ListTimeout)) {
        stopResolving(state, request);
        refuseUnknown(state, request, actions);
    } else if (isListNewer) {
        stopResolving(state, request);
        holdTo(state, request, *origin, OriginSource::SoleVersion, actions);
    }
}

/// The caller does not name the attempt with which its stream began, so that no entry can know it. Callers do where a service has several
/// versions; the stream goes on if this entry knows of one only.
auto decideUnnamed(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto origin = inferOrigin(state, request, false);
    if (origin && state.now - state.serversConfirmedAt <= MaxListAge) {
        holdTo(state, request, *origin, OriginSource::SoleVersion, actions);
    } else {
        refuseUnknown(state, request, actions);
    }
}

auto ask(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto stream = streamIdOf(request.call.resumedAttempt);
    request.askedEntries = chooseKeepers(state.keepers, stream, AskedStreamKeepers);
    request.askedAt = state.now;
    actions.emplace_back(AskOrigin{ .request = request.call.request, .stream = stream, .entries = request.askedEntries });
}

auto isFirstQuestion(const Request &request) -> bool
{
    return request.askedAt == request.arrived;
}

/// Whether all asked entries have answered that they don't know the origin, or have had the time to answer.
auto isUnknownToAll(const RouterState &state, const Request &request) -> bool
{
    return state.now - request.arrived >= QuestionTimeout || (request.askedEntries.empty() && !isFirstQuestion(request));
}

} // namespace

auto isResumption(const Request &request) -> bool
{
    return request.route->repeatability == Repeatability::Stream && !request.call.lastEventId.empty();
}

auto resolveOrigin(RouterState &state, Request &request, Actions &actions) -> void
{
    if (request.call.origin) {
        holdTo(state, request, *request.call.origin, OriginSource::Forwarded, actions);
        return;
    }
    const auto stream = streamIdOf(request.call.resumedAttempt);
    const auto *known = findOrigin(state.streams, stream);
    if (known != nullptr) {
        holdTo(state, request, *known, OriginSource::Own, actions);
        return;
    }
    if (request.call.resumedAttempt.empty()) {
        decideUnnamed(state, request, actions);
        return;
    }
    request.stage = Stage::Resolving;
    state.resolving[stream].push_back(request.call.request);
    ask(state, request, actions);
}

auto stopResolving(RouterState &state, const Request &request) -> void
{
    if (request.stage != Stage::Resolving) {
        return;
    }
    const auto found = state.resolving.find(streamIdOf(request.call.resumedAttempt));
    if (found == state.resolving.end()) {
        return;
    }
    std::erase(found->second, request.call.request);
    if (found->second.empty()) {
        state.resolving.erase(found);
    }
}

auto reviewResolving(RouterState &state, Actions &actions) -> void
{
    std::vector<RequestId> ids;
    for (const auto &[stream, requests] : state.resolving) {
        ids.insert(ids.end(), requests.begin(), requests.end());
    }
    for (const auto id : ids) {
        auto &request = state.requests.at(id);
        if (isUnknownToAll(state, request)) {
            decideByList(state, request, actions);
        } else if (isFirstQuestion(request) && state.now - request.askedAt >= RepeatQuestionAfter) {
            ask(state, request, actions);
        }
    }
}

auto handleOriginReported(RouterState &state, const OriginReported &event, Actions &actions) -> void
{
    recordOrigin(state.streams, event.stream, event.origin, state.now);
    const auto node = state.resolving.extract(event.stream);
    if (!node) {
        return;
    }
    for (const auto id : node.mapped()) {
        holdTo(state, state.requests.at(id), event.origin, OriginSource::OtherEntry, actions);
    }
}

auto handleOriginUnknown(RouterState &state, const OriginUnknown &event, Actions &actions) -> void
{
    const auto found = state.resolving.find(event.stream);
    if (found == state.resolving.end()) {
        return;
    }
    const auto ids = found->second;
    for (const auto id : ids) {
        auto &request = state.requests.at(id);
        std::erase(request.askedEntries, event.entry);
        if (isUnknownToAll(state, request)) {
            decideByList(state, request, actions);
        }
    }
}

auto recordStreamStart(RouterState &state, Request &request, const Attempt &attempt, Actions &actions) -> void
{
    if (request.origin) {
        return;
    }
    request.origin = StreamOrigin{ .service = request.service, .version = attempt.version };
    const auto stream = streamIdOf(request.call.callerId);
    recordOrigin(state.streams, stream, *request.origin, state.now);
    auto keepers = chooseKeepers(state.keepers, stream, StreamKeepers);
    if (request.route->isResumable && !keepers.empty()) {
        actions.emplace_back(ReportOrigin{ .stream = stream, .origin = *request.origin, .entries = std::move(keepers) });
    }
}

auto hasServerOfVersion(const RouterState &state, const StreamOrigin &origin) -> bool
{
    const auto group = state.servers.byService.find(origin.service);
    if (group == state.servers.byService.end()) {
        return false;
    }
    const auto &servers = group->second.all;
    return std::any_of(servers.begin(), servers.end(), [&](const ServerPointer &server) {
        return server->record.version == origin.version && !server->record.isLeaving && !server->stated.isLeaving;
    });
}

auto updateVersionHistories(RouterState &state) -> void
{
    for (const auto &[service, group] : state.servers.byService) {
        auto &history = state.versionHistories[service];
        for (const auto &version : group.versions) {
            recordListedVersion(history, version, state.now);
        }
        forgetOldVersions(history, state.now);
    }
}

} // namespace detail

} // namespace auburnspread::passthrough
