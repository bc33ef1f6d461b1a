#include "core/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

namespace auburnspread::quarantine
{

namespace
{

/// Crashes after which a fingerprint is quarantined.
constexpr std::size_t CrashesToQuarantine = 2;

/// A crash ends all connections of a server within milliseconds of each other, and a server takes longer than this to
/// start again: ends on one server within this time are one crash, later ones another.
constexpr Duration SameCrashWindow = std::chrono::milliseconds(500);

/// An entry that said it will retry must begin, or say so again, within this time: it is shorter than what peers allow.
constexpr Duration IntentLifetime = std::chrono::seconds(2);
constexpr Duration IntentRefresh = std::chrono::milliseconds(500);

auto isExpired(const State &state, const Record &record, TimePoint now) -> bool
{
    return now - record.since >= state.options.expiry;
}

auto findRecord(const State &state, Fingerprint fingerprint, TimePoint now) -> const Record *
{
    const auto found = state.records.find(fingerprint);
    if (found == state.records.end() || isExpired(state, found->second, now)) {
        return nullptr;
    }
    return &found->second;
}

auto intends(const Record &record, TimePoint now) -> bool
{
    return record.intendsSince && now - record.intentToldAt < IntentLifetime;
}

auto isRunning(const State &state, Fingerprint fingerprint) -> bool
{
    return state.running.contains(fingerprint);
}

/// The record to give up when the table is full: the oldest suspect, else the oldest quarantined one. A suspect cost
/// one crash and can cost one more; a quarantined fingerprint would cost two again.
auto findVictim(const State &state)
{
    return std::min_element(state.records.begin(), state.records.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.quarantined, left.second.since) < std::pair(right.second.quarantined, right.second.since);
    });
}

auto recordOf(State &state, Fingerprint fingerprint, TimePoint now) -> Record &
{
    const auto found = state.records.find(fingerprint);
    if (found != state.records.end()) {
        if (isExpired(state, found->second, now)) {
            found->second = Record{};
        }
        found->second.since = now;
        return found->second;
    }
    if (!state.records.empty() && state.records.size() >= state.options.capacity) {
        state.records.erase(findVictim(state));
    }
    auto &record = state.records[fingerprint];
    record.since = now;
    return record;
}

auto isSameCrash(const Incident &left, const Incident &right) -> bool
{
    if (left.sequence != 0 && right.sequence != 0) {
        return left.sequence == right.sequence;
    }
    const Duration apart = left.at < right.at ? right.at - left.at : left.at - right.at;
    return !left.server.empty() && left.server == right.server && apart <= SameCrashWindow;
}

auto addCrash(Record &record, const Incident &incident) -> void
{
    const bool known = std::any_of(record.crashes.begin(), record.crashes.end(), [&](const Incident &seen) { return isSameCrash(seen, incident); });
    if (known) {
        return;
    }
    record.crashes.push_back(incident);
    record.quarantined = record.quarantined || record.crashes.size() >= CrashesToQuarantine;
}

auto markProven(State &state, Fingerprint fingerprint) -> void
{
    if (!state.proven.insert(fingerprint).second) {
        return;
    }
    state.provenOrder.push_back(fingerprint);
    if (state.provenOrder.size() > state.options.provenCapacity) {
        state.proven.erase(state.provenOrder.front());
        state.provenOrder.pop_front();
    }
}

auto unmarkProven(State &state, Fingerprint fingerprint) -> void
{
    if (state.proven.erase(fingerprint) > 0) {
        std::erase(state.provenOrder, fingerprint);
    }
}

auto makeNotice(const State &state, Fingerprint fingerprint, Mark mark, std::string server = {}) -> Notice
{
    return { .fingerprint = fingerprint, .mark = mark, .entry = state.options.entry, .server = std::move(server) };
}

auto takeAttempt(State &state, AttemptId id) -> std::optional<Attempt>
{
    auto node = state.attempts.extract(id);
    if (node.empty()) {
        return std::nullopt;
    }
    const auto running = state.running.find(node.mapped().fingerprint);
    running->second.attempts -= 1;
    if (running->second.attempts == 0) {
        state.running.erase(running);
    }
    return std::move(node.mapped());
}

/// The crash that ended the attempt: the one seen last on its server, if the attempt was under way then, else a new one.
auto incidentOf(State &state, const Attempt &attempt, TimePoint now) -> Incident
{
    auto &crash = state.lastCrash[attempt.server];
    const bool wasUnderWay = attempt.sequence < crash.sequence && now - crash.at <= SameCrashWindow;
    if (!wasUnderWay) {
        crash = { .at = now, .sequence = state.nextSequence++ };
    }
    return { .server = attempt.server, .at = crash.at, .sequence = crash.sequence };
}

