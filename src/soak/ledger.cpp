#include "soak/ledger.h"

#include <algorithm>
#include <set>

namespace auburnspread::soak
{

namespace
{

using adapter::standins::Execution;

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;

/// Statuses that say: not run, and never will be.
constexpr auto NotRunStatuses = std::to_array<int>({ 408, 421, 429, 503 });

/// Statuses that say: this must not be asked for.
constexpr auto DenyingStatuses = std::to_array<int>({ 400, 401, 403, 404 });

/// The entry has given up a request that may have run.
constexpr int BadGatewayStatus = 502;

/// A request that ends earlier has not ended by its deadline, which is 5 s from its arrival at the entry.
constexpr Duration BeforeDeadline = std::chrono::milliseconds(4500);

auto isSuccess(int status) -> bool
{
    return status >= FirstSuccess && status < FirstRedirect;
}

auto saysNotRun(int status) -> bool
{
    return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), status) != NotRunStatuses.end();
}

template <typename Key>
auto keepEarliest(std::map<Key, TimePoint> &times, const Key &key, TimePoint at) -> void
{
    const auto [known, isFirst] = times.try_emplace(key, at);
    known->second = std::min(known->second, at);
}

auto describe(const Execution &run) -> std::string
{
    return "at " + run.server + ": " + run.method + " " + run.target;
}

auto isWhole(const Sent &sent, const std::string &body) -> bool
{
    const auto &answers = sent.answersByVersion;
    const auto isAnswer = [&body](const auto &item) { return item.second == body; };
    return answers.empty() ? body == sent.expectedAnswer : std::any_of(answers.begin(), answers.end(), isAnswer);
}

} // namespace

auto Ledger::sent(const Sent &request) -> void
{
    records_[request.id].sent = request;
}

auto Ledger::ended(const Ended &end) -> void
{
    records_.at(end.id).ended = end;
}

auto Ledger::ran(const Execution &run) -> void
{
    const auto found = records_.find(run.id);
    if (found == records_.end()) {
        unasked_.push_back({ Promise::Asked, run.id, "nobody sent it; ran " + describe(run) });
        return;
    }
    found->second.runs.push_back(run);
}

auto Ledger::finished(const std::string &id, const std::string &server, TimePoint at) -> void
{
    const auto found = records_.find(id);
    if (found != records_.end()) {
        found->second.finished[server] = at;
    }
}

auto Ledger::stopped(const std::string &entry, std::uint32_t incarnation, TimePoint at) -> void
{
    stops_.try_emplace({ entry, incarnation }, at);
}

auto Ledger::keyWithdrawn(const std::string &key, TimePoint at) -> void
{
    withdrawnKeys_[key] = at;
}

auto Ledger::serverLeaves(const std::string &server, TimePoint at) -> void
{
    leavingServers_[server] = at;
}

auto Ledger::rejected(const adapter::standins::Rejection &rejection) -> void
{
    const auto found = records_.find(rejection.id);
    if (found != records_.end()) {
        found->second.rejections.push_back(rejection);
    }
}

auto Ledger::serverStatesLeaving(const std::string &server, TimePoint at) -> void
{
    statedLeavings_[server] = at;
}

auto Ledger::limitBegins(const std::string &server, double perSecond, TimePoint at) -> void
{
    limits_.push_back({ .server = server, .perSecond = perSecond, .interval = { .from = at, .to = TimePoint::max() } });
}

auto Ledger::limitEnds(const std::string &server, TimePoint at) -> void
{
    for (auto &limit : limits_) {
        if (limit.server == server) {
            limit.interval.to = std::min(limit.interval.to, at);
        }
    }
}

auto Ledger::harmed(const std::string &name, TimePoint from, TimePoint to) -> void
{
    harm_[name].push_back({ from, to + Aftermath });
}

auto Ledger::overlapsAny(const std::vector<Interval> &intervals, TimePoint from, TimePoint to) -> bool
{
    return std::any_of(intervals.begin(), intervals.end(), [&](const Interval &each) { return each.from < to && from < each.to; });
}

auto Ledger::isHarmed(const std::string &name, TimePoint from, TimePoint to) const -> bool
{
    return overlapsAnyOf(harm_, name, from, to);
}

auto Ledger::overlapsAnyOf(const Intervals &intervals, const std::string &name, TimePoint from, TimePoint to) -> bool
{
    const auto found = intervals.find(name);
    return found != intervals.end() && overlapsAny(found->second, from, to);
}

