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
/// New streams of a route that show how long their callers wait at most.
constexpr std::uint32_t MinStreams = 10;
/// Time for which a request waits for a list of servers that is not older than itself.
constexpr Duration ListTimeout = std::chrono::milliseconds(1500);

/// Longest time that a stream of the route may have had, whichever configuration it began under. Nothing as long as too few callers have
/// shown it: an entry that has just started knows neither the former timeout of the route nor how long callers wait.
auto longestLimit(const RouterState &state, const Route &route) -> std::optional<Duration>
{
    const auto known = state.callerDeadlines.find(route.name);
    if (known == state.callerDeadlines.end() || known->second.streams < MinStreams) {
        return std::nullopt;
    }
    const auto former = state.formerLimits.find(route.name);
    const auto longest = std::max({
        route.timeout,
        known->second.longest,
        former == state.formerLimits.end() || former->second.until <= state.now ? Duration::zero() : former->second.longest,
    });
    // a single caller with an absurd deadline must not make all streams look old
    return std::min(longest, std::max(route.timeout, StreamOriginRetention));
}

/// The time that a caller's tries have taken so far is at most the longest deadline of the route less the one that is left.
auto longestStreamAge(const RouterState &state, const Request &request) -> std::optional<Duration>
{
    const auto longest = longestLimit(state, *request.route);
    const auto left = request.call.deadline.value_or(Duration::zero());
    return longest ? std::optional(std::max(*longest - left, Duration::zero()) + StreamAgeMargin) : std::nullopt;
}

/// The history of the request's service if it reaches back to the start of any stream that the caller may take up again.
auto findWholeHistory(const RouterState &state, const Request &request) -> const VersionHistory *
{
    const auto history = state.versionHistories.find(request.service);
    const auto age = longestStreamAge(state, request);
    return age && history != state.versionHistories.end() && coversPeriod(history->second, *age, state.now) ? &history->second : nullptr;
}

/// Where the stream began if the service has had a single version for as long as the stream can be old.
auto inferOrigin(const RouterState &state, const Request &request) -> std::optional<StreamOrigin>
{
    const auto *history = findWholeHistory(state, request);
    const auto version = history == nullptr ? std::nullopt : soleVersionWithin(*history, *longestStreamAge(state, request), state.now);
    return version ? std::optional(StreamOrigin{ .service = request.service, .version = *version }) : std::nullopt;
}

auto reportResolved(const RouterState &state, const Request &request, OriginSource source, Actions &actions) -> void
{
    const auto history = state.versionHistories.find(request.service);
    actions.emplace_back(OriginResolved{
        .request = request.call.request,
        .origin = request.origin.value_or(StreamOrigin{ .service = request.service }),
        .source = source,
        .resumedAttempt = request.call.resumedAttempt,
        .after = state.now - request.arrived,
        .listAge = state.now - state.serversConfirmedAt,
        .history = history == state.versionHistories.end() ? Duration::zero() : state.now - history->second.since,
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
    const auto origin = inferOrigin(state, request);
    const auto isListNewer = state.serversConfirmedAt >= request.arrived;
    if (!origin || (!isListNewer && state.now - request.arrived >= ListTimeout)) {
        stopResolving(state, request);
        refuseUnknown(state, request, actions);
    } else if (isListNewer) {
        stopResolving(state, request);
        holdTo(state, request, *origin, OriginSource::SoleVersion, actions);
    }
}

auto namesAttempt(const Request &request) -> bool
{
    return !request.call.resumedAttempt.empty();
}

/// The stream that the caller takes up again. If it does not say which one, the id is that of its own attempt, of which no entry knows.
auto resumedStream(const Request &request) -> StreamId
{
    return streamIdOf(namesAttempt(request) ? request.call.resumedAttempt : request.call.callerId);
}

auto ask(RouterState &state, Request &request, Actions &actions) -> void
{
    const auto stream = resumedStream(request);
    request.askedEntries = chooseKeepers(state.keepers, stream, AskedStreamKeepers);
    request.askedAt = state.now;
    actions.emplace_back(AskOrigin{ .request = request.call.request, .stream = stream, .service = request.service, .entries = request.askedEntries });
}

auto isFirstQuestion(const Request &request) -> bool
{
    return request.askedAt == request.arrived;
}

auto mayAskAgain(const Request &request) -> bool
{
    return namesAttempt(request) && isFirstQuestion(request);
}

/// Whether all asked entries have answered that they don't know the origin, or have had the time to answer.
auto isUnknownToAll(const RouterState &state, const Request &request) -> bool
{
    return state.now - request.arrived >= QuestionTimeout || (request.askedEntries.empty() && !mayAskAgain(request));
}

/// Whether the list of servers decides about the request, because no other entry will.
auto isLeftToList(const RouterState &state, const Request &request) -> bool
{
    return isUnknownToAll(state, request) || (!namesAttempt(request) && findWholeHistory(state, request) != nullptr);
}

/// What another entry knew before this one started serves this one too.
auto extendHistories(RouterState &state, const OriginUnknown &event) -> void
{
    const auto history = event.versions ? state.versionHistories.find(event.versions->service) : state.versionHistories.end();
    if (history != state.versionHistories.end()) {
        extendHistory(history->second, *event.versions, state.now);
    }
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
    const auto stream = resumedStream(request);
    const auto *known = namesAttempt(request) ? findOrigin(state.streams, stream) : nullptr;
    if (known != nullptr) {
        holdTo(state, request, *known, OriginSource::Own, actions);
        return;
    }
    request.stage = Stage::Resolving;
    state.resolving[stream].push_back(request.call.request);
    if (namesAttempt(request) || findWholeHistory(state, request) == nullptr) {
        ask(state, request, actions);
    }
    if (isLeftToList(state, request)) {
        decideByList(state, request, actions);
    }
}

auto stopResolving(RouterState &state, const Request &request) -> void
{
    if (request.stage != Stage::Resolving) {
        return;
    }
    const auto found = state.resolving.find(resumedStream(request));
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
        if (isLeftToList(state, request)) {
            decideByList(state, request, actions);
        } else if (mayAskAgain(request) && state.now - request.askedAt >= RepeatQuestionAfter) {
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
    extendHistories(state, event);
    const auto found = state.resolving.find(event.stream);
    if (found == state.resolving.end()) {
        return;
    }
    const auto ids = found->second;
    for (const auto id : ids) {
        auto &request = state.requests.at(id);
        std::erase(request.askedEntries, event.entry);
        if (isLeftToList(state, request)) {
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
    if (request.call.callerId.empty()) {
        return; // its caller can't name it
    }
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
        recordListedVersions(history, group.versions, state.serversConfirmedAt, state.now);
        forgetOldVersions(history, state.now);
    }
}

auto keepListedVersions(RouterState &state) -> void
{
    for (const auto &[service, group] : state.servers.byService) {
        keepVersions(state.versionHistories[service], group.versions, state.now);
    }
}

} // namespace detail

} // namespace auburnspread::passthrough