auto tellRetrying(const State &state, Fingerprint fingerprint) -> std::vector<Notice>
{
    const auto running = state.running.find(fingerprint);
    if (running == state.running.end()) {
        return {};
    }
    return { makeNotice(state, fingerprint, Mark::Retrying, running->second.server) };
}

auto hearSuspect(State &state, const Notice &notice, TimePoint now) -> void
{
    unmarkProven(state, notice.fingerprint);
    addCrash(recordOf(state, notice.fingerprint, now), { .server = notice.server, .at = now });
}

/// Two entries may want to retry the same suspect at the same moment. Without an order between them both would, and a
/// killer would crash a third server. Each says so first and waits until the other's word must have arrived; then the
/// entry with the lower name goes on and the other one waits. A retry that runs already goes before both.
auto hearRetrying(State &state, const Notice &notice, TimePoint now) -> std::vector<Notice>
{
    const bool runs = !notice.server.empty();
    auto &record = recordOf(state, notice.fingerprint, now);
    if (!runs && intends(record, now) && state.options.entry < notice.entry) {
        return {};
    }
    if (!runs && isRunning(state, notice.fingerprint)) {
        return tellRetrying(state, notice.fingerprint);
    }
    record.intendsSince.reset();
    record.peerRetrying = notice.entry;
    record.peerRetryUntil = now + (runs ? state.options.peerRetryTime : state.options.peerIntentTime);
    return {};
}

auto hearRetryEnded(State &state, const Notice &notice) -> void
{
    const auto found = state.records.find(notice.fingerprint);
    if (found != state.records.end() && found->second.peerRetrying == notice.entry) {
        found->second.peerRetrying.clear();
    }
}

auto hearCleared(State &state, Fingerprint fingerprint) -> void
{
    const auto found = state.records.find(fingerprint);
    if (found == state.records.end() || found->second.quarantined) {
        return;
    }
    state.records.erase(found);
    markProven(state, fingerprint);
}

auto hearQuarantined(State &state, Fingerprint fingerprint, TimePoint now) -> void
{
    unmarkProven(state, fingerprint);
    recordOf(state, fingerprint, now).quarantined = true;
}

auto peerRetries(const Record &record, TimePoint now) -> bool
{
    return !record.peerRetrying.empty() && now < record.peerRetryUntil;
}

/// A suspect that nobody retries and no copy of which runs.
auto mayBeRetried(const State &state, Fingerprint fingerprint, const Record &record, TimePoint now) -> bool
{
    return !record.quarantined && !peerRetries(record, now) && !isRunning(state, fingerprint);
}

auto decideUnsuspected(const State &state, Fingerprint fingerprint) -> Decision
{
    const auto running = state.running.find(fingerprint);
    if (running == state.running.end() || state.proven.contains(fingerprint)) {
        return { .verdict = Verdict::Run };
    }
    return { .verdict = Verdict::RunOnServer, .server = running->second.server };
}

} // namespace

auto makeState(Options options) -> State
{
    return { .options = std::move(options) };
}

auto setLimits(State &state, Duration expiry, std::size_t capacity) -> void
{
    state.options.expiry = expiry;
    state.options.capacity = std::max<std::size_t>(capacity, 1);
    while (state.records.size() > state.options.capacity) {
        state.records.erase(findVictim(state));
    }
}

auto decide(const State &state, Fingerprint fingerprint, TimePoint now) -> Decision
{
    const Record *record = findRecord(state, fingerprint, now);
    if (record == nullptr) {
        return decideUnsuspected(state, fingerprint);
    }
    if (record->quarantined) {
        return { .verdict = Verdict::Refuse };
    }
    if (!mayBeRetried(state, fingerprint, *record, now) || !intends(*record, now)) {
        return { .verdict = Verdict::Wait };
    }
    const bool settled = now - *record->intendsSince >= state.options.settleTime;
    return { .verdict = settled ? Verdict::RunAlone : Verdict::Wait };
}

auto announceRetry(State &state, Fingerprint fingerprint, TimePoint now) -> std::vector<Notice>
{
    if (findRecord(state, fingerprint, now) == nullptr) {
        return {};
    }
    auto &record = state.records.at(fingerprint);
    if (!mayBeRetried(state, fingerprint, record, now)) {
        return {};
    }
    if (!intends(record, now)) {
        record.intendsSince = now;
    } else if (now - record.intentToldAt < IntentRefresh) {
        return {};
    }
    record.intentToldAt = now;
    return { makeNotice(state, fingerprint, Mark::Retrying) };
}