auto Ledger::serverSilent(const std::string &server, TimePoint from, TimePoint to) -> void
{
    silences_[server].push_back({ from, to });
}

auto Ledger::broken(const std::string &name, TimePoint from, TimePoint to) -> void
{
    breaks_[name].push_back({ from, to });
}

auto Ledger::brittle(TimePoint from, TimePoint to, std::size_t servers) -> void
{
    brittleTimes_.push_back({ .interval = { from, to }, .servers = servers });
}

auto Ledger::serverCrashed(const std::string &part, TimePoint at) -> void
{
    crashes_[part].push_back(at);
}

auto Ledger::disturbed(TimePoint from, TimePoint to) -> void
{
    disturbances_.push_back({ from, to + Aftermath });
}

auto Ledger::serverStarts(const std::string &server, const std::string &version) -> void
{
    serverVersions_[server] = version;
}

auto Ledger::isCalm(TimePoint from, TimePoint to) const -> bool
{
    return !overlapsAny(disturbances_, from, to);
}

auto Ledger::isPassedOn(const Record &record, const Execution &run) -> bool
{
    return record.ended && record.ended->signature == run.server + "." + run.id;
}

auto Ledger::checkRuns(const Record &record, Violations &violations) const -> void
{
    const auto &sent = record.sent;
    for (const auto &run : record.runs) {
        const auto isUnchanged = run.method == sent.method && run.target == sent.target && run.body == sent.body;
        if (!isUnchanged || run.hasKey || run.workspace != sent.workspace) {
            violations.push_back({ Promise::Asked, sent.id, "changed on the way; ran " + describe(run) + " for workspace '" + run.workspace + "'" });
        }
    }
    if (record.runs.size() > sent.mostRuns) {
        violations.push_back({ Promise::Once, sent.id, "ran " + std::to_string(record.runs.size()) + " times: " + sent.target });
    }
}

auto Ledger::checkAnswer(const Record &record, Violations &violations) const -> void
{
    if (!record.ended || record.ended->status == 0) {
        return;
    }
    const auto &ended = *record.ended;
    if (saysNotRun(ended.status) && !record.runs.empty()) {
        violations.push_back({ Promise::TrueRefusal, ended.id, "refused with " + std::to_string(ended.status) + ", ran " + describe(record.runs.front()) });
    }
    const auto isDenied = std::find(DenyingStatuses.begin(), DenyingStatuses.end(), ended.status) != DenyingStatuses.end();
    // a request may be on its way while its key is taken away
    const auto withdrawn = withdrawnKeys_.find(record.sent.key);
    const auto lostItsKey = withdrawn != withdrawnKeys_.end() && withdrawn->second < ended.at;
    if (isDenied && record.sent.isAllowed && !lostItsKey) {
        violations.push_back({ Promise::Admitted, ended.id, "answered " + std::to_string(ended.status) + ": " + record.sent.target });
    }
    if (!isSuccess(ended.status)) {
        return;
    }
    const auto isSigned = std::any_of(record.runs.begin(), record.runs.end(), [&](const Execution &run) { return isPassedOn(record, run); });
    if (!isSigned || !isWhole(record.sent, ended.body)) {
        violations.push_back({ Promise::OwnAnswer, ended.id, "got '" + ended.body + "', signature '" + ended.signature + "'" });
    }
}

/// The events of the response and those that the caller had before are of one version. A first try that ran at servers of two versions got
/// events of one of them, which is not known here.
auto Ledger::checkResumption(const Record &record, Violations &violations) const -> void
{
    const auto first = records_.find(record.sent.resumes);
    if (first == records_.end() || !record.ended || !isSuccess(record.ended->status)) {
        return;
    }
    std::set<std::string> versions;
    for (const auto &run : first->second.runs) {
        versions.insert(serverVersions_.at(run.server));
    }
    const auto &answers = record.sent.answersByVersion;
    if (versions.size() == 1 && record.ended->body != answers.at(*versions.begin())) {
        violations.push_back({ Promise::VersionKept, record.sent.id, "began at " + *versions.begin() + " as " + record.sent.resumes + ", goes on otherwise" });
    }
}

auto Ledger::checkPlannedWork(const Record &record, Violations &violations) const -> void
{
    const auto isLost = record.ended && record.ended->status == 0 && !record.runs.empty() && !record.sent.leavesEarly;
    if (!isLost || !isCalm(record.sent.at, record.ended->at)) {
        return;
    }
    const auto mayHaveMetDeadline = record.ended->at - record.sent.at >= BeforeDeadline;
    if (mayHaveMetDeadline && metSilence(record)) {
        return;
    }
    violations.push_back({ Promise::NothingLost, record.sent.id, "ran and got no answer: " + record.ended->cause });
}

