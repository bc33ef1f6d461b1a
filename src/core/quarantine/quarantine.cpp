#include "core/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

namespace auburnspread::quarantine
{

namespace
{

/// Number of crashes after which a fingerprint is quarantined.
constexpr std::size_t CrashesToQuarantine = 2;

/// A crash closes all connections of a server within milliseconds of each other, and a server takes longer than this to
/// restart. Failures on one server within this time therefore count as one crash, later ones as another.
constexpr Duration SameCrashWindow = std::chrono::milliseconds(500);

/// An entry that announced a retry must start it or repeat the announcement within this time, which must not exceed the
/// time that peers allow (Options::peerIntentTime).
constexpr Duration AnnouncementLifetime = std::chrono::seconds(2);
constexpr Duration AnnouncementInterval = std::chrono::milliseconds(500);

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

auto hasAnnouncedRetry(const Record &record, TimePoint now) -> bool
{
    return record.retryAnnouncedSince && now - record.retryAnnouncedAt < AnnouncementLifetime;
}

/// \param without attempts that do not count
auto isRunning(const State &state, Fingerprint fingerprint, std::span<const AttemptId> without = {}) -> bool
{
    const auto running = state.running.find(fingerprint);
    return running != state.running.end() && std::any_of(running->second.begin(), running->second.end(), [&](const Copy &copy) {
               return std::find(without.begin(), without.end(), copy.attempt) == without.end();
           });
}

/// The record to evict when the table is full: the oldest suspect, otherwise the oldest quarantined one. A forgotten
/// suspect has caused one crash and can cause one more before it is suspect again; a forgotten quarantined fingerprint
/// can cause two.
auto findEvictionCandidate(const State &state)
{
    return std::min_element(state.records.begin(), state.records.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.quarantined, left.second.since) < std::pair(right.second.quarantined, right.second.since);
    });
}

auto findOrCreateRecord(State &state, Fingerprint fingerprint, TimePoint now) -> Record &
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
        state.records.erase(findEvictionCandidate(state));
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
    std::erase_if(running->second, [&](const Copy &copy) { return copy.attempt == id; });
    if (running->second.empty()) {
        state.running.erase(running);
    }
    return std::move(node.mapped());
}

/// The crash that ended the attempt: the last one seen on its server if the attempt was in flight then, otherwise a new
/// one.
auto incidentOf(State &state, const Attempt &attempt, TimePoint now) -> Incident
{
    auto &crash = state.lastCrash[attempt.server];
    const bool wasInFlight = attempt.sequence < crash.sequence && now - crash.at <= SameCrashWindow;
    if (!wasInFlight) {
        crash = { .at = now, .sequence = state.nextSequence++ };
    }
    return { .server = attempt.server, .at = crash.at, .sequence = crash.sequence };
}

auto makeRetryingNotice(const State &state, Fingerprint fingerprint) -> std::vector<Notice>
{
    const auto running = state.running.find(fingerprint);
    if (running == state.running.end()) {
        return {};
    }
    return { makeNotice(state, fingerprint, Mark::Retrying, running->second.back().server) };
}

auto applySuspect(State &state, const Notice &notice, TimePoint now) -> void
{
    unmarkProven(state, notice.fingerprint);
    addCrash(findOrCreateRecord(state, notice.fingerprint, now), { .server = notice.server, .at = now });
}

/// Two entries may want to retry the same suspect at the same time. Without an order between them both would retry, and
/// a request that crashes servers would crash a third one. Each entry therefore announces its retry first and waits until
/// the announcement of the other must have arrived; then the entry with the lower name retries and the other one waits. A
/// retry that is already running takes precedence over both.
auto applyRetrying(State &state, const Notice &notice, TimePoint now) -> std::vector<Notice>
{
    const bool runs = !notice.server.empty();
    auto &record = findOrCreateRecord(state, notice.fingerprint, now);
    if (!runs && hasAnnouncedRetry(record, now) && state.options.entry < notice.entry) {
        return {};
    }
    if (!runs && isRunning(state, notice.fingerprint)) {
        return makeRetryingNotice(state, notice.fingerprint);
    }
    record.retryAnnouncedSince.reset();
    record.peerRetrying = notice.entry;
    record.peerRetryUntil = now + (runs ? state.options.peerRetryTime : state.options.peerIntentTime);
    return {};
}

auto applyRetryEnded(State &state, const Notice &notice) -> void
{
    const auto found = state.records.find(notice.fingerprint);
    if (found != state.records.end() && found->second.peerRetrying == notice.entry) {
        found->second.peerRetrying.clear();
    }
}

auto applyCleared(State &state, Fingerprint fingerprint) -> void
{
    const auto found = state.records.find(fingerprint);
    if (found == state.records.end() || found->second.quarantined) {
        return;
    }
    state.records.erase(found);
    markProven(state, fingerprint);
}

auto applyQuarantined(State &state, Fingerprint fingerprint, TimePoint now) -> void
{
    unmarkProven(state, fingerprint);
    findOrCreateRecord(state, fingerprint, now).quarantined = true;
}

auto isRetriedByPeer(const Record &record, TimePoint now) -> bool
{
    return !record.peerRetrying.empty() && now < record.peerRetryUntil;
}

