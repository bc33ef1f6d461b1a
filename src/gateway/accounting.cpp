#include "gateway/accounting.h"

#include "core/base/failure.h"
#include "core/base/reason.h"
#include "runtime/logging/logging.h"
#include "runtime/metrics/prometheus.h"

#include <chrono>
#include <string>
#include <vector>

namespace auburnspread::gateway
{

namespace
{

using logging::event;
using logging::Level;

auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto wholeMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Numbers separated by spaces.
auto listOf(std::span<const std::uint64_t> numbers) -> std::string
{
    std::string list;
    for (const auto number : numbers) {
        list += (list.empty() ? "" : " ") + std::to_string(number);
    }
    return list;
}

auto declareKeptAttempts(metrics::Registry &registry) -> metrics::EnumCounters<passthrough::KeptBecause>
{
    constexpr metrics::Description Kept{ .name = "auburnspread_silent_attempts_kept_total",
                                         .help = "Attempts on silent servers that no other server was given as well." };
    std::vector<std::string_view> names;
    for (const auto &item : passthrough::keptBecauseTable()) {
        names.push_back(item.name);
    }
    return metrics::declareCounters<passthrough::KeptBecause>(registry, Kept, "reason", names);
}

auto closeCauseNames() -> std::vector<std::string_view>
{
    const auto names = namesOf(memory::CloseCauseNames);
    return { names.begin(), names.end() };
}

} // namespace

Accounting::Accounting()
    : refusals_(metrics::declareRefusals(registry_))
    , failures_(metrics::declareAttemptFailures(registry_))
    , retries_(metrics::declareRetries(registry_))
    , sends_(registry_.counter({ .name = "auburnspread_sends_total", .help = "Attempts sent to backend servers." }))
    , keptAttempts_(declareKeptAttempts(registry_))
    , trials_(registry_.counter({ .name = "auburnspread_trials_total", .help = "Attempts whose server was chosen because a prompt part is suspected." }))
    , suspectsAccused_(registry_.counter({ .name = "auburnspread_crashes_counted_total", .help = "Crashes counted against a request or prompt part." }))
    , suspectsCleared_(registry_.counter({ .name = "auburnspread_suspects_cleared_total", .help = "Suspected requests and prompt parts that proved sound." }))
    , suspectsQuarantined_(
          registry_.counter({ .name = "auburnspread_suspects_quarantined_total", .help = "Crashes that put a request or prompt part into quarantine." }))
    , replacements_(registry_.counter(
          { .name = "auburnspread_silent_attempts_replaced_total", .help = "Requests that were served by another server after theirs had fallen silent." }))
    , forwards_(registry_.counter({ .name = "auburnspread_forwards_total", .help = "Requests that were forwarded to another entry." }))
    , probes_(registry_.counter({ .name = "auburnspread_connect_probes_total", .help = "Connections to backend servers that were tried without a request." }))
    , deliveredResponses_(registry_.counter({ .name = "auburnspread_answers_total", .help = "Answers of backend servers that were passed on whole." }))
    , abortedResponses_(registry_.counter({ .name = "auburnspread_broken_answers_total", .help = "Answers that were begun and broken off." }))
    , callersGone_(registry_.counter({ .name = "auburnspread_callers_gone_total", .help = "Callers that left before their answer was complete." }))
    , cancelledAttempts_(
          registry_.counter({ .name = "auburnspread_cancelled_attempts_total", .help = "Attempts given up, as nobody waited for their result." }))
    , unconfirmedCancellations_(registry_.counter(
          { .name = "auburnspread_unconfirmed_cancellations_total", .help = "Attempts given up before their server had confirmed the whole request." }))
    , firstByte_(registry_.histogram({ .name = "auburnspread_first_byte_seconds", .help = "From arrival to the first byte of the answer." }))
    , responseTime_(registry_.histogram({ .name = "auburnspread_answer_seconds", .help = "From arrival to the end of the answer." }))
    , droppedLogLines_(registry_.counter({ .name = "auburnspread_log_lines_dropped_total", .help = "Log lines dropped because their reader stood still." }))
    , waiting_(registry_.gauge({ .name = "auburnspread_waiting_requests", .help = "Requests that wait for a backend server." }))
    , inFlight_(registry_.gauge({ .name = "auburnspread_attempts_in_flight", .help = "Attempts under way." }))
    , backendServers_(registry_.gauge({ .name = "auburnspread_backend_servers", .help = "Backend servers in the list." }))
    , limitedServers_(registry_.gauge({ .name = "auburnspread_limited_servers", .help = "Backend servers that named a limit on their requests." }))
    , serversInBackoff_(
          registry_.gauge({ .name = "auburnspread_servers_in_backoff", .help = "Backend servers that asked this entry for a pause that has not ended." }))
    , servicesCutOff_(registry_.gauge({ .name = "auburnspread_services_cut_off", .help = "Services whose backend servers this entry can't reach." }))
    , aliveEntries_(registry_.gauge({ .name = "auburnspread_entries", .help = "Entries that are alive." }))
    , configurationVersion_(registry_.gauge({ .name = "auburnspread_configuration_version", .help = "Version in force here." }))
    , configurationAge_(registry_.gauge({ .name = "auburnspread_configuration_age_seconds", .help = "Since the configuration was last confirmed." }))
    , invalidInputs_(registry_.counter({ .name = "auburnspread_invalid_inputs_total", .help = "Documents, registrations and messages that made no sense." }))
    , documentPartFailures_(registry_.counter(
          { .name = "auburnspread_configuration_part_failures_total", .help = "Parts of a configuration that did not come from another entry." }))
    , oldDataReads_(
          registry_.counter({ .name = "auburnspread_old_data_reads_total", .help = "Reads of the store because no other entry had recent data of it." }))
    , storeCalls_(registry_.gauge({ .name = "auburnspread_store_calls", .help = "Calls to the platform's store since the start." }))
    , heldBytes_(registry_.gauge({ .name = "auburnspread_held_bytes", .help = "Bytes held for callers, backend servers and other entries." }))
    , heldBytesLimit_(registry_.gauge({ .name = "auburnspread_held_bytes_limit", .help = "Bytes that may be held, from the memory of the VM." }))
    , callerConnections_(registry_.gauge({ .name = "auburnspread_caller_connections", .help = "Open connections of callers." }))
    , readPauses_(registry_.counter({ .name = "auburnspread_read_pauses_total", .help = "Messages that were not read further until there was room." }))
    , acceptPauses_(registry_.counter(
          { .name = "auburnspread_accept_pauses_total", .help = "Times that no caller was accepted, for want of connections or descriptors." }))
    , idleClosed_(registry_.counter({ .name = "auburnspread_callers_closed_for_another_total",
                                      .help = "Connections closed at the limit, as they were idle or their request incomplete." }))
    , closedForMemory_(metrics::declareCounters<memory::CloseCause>(
          registry_,
          { .name = "auburnspread_closed_for_memory_total", .help = "Connections closed, or their requests refused, for want of memory." },
          "reason",
          closeCauseNames()))
    , leaderToken_(registry_.gauge({ .name = "auburnspread_leader_token", .help = "Fencing token of this entry's term as leader; 0: it does not lead." }))
    , usageReports_(registry_.counter({ .name = "auburnspread_usage_reports_total", .help = "Windows whose usage this entry sent, repeats included." }))
    , serverOrders_(registry_.counter({ .name = "auburnspread_server_orders_total", .help = "Orders of backend servers that this entry gave." }))
{
}

auto Accounting::attemptSent(const RequestLogContext &context, const passthrough::Send &action) -> void
{
    sends_.add();
    if (action.trialOf != 0) {
        trials_.add();
    }
    if (action.repeatedAfter) {
        retries_.add(*action.repeatedAfter);
    }
    event(Level::Info,
          "sent",
          { { "request", context.request },
            { "peer", action.server },
            { "attempt", static_cast<std::uint64_t>(action.attempt) },
            { "rank", action.rank },
            { "repeat", action.isRepeat },
            { "resumed_after", action.lastEventId },
            { "resumes", action.resumedAttempt },
            { "version", action.version.name },
            { "held_to_version", action.isHeldToVersion },
            { "estimated_start_ms", wholeMilliseconds(action.estimatedStart) },
            { "prompt_tokens", action.promptTokens },
            { "unread_tokens", action.unreadTokens },
            { "fetched_tokens", action.fetchedTokens },
            { "requests_before", action.requestsBefore },
            { "tokens_before", action.tokensBefore },
            { "room_tokens", action.roomTokens },
            { "waiting_tokens", action.waitingTokens },
            { "preference", action.preference },
            { "trial_of", action.trialOf },
            { "remaining_ms", wholeMilliseconds(action.remaining) },
            { "configuration", context.configurationVersion },
            { "configuration_age_ms", wholeMilliseconds(context.configurationAge) },
            { "servers_age_ms", wholeMilliseconds(context.serversAge) } });
}

auto Accounting::requestForwarded(const RequestLogContext &context, const passthrough::Forward &action) -> void
{
    forwards_.add();
    event(Level::Info,
          "forwarded",
          { { "request", context.request },
            { "peer", action.peer },
            { "attempt", static_cast<std::uint64_t>(action.attempt) },
            { "service", action.service },
            { "reason", passthrough::forwardCauseName(action.cause) },
            { "failed_servers", action.failedServers },
            { "silent_ms", wholeMilliseconds(action.silentFor) },
            { "sends", action.sends },
            { "resumed_after", action.lastEventId },
            { "remaining_ms", wholeMilliseconds(action.remaining) },
            { "servers_age_ms", wholeMilliseconds(context.serversAge) } });
}

auto Accounting::originResolved(const RequestLogContext &context, const passthrough::OriginResolved &change) -> void
{
    event(Level::Info,
          "stream-origin",
          { { "request", context.request },
            { "resumes", change.resumedAttempt },
            { "source", passthrough::originSourceName(change.source) },
            { "service", change.origin.service },
            { "version", change.origin.version.name },
            { "after_ms", wholeMilliseconds(change.after) },
            { "servers_age_ms", wholeMilliseconds(change.listAge) },
            { "history_ms", wholeMilliseconds(change.history) } });
}

auto Accounting::attemptFailed(const RequestLogContext &context, std::string_view server, const AttemptFailure &failure, Duration elapsed) -> void
{
    failures_.add(failure.failure);
    event(Level::Info,
          "attempt-failed",
          { { "request", context.request },
            { "peer", server },
            { "reason", failureName(failure.failure) },
            { "status", failure.status },
            { "answer_begun", failure.relayStarted },
            { "last_event", failure.lastEventId },
            { "framing", failure.body ? http::framingName(failure.body->framing) : "" },
            { "partial_event_bytes", failure.body ? failure.body->partialEventBytes : 0 },
            { "fingerprint", static_cast<std::uint64_t>(context.fingerprint) },
            { "parts", listOf(context.sharedParts) },
            { "after_ms", wholeMilliseconds(elapsed) },
            { "servers_age_ms", wholeMilliseconds(context.serversAge) } });
}

auto Accounting::attemptCancelled(const CancelledAttempt &attempt, Duration elapsed) -> void
{
    const auto unsent = attempt.sendQueue ? static_cast<std::int64_t>(attempt.sendQueue->unsent) : -1;
    const auto unconfirmed = attempt.sendQueue ? static_cast<std::int64_t>(attempt.sendQueue->unconfirmed) : -1;
    cancelledAttempts_.add();
    if (unconfirmed > 0) {
        unconfirmedCancellations_.add();
    }
    event(Level::Info,
          "attempt-cancelled",
          { { "request", attempt.callerId },
            { "peer", attempt.server },
            { "answer_begun", attempt.isAnswerBegun },
            { "unwritten_bytes", attempt.unwrittenBytes },
            { "unsent_bytes", unsent },
            { "unconfirmed_bytes", unconfirmed },
            { "after_ms", wholeMilliseconds(elapsed) } });
}

auto Accounting::silenceJudged(const RequestLogContext &context, const passthrough::SilenceJudged &action) -> void
{
    if (action.keptBecause) {
        keptAttempts_.add(*action.keptBecause);
    }
    event(Level::Info,
          "attempt-silent",
          { { "request", context.request },
            { "peer", action.server },
            { "attempt", static_cast<std::uint64_t>(action.attempt) },
            { "timeout", failureName(action.timeout) },
            { "silent_ms", wholeMilliseconds(action.silentFor) },
            { "others_silent_ms", action.othersSilentFor ? wholeMilliseconds(*action.othersSilentFor) : -1 },
            { "sent_elsewhere", !action.keptBecause },
            { "kept_because", action.keptBecause ? keptBecauseName(*action.keptBecause) : "" },
            { "servers_age_ms", wholeMilliseconds(context.serversAge) } });
}

auto Accounting::attemptPreferred(const RequestLogContext &context, const passthrough::AttemptPreferred &action) -> void
{
    if (action.isReplacement) {
        replacements_.add();
    }
    event(Level::Info,
          "attempt-preferred",
          { { "request", context.request },
            { "peer", action.server },
            { "attempt", static_cast<std::uint64_t>(action.attempt) },
            { "is_replacement", action.isReplacement } });
}

auto Accounting::lateRequestJudged(const RequestLogContext &context, const passthrough::LateRequestJudged &action) -> void
{
    event(Level::Info,
          "late-request",
          { { "request", context.request },
            { "route", action.route },
            { "accepted", passthrough::isAccepted(action) },
            { "remaining_ms", wholeMilliseconds(action.remaining) },
            { "time_limit_ms", wholeMilliseconds(action.timeLimit) } });
}

auto Accounting::requestRefused(const RequestLogContext &context, const passthrough::Refuse &refusal) -> void
{
    refusals_.add(refusal.reason);
    event(Level::Info,
          "refused",
          { { "request", context.request },
            { "reason", reasonInfo(refusal.reason).name },
            { "outcome", outcomeName(refusal.outcome) },
            { "status", refusal.status },
            { "retry_after_ms", wholeMilliseconds(refusal.retryAfter.value_or(Duration::zero())) },
            { "peer", refusal.peer },
            { "parts", listOf(context.sharedParts) },
            { "configuration", context.configurationVersion },
            { "configuration_age_ms", wholeMilliseconds(refusal.informationAge) } });
}

auto Accounting::badRequestRefused(std::string_view step, std::string_view detail) -> void
{
    refusals_.add(Reason::BadRequest);
    event(Level::Info, "refused", { { "step", step }, { "reason", reasonInfo(Reason::BadRequest).name }, { "detail", detail } });
}

auto Accounting::responseDelivered(const RequestLogContext &context, const DeliveredResponse &response) -> void
{
    deliveredResponses_.add();
    firstByte_.observe(response.firstByte);
    responseTime_.observe(response.total);
    event(Level::Info,
          "answered",
          { { "request", context.request },
            { "peer", response.server },
            { "status", response.status },
            { "framing", http::framingName(response.body.framing) },
            { "partial_event_bytes", response.body.partialEventBytes },
            { "first_byte_ms", toMilliseconds(response.firstByte) },
            { "answer_ms", toMilliseconds(response.total) } });
}

auto Accounting::responseAborted(const RequestLogContext &context, const passthrough::AbortAnswer &action) -> void
{
    abortedResponses_.add();
    event(Level::Warning, "answer-broken-off", { { "request", context.request }, { "reason", reasonInfo(action.reason).name }, { "peer", action.peer } });
}

auto Accounting::callerGone(const RequestLogContext &context, Duration elapsed, Duration behind) -> void
{
    callersGone_.add();
    event(
        Level::Info, "caller-gone", { { "request", context.request }, { "after_ms", wholeMilliseconds(elapsed) }, { "behind_ms", wholeMilliseconds(behind) } });
}

auto Accounting::requestAbandoned(std::string_view request) -> void
{
    callersGone_.add();
    event(Level::Info, "request-abandoned", { { "request", request } });
}

auto Accounting::requestCut(const RequestLogContext &context, const CutRequest &cut) -> void
{
    event(Level::Warning,
          "request-cut",
          { { "request", context.request },
            { "peer", cut.server },
            { "attempts", cut.attempts },
            { "response_started", cut.responseStarted },
            { "age_ms", wholeMilliseconds(cut.age) },
            { "after_signal_ms", wholeMilliseconds(cut.arrivedAfterSignal) } });
}

auto Accounting::responsesCut(std::size_t count) -> void
{
    event(Level::Warning, "responses-cut", { { "count", count } });
}

auto Accounting::leavingStarted(std::string_view entry, Duration signalAge) -> void
{
    event(Level::Info, "leaving", { { "entry", entry }, { "signal_age_ms", wholeMilliseconds(signalAge) } });
}

auto Accounting::configurationAdopted(std::uint64_t version, std::size_t bytes, std::size_t routes, std::size_t workspaces) -> void
{
    event(Level::Info, "configuration-adopted", { { "configuration", version }, { "bytes", bytes }, { "routes", routes }, { "workspaces", workspaces } });
}

auto Accounting::configurationOffered(StoreRevision revision) -> void
{
    event(Level::Info, "configuration-offered", { { "era", revision.era }, { "revision", revision.number } });
}

auto Accounting::storeRestored(std::uint64_t era) -> void
{
    event(Level::Warning, "store-restored", { { "era", era } });
}

auto Accounting::documentPartFailed(std::string_view peer, std::string_view detail) -> void
{
    documentPartFailures_.add();
    event(Level::Warning, "configuration-part-failed", { { "peer", peer }, { "detail", detail } });
}

auto Accounting::serversChanged(std::string_view change, const passthrough::Server &server) -> void
{
    event(Level::Info,
          "backend-server-changed",
          { { "peer", server.id }, { "change", change }, { "service", server.service }, { "version", server.version.name } });
}

auto Accounting::entriesChanged(std::size_t entries) -> void
{
    event(Level::Info, "entries-changed", { { "entries", entries } });
}

auto Accounting::dependencyStateChanged(std::string_view peer, bool reachable, std::string_view step, std::string_view detail) -> void
{
    event(reachable ? Level::Info : Level::Warning,
          reachable ? "dependency-regained" : "dependency-lost",
          { { "peer", peer }, { "step", step }, { "detail", detail } });
}

auto Accounting::roleChanged(bool readsStore, std::size_t readers) -> void
{
    event(Level::Info, "role-changed", { { "reads_store", readsStore }, { "readers", readers } });
}

auto Accounting::oldDataRead(Duration configurationAge, Duration serversAge) -> void
{
    oldDataReads_.add();
    event(Level::Info,
          "old-data-read",
          { { "step", "read-store" }, { "configuration_age_ms", wholeMilliseconds(configurationAge) }, { "servers_age_ms", wholeMilliseconds(serversAge) } });
}

auto Accounting::inputInvalid(std::string_view source, std::string_view detail) -> void
{
    invalidInputs_.add();
    event(Level::Error, "input-invalid", { { "step", source }, { "detail", detail } });
}

auto Accounting::cacheListed(const passthrough::CacheListed &listed) -> void
{
    std::uint64_t tokens = 0;
    for (const auto &part : listed.parts) {
        tokens += part.tokens;
    }
    event(Level::Info, "cache-listed", { { "peer", listed.server }, { "parts", listed.parts.size() }, { "tokens", tokens } });
}

auto Accounting::cacheNotListed(std::string_view server, std::string_view detail) -> void
{
    event(Level::Warning, "cache-not-listed", { { "peer", server }, { "detail", detail } });
}

auto Accounting::crashCounted(const passthrough::ReportCrashes &crashes) -> void
{
    const auto isCleared = crashes.incidents.empty();
    const auto isPart = crashes.suspect.kind == passthrough::SuspectKind::PromptPart;
    (isCleared ? suspectsCleared_ : suspectsAccused_).add();
    if (crashes.isQuarantined) {
        suspectsQuarantined_.add();
    }
    event(Level::Warning,
          isCleared ? "crashes-cleared" : "crash-counted",
          { { isPart ? "part" : "fingerprint", crashes.suspect.id },
            { "crashes", crashes.incidents.size() },
            { "peer", isCleared ? std::string() : crashes.incidents.back().server },
            { "quarantined", crashes.isQuarantined },
            { "since_first_ms", wholeMilliseconds(crashes.firstIncidentAge) } });
}

auto Accounting::serverLimitChanged(const passthrough::RateLimitChanged &change) -> void
{
    event(Level::Info,
          "server-limit-changed",
          { { "peer", change.server },
            { "limited", change.perSecond.has_value() },
            { "requests_per_second", change.perSecond.value_or(0) },
            { "stated_ms_ago", wholeMilliseconds(change.age) },
            { "sharing_entries", change.sharers },
            { "shares", change.isSharer } });
}

auto Accounting::brittlenessChanged(const passthrough::BrittlenessChanged &change) -> void
{
    event(Level::Info,
          "server-brittleness-changed",
          { { "peer", change.server },
            { "service", change.service },
            { "brittle", change.rejectionsPerSecond.has_value() },
            { "rejections_per_second", change.rejectionsPerSecond.value_or(0) },
            { "may_fill", change.mayFill } });
}

auto Accounting::serverNoticed(const passthrough::NoticeApplied &action, Duration serversAge) -> void
{
    event(Level::Info,
          "server-notice",
          { { "peer", action.server },
            { "leaving", action.notice.isLeaving },
            { "backoff_ms", wholeMilliseconds(action.notice.backoff.value_or(Duration::zero())) },
            { "servers_age_ms", wholeMilliseconds(serversAge) } });
}

auto Accounting::reachabilityChanged(const passthrough::ReachabilityChanged &change, Duration serversAge) -> void
{
    servicesCutOff_.add(change.isReachable ? -1 : 1);
    event(change.isReachable ? Level::Info : Level::Warning,
          "reachability-changed",
          { { "service", change.service },
            { "reachable", change.isReachable },
            { "servers", change.servers.size() },
            { "failed_servers", change.failedServers },
            { "silent_ms", wholeMilliseconds(change.silentFor) },
            { "servers_age_ms", wholeMilliseconds(serversAge) } });
}

auto Accounting::serverProbed() -> void
{
    probes_.add();
}

auto Accounting::readinessChanged(bool ready, std::string_view reason) -> void
{
    event(Level::Info, "readiness-changed", { { "ready", ready }, { "reason", reason } });
}

auto Accounting::leadershipChanged(bool leads, std::uint64_t token, std::string_view reason) -> void
{
    leaderToken_.set(leads ? static_cast<double>(token) : 0);
    event(Level::Info, "leadership-changed", { { "leads", leads }, { "token", token }, { "reason", reason } });
}

auto Accounting::usageReported(std::int64_t window, std::string_view outcome, std::uint64_t requests) -> void
{
    usageReports_.add();
    event(Level::Info, "usage-reported", { { "window", window }, { "outcome", outcome }, { "requests", requests } });
}

auto Accounting::serversOrdered(const ordering::Order &order, std::string_view outcome, double neededServers) -> void
{
    serverOrders_.add();
    event(Level::Info,
          "servers-ordered",
          { { "service", order.service },
            { "failure_domain", order.failureDomain },
            { "kind", ordering::kindName(order.kind) },
            { "count", order.count },
            { "outcome", outcome },
            { "needed_servers", neededServers } });
}

auto Accounting::updateMemory(const MemoryStatus &memory) -> void
{
    heldBytes_.set(static_cast<double>(memory.heldBytes));
    heldBytesLimit_.set(static_cast<double>(memory.limitBytes));
    callerConnections_.set(static_cast<double>(memory.callerConnections));
    readPauses_.add(memory.pauses - lastMemory_.pauses);
    acceptPauses_.add(memory.callers.acceptPauses - lastMemory_.callers.acceptPauses);
    idleClosed_.add(memory.callers.idleClosed - lastMemory_.callers.idleClosed);
    for (const auto &[cause, name] : memory::CloseCauseNames) {
        const auto index = static_cast<std::size_t>(cause);
        closedForMemory_.add(cause, memory.closed.at(index) - lastMemory_.closed.at(index));
    }
    lastMemory_ = memory;
}

auto Accounting::metricsPage(const passthrough::RouterStatus &status, std::uint32_t serversInBackoff, std::uint64_t storeCalls, const MemoryStatus &memory)
    -> std::string
{
    updateMemory(memory);
    droppedLogLines_.add(logging::droppedLines() - droppedLogLines_.value());
    waiting_.set(status.waiting);
    inFlight_.set(status.inFlight);
    backendServers_.set(status.servers);
    limitedServers_.set(status.limitedServers);
    serversInBackoff_.set(serversInBackoff);
    aliveEntries_.set(status.entries);
    configurationVersion_.set(static_cast<double>(status.configurationVersion));
    configurationAge_.set(std::chrono::duration<double>(status.configurationAge).count());
    storeCalls_.set(static_cast<double>(storeCalls));
    return metrics::formatPrometheus(registry_.snapshot());
}

} // namespace auburnspread::gateway