/// A request that no server ran may have found the connection closed; an entry has read it if the connection lasted longer.
auto Ledger::checkStop(const Record &record, Violations &violations) const -> void
{
    constexpr Duration MayBeUnread = std::chrono::milliseconds(200);
    constexpr Duration HeldFor = std::chrono::seconds(3); // an address, by callers
    constexpr Duration AtWork = std::chrono::milliseconds(6670);
    constexpr Duration BeforeLimit = std::chrono::milliseconds(500);
    const auto &sent = record.sent;
    const auto stop = stops_.find({ sent.entry, sent.incarnation });
    const auto isLost = record.ended && record.ended->status == 0 && !sent.leavesEarly;
    if (!isLost || stop == stops_.end() || record.ended->at < stop->second) {
        return;
    }
    const auto signal = stop->second;
    const auto to = record.ended->at;
    const auto from = std::min(signal, sent.at);
    const auto isUnread = record.runs.empty() && to - sent.at <= MayBeUnread;
    const auto isBroken = [&](const Execution &run) { return overlapsAnyOf(breaks_, run.server, run.at, to); };
    const auto isHarmedAnyhow = overlapsAnyOf(breaks_, AnyEntry, from, to) || overlapsAnyOf(breaks_, sent.entry, from, to)
        || std::any_of(record.runs.begin(), record.runs.end(), isBroken);
    if (isUnread || isHarmedAnyhow || to - sent.at >= sent.timeLimit - BeforeLimit) {
        return;
    }
    const auto wasAtWork = [&](const Execution &run) {
        const auto finished = record.finished.find(run.server);
        return run.at < signal + AtWork && (finished == record.finished.end() || finished->second > signal + AtWork);
    };
    if (sent.at <= signal + HeldFor && std::any_of(record.runs.begin(), record.runs.end(), wasAtWork)) {
        return;
    }
    const auto sentAfter = std::chrono::duration_cast<std::chrono::milliseconds>(sent.at - signal).count();
    const auto endedAfter = std::chrono::duration_cast<std::chrono::milliseconds>(to - signal).count();
    violations.push_back({ Promise::WholeAtStop,
                           sent.id,
                           "sent " + std::to_string(sentAfter) + " ms after SIGTERM to entry " + sent.entry + ", ended without a whole answer at "
                               + std::to_string(endedAfter) + " ms, ran " + std::to_string(record.runs.size()) + " times: " + record.ended->cause });
}

auto Ledger::metSilence(const Record &record) const -> bool
{
    const auto isSilent = [&](const Execution &run) { return overlapsAnyOf(silences_, run.server, run.at, record.ended->at); };
    return std::any_of(record.runs.begin(), record.runs.end(), isSilent);
}

auto Ledger::checkSilences(const Record &record, Violations &violations) const -> void
{
    const auto &sent = record.sent;
    const auto isGivenUp = record.ended && (record.ended->status == 0 || record.ended->status == BadGatewayStatus) && !sent.leavesEarly;
    if (!isGivenUp || !metSilence(record)) {
        return;
    }
    const auto &ended = *record.ended;
    const auto mayBreakOff = ended.at - sent.at >= BeforeDeadline || overlapsAnyOf(breaks_, AnyEntry, sent.at, ended.at)
        || overlapsAnyOf(breaks_, sent.entry, sent.at, ended.at)
        || std::any_of(record.runs.begin(), record.runs.end(), [&](const Execution &run) { return overlapsAnyOf(breaks_, run.server, run.at, ended.at); });
    if (!mayBreakOff) {
        violations.push_back(
            { Promise::SilenceBorne, sent.id, "ran " + describe(record.runs.front()) + ", status " + std::to_string(ended.status) + ": " + ended.cause });
    }
}

auto Ledger::checkBounds(const Record &record, const TimeBounds &bounds, Violations &violations) const -> void
{
    const auto withdrawn = withdrawnKeys_.find(record.sent.key);
    for (const auto &run : record.runs) {
        if (withdrawn != withdrawnKeys_.end() && record.sent.at > withdrawn->second + bounds.keyWithdrawal) {
            violations.push_back({ Promise::KeyWithdrawn, run.id, "ran with a key that was taken away" });
        }
        const auto leaving = leavingServers_.find(run.server);
        const auto isLate = leaving != leavingServers_.end() && run.at > leaving->second + bounds.leavingServer;
        if (isLate && isCalm(leaving->second, run.at)) {
            violations.push_back({ Promise::LeavingServer, run.id, "sent to " + run.server + ", which had left" });
        }
    }
    const auto hasLasted = record.ended && record.ended->at - record.sent.at > bounds.answer;
    if (hasLasted && isCalm(record.sent.at, record.ended->at)) {
        violations.push_back({ Promise::Answered, record.sent.id, "no answer within the bound" });
    }
}