auto noteDispatched(State &state, AttemptId attempt, Fingerprint fingerprint, std::string_view server, TimePoint now) -> std::vector<Notice>
{
    state.attempts[attempt] = { .fingerprint = fingerprint, .server = std::string(server), .sequence = state.nextSequence++ };
    auto &running = state.running[fingerprint];
    running.server = server;
    running.attempts += 1;
    if (findRecord(state, fingerprint, now) == nullptr) {
        return {};
    }
    state.records.at(fingerprint).intendsSince.reset();
    return tellRetrying(state, fingerprint);
}

auto noteCompleted(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>
{
    const auto ended = takeAttempt(state, attempt);
    if (!ended) {
        return {};
    }
    const Record *record = findRecord(state, ended->fingerprint, now);
    if (record != nullptr && record->quarantined) {
        return {};
    }
    markProven(state, ended->fingerprint);
    if (record == nullptr) {
        return {};
    }
    state.records.erase(ended->fingerprint);
    return { makeNotice(state, ended->fingerprint, Mark::Cleared) };
}

auto noteEnded(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>
{
    const auto ended = takeAttempt(state, attempt);
    if (!ended || isRunning(state, ended->fingerprint)) {
        return {};
    }
    const Record *record = findRecord(state, ended->fingerprint, now);
    if (record == nullptr || record->quarantined) {
        return {};
    }
    return { makeNotice(state, ended->fingerprint, Mark::RetryEnded) };
}

auto noteCrashed(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>
{
    const auto ended = takeAttempt(state, attempt);
    if (!ended) {
        return {};
    }
    unmarkProven(state, ended->fingerprint);
    const Incident incident = incidentOf(state, *ended, now);
    auto &record = recordOf(state, ended->fingerprint, now);
    addCrash(record, incident);
    if (record.quarantined) {
        return { makeNotice(state, ended->fingerprint, Mark::Quarantined) };
    }
    std::vector<Notice> notices{ makeNotice(state, ended->fingerprint, Mark::Suspect, ended->server) };
    for (auto &notice : announceRetry(state, ended->fingerprint, now)) {
        notices.push_back(std::move(notice));
    }
    return notices;
}

auto hear(State &state, const Notice &notice, TimePoint now) -> std::vector<Notice>
{
    switch (notice.mark) {
    case Mark::Suspect:
        hearSuspect(state, notice, now);
        break;
    case Mark::Retrying:
        return hearRetrying(state, notice, now);
    case Mark::RetryEnded:
        hearRetryEnded(state, notice);
        break;
    case Mark::Cleared:
        hearCleared(state, notice.fingerprint);
        break;
    case Mark::Quarantined:
        hearQuarantined(state, notice.fingerprint, now);
        break;
    case Mark::Released:
        state.records.erase(notice.fingerprint);
        break;
    }
    return {};
}

auto release(State &state, Fingerprint fingerprint) -> std::optional<Notice>
{
    if (state.records.erase(fingerprint) == 0) {
        return std::nullopt;
    }
    return makeNotice(state, fingerprint, Mark::Released);
}

auto isQuarantined(const State &state, Fingerprint fingerprint, TimePoint now) -> bool
{
    const Record *record = findRecord(state, fingerprint, now);
    return record != nullptr && record->quarantined;
}

auto list(const State &state, TimePoint now) -> std::vector<Listed>
{
    std::vector<Listed> listed;
    for (const auto &[fingerprint, record] : state.records) {
        if (isExpired(state, record, now)) {
            continue;
        }
        auto &row = listed.emplace_back(Listed{ .fingerprint = fingerprint, .quarantined = record.quarantined, .since = record.since });
        for (const Incident &crash : record.crashes) {
            row.servers.push_back(crash.server);
        }
    }
    std::sort(listed.begin(), listed.end(), [](const Listed &left, const Listed &right) { return left.fingerprint < right.fingerprint; });
    return listed;
}

auto expire(State &state, TimePoint now) -> void
{
    std::erase_if(state.records, [&](const auto &row) { return isExpired(state, row.second, now); });
    std::erase_if(state.lastCrash, [&](const auto &row) { return now - row.second.at >= state.options.expiry; });
}

} // namespace auburnspread::quarantine
