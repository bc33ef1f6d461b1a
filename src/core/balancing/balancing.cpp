#include "core/balancing/balancing.h"

#include "core/balancing/internal/health.h"
#include "core/balancing/internal/pools.h"
#include "core/balancing/internal/sharing.h"

#include <algorithm>
#include <utility>

namespace auburnspread::balancing
{

namespace
{

/// Shares are worked out at most this often, however many reports come in.
constexpr Duration ShareInterval = std::chrono::milliseconds(100);
/// ... and at least this often: peers fall silent and rotating slots move on without a report.
constexpr Duration ShareRefresh = std::chrono::seconds(1);
constexpr Duration TimingInterval = std::chrono::seconds(1);

auto findAttempt(State &state, AttemptId id) -> detail::Attempt *
{
    const auto found = state.attempts.find(id);
    return found == state.attempts.end() ? nullptr : &found->second;
}

/// Timings belong to the model, not to the adapter: the pool without an adapter keeps them.
auto timingOf(State &state, const detail::Attempt &attempt) -> detail::Timing *
{
    const auto base = detail::poolAt(state, attempt.pool).base;
    auto *membership = detail::findMembership(detail::serverAt(state, attempt.server), base);
    return membership == nullptr ? nullptr : &membership->timing;
}

auto endAttempt(State &state, AttemptId id, TimePoint now) -> std::optional<detail::Attempt>
{
    auto node = state.attempts.extract(id);
    if (node.empty()) {
        return std::nullopt;
    }
    const auto attempt = node.mapped();
    detail::changeInFlight(state, attempt.server, -1, now);
    auto &server = detail::serverAt(state, attempt.server);
    if (server.quietAttempt == id) {
        server.quietAttempt.reset();
        detail::refreshServer(state, attempt.server, now);
    }
    return attempt;
}

auto takeProgress(State &state, detail::Attempt &attempt, std::uint32_t tokens, TimePoint now) -> void
{
    if (!attempt.started || tokens <= attempt.tokens) {
        return;
    }
    auto *timing = timingOf(state, attempt);
    if (timing != nullptr && now > attempt.progressAt) {
        detail::addSample(timing->tokenPace, (now - attempt.progressAt) / (tokens - attempt.tokens));
    }
    attempt.tokens = tokens;
    attempt.progressAt = now;
}

auto toDuration(double micros) -> Duration
{
    return Duration(static_cast<Duration::rep>(micros));
}

} // namespace

auto StateDeleter::operator()(State *state) const -> void
{
    delete state;
}

auto makeState(Options options) -> StatePointer
{
    StatePointer state(new State);
    state->generator.state = options.seed ^ detail::hashName(options.entry);
    state->cell.push_back({ .name = options.entry });
    state->options = std::move(options);
    return state;
}

auto advance(State &state, TimePoint now) -> void
{
    detail::endHolds(state, now);
    if (now - state.timingsAt >= TimingInterval) {
        detail::endEjections(state, now);
        detail::compareTimings(state, now);
    }
    const Duration interval = state.sharesDue ? ShareInterval : ShareRefresh;
    if (state.sharesAt == TimePoint{} || now - state.sharesAt >= interval) {
        detail::updateShares(state, now);
    }
}

auto noteDispatched(State &state, AttemptId attempt, ServerIndex server, const Query &query, TimePoint now) -> void
{
    const auto pool = detail::findPool(state, query);
    if (!pool || state.attempts.contains(attempt)) {
        return;
    }
    state.attempts[attempt] = { .server = server, .pool = *pool, .dispatchedAt = now, .progressAt = now };
    detail::changeInFlight(state, server, +1, now);
    if (query.quietOnly) {
        detail::serverAt(state, server).quietAttempt = attempt;
        detail::refreshServer(state, server, now);
    }
}

auto noteFirstToken(State &state, AttemptId attempt, TimePoint now) -> void
{
    auto *known = findAttempt(state, attempt);
    if (known == nullptr || known->started) {
        return;
    }
    known->started = true;
    known->tokens = 1;
    known->progressAt = now;
    auto *timing = timingOf(state, *known);
    if (timing != nullptr) {
        detail::addSample(timing->firstToken, now - known->dispatchedAt);
    }
}

auto noteProgress(State &state, AttemptId attempt, std::uint32_t tokens, TimePoint now) -> void
{
    auto *known = findAttempt(state, attempt);
    if (known != nullptr) {
        takeProgress(state, *known, tokens, now);
    }
}

auto noteFinished(State &state, AttemptId attempt, std::uint32_t tokens, TimePoint now) -> void
{
    noteProgress(state, attempt, tokens, now);
    const auto ended = endAttempt(state, attempt, now);
    if (ended) {
        detail::judgeAnswer(state, ended->server, ended->pool, now);
    }
}

auto noteFailed(State &state, AttemptId attempt, Failure failure, TimePoint now) -> void
{
    const auto ended = endAttempt(state, attempt, now);
    if (ended) {
        detail::judgeFailure(state, ended->server, ended->pool, failure, now);
    }
}

auto noteSilent(State &state, AttemptId attempt, Failure timeout, TimePoint now) -> void
{
    const auto *known = findAttempt(state, attempt);
    if (known != nullptr) {
        detail::judgeFailure(state, known->server, known->pool, timeout, now);
    }
}

auto noteCancelled(State &state, AttemptId attempt, TimePoint now) -> void
{
    endAttempt(state, attempt, now);
}

auto noteLoadReport(State &state, std::string_view server, const LoadReport &report, TimePoint now) -> void
{
    const auto index = findServer(state, server);
    if (!index) {
        return;
    }
    auto &known = detail::serverAt(state, *index);
    known.report = report;
    known.reportedAt = now;
    known.hasReport = true;
}

auto noteLeaving(State &state, std::string_view server, bool leaving, TimePoint now) -> void
{
    const auto index = findServer(state, server);
    if (!index || detail::serverAt(state, *index).leaving == leaving) {
        return;
    }
    detail::serverAt(state, *index).leaving = leaving;
    state.sharesDue = true;
    if (!leaving) {
        detail::beginProbation(state, *index, now);
        return;
    }
    detail::refreshServer(state, *index, now);
}

auto findServer(const State &state, std::string_view name) -> std::optional<ServerIndex>
{
    const auto found = state.serversByName.find(name);
    if (found == state.serversByName.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto viewServer(const State &state, ServerIndex index) -> ServerView
{
    const auto &server = detail::serverAt(state, index);
    ServerView view{
        .name = server.name,
        .address = server.address,
        .failureDomain = server.failureDomain,
        .health = server.health,
        .leaving = server.leaving,
        .inDocument = server.inDocument,
        .canResume = server.canResume,
        .honoursPriority = server.honoursPriority,
        .concurrency = server.concurrency,
        .share = server.share,
        .limit = server.limit,
        .inFlight = server.inFlight,
        .peersInFlight = server.peersInFlight,
    };
    if (!server.memberships.empty()) {
        view.firstToken = toDuration(server.memberships.front().timing.firstToken.micros);
        view.tokenPace = toDuration(server.memberships.front().timing.tokenPace.micros);
    }
    return view;
}

auto shareOf(const State &state, ServerIndex server) -> std::uint32_t
{
    return detail::serverAt(state, server).share;
}

auto listServers(const State &state) -> std::vector<ServerIndex>
{
    return state.serversInOrder;
}

auto timingsOf(const State &state, const Query &query) -> Timings
{
    const auto pool = detail::findPool(state, query);
    if (!pool) {
        return {};
    }
    const auto &base = detail::poolAt(state, detail::poolAt(state, *pool).base);
    return { .firstToken = toDuration(base.firstToken.micros), .tokenPace = toDuration(base.tokenPace.micros) };
}

} // namespace auburnspread::balancing