/// A version is in force in a process from the moment at which a request was run that only this version allows.
auto Ledger::checkVersions(Violations &violations) const -> void
{
    for (const auto &[newId, newer] : records_) {
        if (newer.sent.onlyVersion == 0 || newer.runs.empty()) {
            continue;
        }
        for (const auto &[oldId, older] : records_) {
            const auto isSameProcess = older.sent.entry == newer.sent.entry && older.sent.incarnation == newer.sent.incarnation;
            const auto isOlder = older.sent.onlyVersion != 0 && older.sent.onlyVersion < newer.sent.onlyVersion;
            if (isSameProcess && isOlder && !older.runs.empty() && older.sent.at > newer.runs.front().at) {
                violations.push_back(
                    { Promise::NeverBack, oldId, "version " + std::to_string(older.sent.onlyVersion) + " after " + std::to_string(newer.sent.onlyVersion) });
            }
        }
    }
}

/// Only requests count that come from an entry which had passed an answer with the limit on half a second before.
auto Ledger::checkLimit(const Limit &limit, Violations &violations) const -> void
{
    constexpr Duration Window = std::chrono::seconds(4);
    constexpr Duration ToldFor = std::chrono::milliseconds(500);
    constexpr double Factor = 1.5;
    constexpr double More = 5;
    using Process = std::pair<std::string, std::uint32_t>;
    std::map<Process, TimePoint> told;
    std::vector<std::pair<TimePoint, Process>> runs;
    for (const auto &[id, record] : records_) {
        const Process process(record.sent.entry, record.sent.incarnation);
        for (const auto &run : record.runs) {
            if (run.server != limit.server || run.at < limit.interval.from || run.at > limit.interval.to) {
                continue;
            }
            runs.emplace_back(run.at, process);
            if (isPassedOn(record, run)) {
                keepEarliest(told, process, record.ended->at);
            }
        }
    }
    std::erase_if(runs, [&](const auto &run) {
        const auto known = told.find(run.second);
        return known == told.end() || run.first < known->second + ToldFor || isHarmed(run.second.first, run.first - Window, run.first);
    });
    std::sort(runs.begin(), runs.end());
    for (std::size_t first = 0, last = 0; last < runs.size(); ++last) {
        while (runs[last].first - runs[first].first > Window) {
            ++first;
        }
        const auto got = last - first + 1;
        const auto isOver = static_cast<double>(got) > Factor * limit.perSecond * std::chrono::duration<double>(Window).count() + More;
        if (isOver && !isHarmed(limit.server, runs[first].first, runs[last].first)) {
            violations.push_back(
                { Promise::LimitKept, limit.server, std::to_string(got) + " requests in 4 s at " + std::to_string(limit.perSecond) + " a second" });
            return;
        }
    }
}

auto Ledger::checkLimits(Violations &violations) const -> void
{
    for (const auto &limit : limits_) {
        checkLimit(limit, violations);
    }
}

auto Ledger::senderOf(const Record &record, const std::string &server) -> Sender
{
    return { record.sent.entry, record.sent.incarnation, server };
}

/// Requests that were on their way when the entry read the rejection are allowed for half a second.
auto Ledger::checkBackoffs(Violations &violations) const -> void
{
    constexpr Duration OnTheirWay = std::chrono::milliseconds(500);
    constexpr std::size_t Allowed = 2;
    std::map<Sender, std::vector<TimePoint>> arrivals;
    for (const auto &[id, record] : records_) {
        for (const auto &run : record.runs) {
            arrivals[senderOf(record, run.server)].push_back(run.at);
        }
        for (const auto &rejection : record.rejections) {
            arrivals[senderOf(record, rejection.server)].push_back(rejection.at);
        }
    }
    for (const auto &[id, record] : records_) {
        for (const auto &rejection : record.rejections) {
            const auto from = rejection.at + OnTheirWay;
            const auto to = rejection.at + rejection.pause;
            const auto &times = arrivals.at(senderOf(record, rejection.server));
            const auto got = static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at > from && at < to; }));
            if (got > Allowed && !isHarmed(record.sent.entry, rejection.at, to) && !isHarmed(rejection.server, rejection.at, to)) {
                violations.push_back({ Promise::BackoffKept, id, std::to_string(got) + " requests to " + rejection.server + " during a backoff" });
            }
        }
    }
}