/// Whether the record is a suspect that no peer retries and of which no copy but \p own is running.
auto mayBeRetried(const State &state, Fingerprint fingerprint, const Record &record, TimePoint now, std::span<const AttemptId> own) -> bool
{
    return !record.quarantined && !isRetriedByPeer(record, now) && !isRunning(state, fingerprint, own);
}

auto decideUnsuspected(const State &state, Fingerprint fingerprint) -> Decision
{
    const auto running = state.running.find(fingerprint);
    if (running == state.running.end() || state.proven.contains(fingerprint)) {
        return { .verdict = Verdict::Run };
    }
    const auto &copies = running->second;
    const auto latest = std::find_if(copies.rbegin(), copies.rend(), [](const Copy &copy) { return !copy.isSilent; });
    if (latest == copies.rend()) {
        return { .verdict = Verdict::Run };
    }
    return { .verdict = Verdict::RunOnServer, .server = latest->server };
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
        state.records.erase(findEvictionCandidate(state));
    }
}

auto decide(const State &state, Fingerprint fingerprint, TimePoint now, std::span<const AttemptId> own) -> Decision
{
    const Record *record = findRecord(state, fingerprint, now);
    if (record == nullptr) {
        return decideUnsuspected(state, fingerprint);
    }
    if (record->quarantined) {
        return { .verdict = Verdict::Refuse };
    }
    if (!mayBeRetried(state, fingerprint, *record, now, own) || !hasAnnouncedRetry(*record, now)) {
        return { .verdict = Verdict::Wait };
    }
    const bool settled = now - *record->retryAnnouncedSince >= state.options.settleTime;
    return { .verdict = settled ? Verdict::RunAlone : Verdict::Wait };
}

auto announceRetry(State &state, Fingerprint fingerprint, TimePoint now, std::span<const AttemptId> own) -> std::vector<Notice>
{
    if (findRecord(state, fingerprint, now) == nullptr) {
        return {};
    }
    auto &record = state.records.at(fingerprint);
    if (!mayBeRetried(state, fingerprint, record, now, own)) {
        return {};
    }
    if (!hasAnnouncedRetry(record, now)) {
        record.retryAnnouncedSince = now;
    } else if (now - record.retryAnnouncedAt < AnnouncementInterval) {
        return {};
    }
    record.retryAnnouncedAt = now;
    return { makeNotice(state, fingerprint, Mark::Retrying) };
}

auto recordDispatch(State &state, AttemptId attempt, Fingerprint fingerprint, std::string_view server, TimePoint now) -> std::vector<Notice>
{
    state.attempts[attempt] = { .fingerprint = fingerprint, .server = std::string(server), .sequence = state.nextSequence++ };
    state.running[fingerprint].push_back({ .attempt = attempt, .server = std::string(server) });
    if (findRecord(state, fingerprint, now) == nullptr) {
        return {};
    }
    state.records.at(fingerprint).retryAnnouncedSince.reset();
    return makeRetryingNotice(state, fingerprint);
}

auto recordSilence(State &state, AttemptId attempt, bool isSilent) -> void
{
    const auto place = state.attempts.find(attempt);
    if (place == state.attempts.end()) {
        return;
    }
    for (auto &copy : state.running.at(place->second.fingerprint)) {
        if (copy.attempt == attempt) {
            copy.isSilent = isSilent;
        }
    }
}

auto recordCompletion(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>
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

auto recordInconclusiveEnd(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>
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

auto recordCrash(State &state, AttemptId attempt, TimePoint now) -> std::vector<Notice>
{
    const auto ended = takeAttempt(state, attempt);
    if (!ended) {
        return {};
    }
    unmarkProven(state, ended->fingerprint);
    const Incident incident = incidentOf(state, *ended, now);
    auto &record = findOrCreateRecord(state, ended->fingerprint, now);
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

auto applyNotice(State &state, const Notice &notice, TimePoint now) -> std::vector<Notice>
{
    switch (notice.mark) {
    case Mark::Suspect:
        applySuspect(state, notice, now);
        break;
    case Mark::Retrying:
        return applyRetrying(state, notice, now);
    case Mark::RetryEnded:
        applyRetryEnded(state, notice);
        break;
    case Mark::Cleared:
        applyCleared(state, notice.fingerprint);
        break;
    case Mark::Quarantined:
        applyQuarantined(state, notice.fingerprint, now);
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

auto list(const State &state, TimePoint now) -> std::vector<ListedRecord>
{
    std::vector<ListedRecord> listed;
    for (const auto &[fingerprint, record] : state.records) {
        if (isExpired(state, record, now)) {
            continue;
        }
        auto &row = listed.emplace_back(ListedRecord{ .fingerprint = fingerprint, .quarantined = record.quarantined, .since = record.since });
        for (const Incident &crash : record.crashes) {
            row.servers.push_back(crash.server);
        }
    }
    std::sort(listed.begin(), listed.end(), [](const ListedRecord &left, const ListedRecord &right) { return left.fingerprint < right.fingerprint; });
    return listed;
}

auto expire(State &state, TimePoint now) -> void
{
    std::erase_if(state.records, [&](const auto &row) { return isExpired(state, row.second, now); });
    std::erase_if(state.lastCrash, [&](const auto &row) { return now - row.second.at >= state.options.expiry; });
}

} // namespace auburnspread::quarantine