auto Ledger::checkStatedLeavings(Violations &violations) const -> void
{
    constexpr Duration Bound = std::chrono::seconds(2);
    std::map<Sender, TimePoint> told; // when the entry passed on the first answer with the statement
    for (const auto &[id, record] : records_) {
        for (const auto &run : record.runs) {
            const auto stated = statedLeavings_.find(run.server);
            if (stated != statedLeavings_.end() && isPassedOn(record, run) && run.at >= stated->second) {
                keepEarliest(told, senderOf(record, run.server), record.ended->at);
            }
        }
    }
    for (const auto &[id, record] : records_) {
        for (const auto &run : record.runs) {
            const auto known = told.find(senderOf(record, run.server));
            if (known != told.end() && record.sent.at > known->second + Bound) {
                violations.push_back({ Promise::LeavingKept, id, "sent to " + run.server + ", which had stated that it is leaving" });
            }
        }
    }
}

/// Crashes count while no way is harmed and no entry is missing.
auto Ledger::checkBrittleness(Violations &violations) const -> void
{
    constexpr std::size_t Allowed = 2;
    constexpr std::size_t ServersPerCrash = 10;
    const auto crashes = crashes_.find("");
    if (crashes == crashes_.end()) {
        return;
    }
    for (const auto &[interval, servers] : brittleTimes_) {
        const auto counts = [&, from = interval.from, to = interval.to](TimePoint at) {
            const auto isHarmedThen = [at](const auto &item) { return overlapsAny(item.second, at - Aftermath, at); };
            return at > from && at < to && std::none_of(harm_.begin(), harm_.end(), isHarmedThen);
        };
        const auto count = static_cast<std::size_t>(std::count_if(crashes->second.begin(), crashes->second.end(), counts));
        if (count > Allowed + servers / ServersPerCrash) {
            violations.push_back({ Promise::BrittleKept, "", std::to_string(count) + " crashes of brittle servers" });
        }
    }
}

/// Only requests count that come from entries which are in touch with the others.
auto Ledger::checkParts(Violations &violations) const -> void
{
    constexpr std::size_t Crashes = 5;
    constexpr std::size_t Allowed = 3;
    constexpr Duration KnownAfter = std::chrono::seconds(3);
    for (const auto &[part, crashes] : crashes_) {
        if (part.empty() || crashes.size() < Crashes) {
            continue;
        }
        const auto from = crashes.at(Crashes - 1) + KnownAfter;
        std::size_t got = 0;
        for (const auto &item : records_) {
            const auto &record = item.second;
            const auto counts = [&](const Execution &run) { return run.at > from && !isHarmed(record.sent.entry, run.at - KnownAfter, run.at); };
            got += record.sent.crashingPart == part ? static_cast<std::size_t>(std::count_if(record.runs.begin(), record.runs.end(), counts)) : 0;
        }
        if (got > Allowed) {
            violations.push_back(
                { Promise::PartContained, part, "ran " + std::to_string(got) + " times more, " + std::to_string(crashes.size()) + " crashes" });
        }
    }
}

auto Ledger::check(const std::optional<TimeBounds> &bounds) const -> std::vector<Violation>
{
    auto violations = unasked_;
    for (const auto &[id, record] : records_) {
        checkRuns(record, violations);
        checkAnswer(record, violations);
        checkPlannedWork(record, violations);
        checkSilences(record, violations);
        checkStop(record, violations);
        checkResumption(record, violations);
        if (bounds) {
            checkBounds(record, *bounds, violations);
        }
    }
    if (bounds) {
        checkLimits(violations);
        checkBackoffs(violations);
        checkStatedLeavings(violations);
        checkBrittleness(violations);
        checkParts(violations);
    }
    checkVersions(violations);
    return violations;
}

auto Ledger::totals() const -> Totals
{
    Totals totals{ .sent = records_.size() };
    for (const auto &[id, record] : records_) {
        const auto status = record.ended ? record.ended->status : 0;
        totals.served += isSuccess(status) ? 1 : 0;
        totals.refused += saysNotRun(status) ? 1 : 0;
        totals.broken += status == 0 ? 1 : 0;
        totals.runs += record.runs.size();
    }
    for (const auto &[part, crashes] : crashes_) {
        totals.crashes += crashes.size();
    }
    return totals;
}

} // namespace auburnspread::soak
