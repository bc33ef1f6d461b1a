#include "core/base/reason.h"

#include "core/base/nametable.h"

#include <array>

namespace auburnspread
{

namespace
{

constexpr int BadRequestStatus = 400;
constexpr int UnauthorizedStatus = 401;
constexpr int NotFoundStatus = 404;
constexpr int RequestTimeoutStatus = 408;
constexpr int ConflictStatus = 409;
constexpr int TooLargeStatus = 413;
constexpr int QuarantinedStatus = 422;
constexpr int LimitedStatus = 429;
constexpr int InternalStatus = 500;
constexpr int UnavailableStatus = 503;
constexpr int TimeoutStatus = 504;

constexpr auto Reasons = std::to_array<ReasonInfo>({
    { Reason::BadRequest, "bad-request", BadRequestStatus, false, "The request is malformed; the detail names the field. The caller must change it." },
    { Reason::HeaderTooLarge, "header-too-large", BadRequestStatus, false, "The header block exceeds limits.header_bytes." },
    { Reason::BodyTooLarge, "body-too-large", TooLargeStatus, false, "The body exceeds limits.body_bytes." },
    { Reason::UnknownWorkspace, "unknown-workspace", NotFoundStatus, false, "No workspace of this name is in the configuration in force." },
    { Reason::UnknownClass, "unknown-class", NotFoundStatus, false, "No request class of this name is in the configuration in force." },
    { Reason::UnknownModel, "unknown-model", NotFoundStatus, false, "No model of this name is in the configuration in force." },
    { Reason::UnknownService, "unknown-service", NotFoundStatus, false, "No plain service of this name is in the configuration in force." },
    { Reason::ForbiddenClass, "forbidden-class", BadRequestStatus, false, "The workspace may not use this class; its list is in the configuration." },
    { Reason::ForbiddenVersion, "forbidden-version", BadRequestStatus, false, "The class may not use this model, version or adapter." },
    { Reason::TooManyConnections, "too-many-connections", UnavailableStatus, true, "The entry holds limits.connections connections already." },
    { Reason::WorkspaceRequestRate, "workspace-request-rate", LimitedStatus, true, "The workspace sends more requests a second than its limit." },
    { Reason::WorkspaceTokenRate, "workspace-token-rate", LimitedStatus, true, "The workspace uses more tokens a second than its limit." },
    { Reason::WorkspaceConcurrency, "workspace-concurrency", LimitedStatus, true, "The workspace has as many requests open as its limit allows." },
    { Reason::QueueFull, "queue-full", UnavailableStatus, true, "The queue is full of requests of the same or a higher tier." },
    { Reason::Shed, "shed", UnavailableStatus, true, "Evicted from the queue to make room for a higher tier." },
    { Reason::DeadlineUnreachable,
      "deadline-unreachable",
      UnavailableStatus,
      true,
      "Observed waiting and answer times say the target cannot be met; refused before any work." },
    { Reason::DeadlinePassed, "deadline-passed", TimeoutStatus, true, "The deadline passed before the answer was complete." },
    { Reason::NoBackendServer,
      "no-backend-server",
      UnavailableStatus,
      true,
      "No live backend server carries this model, version and adapter, or this service." },
    { Reason::ServersUnreachable,
      "servers-unreachable",
      503,
      true,
      "This entry can't reach the backend servers of the service, and the request was forwarded to it by another entry, so that it is not forwarded again: see "
      "reachability-changed in the log." },
    { Reason::BackendLimited,
      "backend-limited",
      UnavailableStatus,
      true,
      "Each backend server that could take the request has named a limit on its requests, and they are used up." },
    { Reason::BackendBackoff,
      "backend-backoff",
      UnavailableStatus,
      true,
      "Each backend server that could take the request has asked for a pause; Retry-After states when the first one ends." },
    { Reason::BackendFailed, "backend-failed", UnavailableStatus, true, "The backend server failed and the request could not be tried again elsewhere." },
    { Reason::RetryBudget, "retry-budget", UnavailableStatus, true, "A retry was due but the retry budget is used up: backend servers fail widely." },
    { Reason::StreamBroken, "stream-broken", UnavailableStatus, true, "The stream broke after its first byte and no backend server could resume it." },
    { Reason::Draining, "draining", UnavailableStatus, true, "The entry is leaving; ask /v1/entries for another." },
    { Reason::NoConfiguration, "no-configuration", UnavailableStatus, true, "The entry has no configuration in force yet." },
    { Reason::ClaimUnavailable,
      "claim-unavailable",
      UnavailableStatus,
      true,
      "A non-repeatable request could not be claimed: the platform's service does not answer." },
    { Reason::DuplicateRequest, "duplicate-request", ConflictStatus, false, "A request with this idempotency key was already accepted; it runs at most once." },
    { Reason::Quarantined, "quarantined", QuarantinedStatus, false, "Equal requests crashed backend servers; an operator can release the fingerprint." },
    { Reason::CallerGone, "caller-gone", UnavailableStatus, false, "The caller closed its connection before the answer was complete." },
    { Reason::UnknownRoute, "unknown-route", NotFoundStatus, false, "No route of the configuration in force has this host and a prefix of this path." },
    { Reason::UnknownKey, "unknown-key", UnauthorizedStatus, false, "No workspace of the configuration in force has this key." },
    { Reason::StaleConfiguration,
      "stale-configuration",
      UnavailableStatus,
      true,
      "The entry could not confirm its configuration lately, so a key may have been taken away; the age is in the log." },
    { Reason::VersionUnknown,
      "version-unknown",
      UnavailableStatus,
      true,
      "A stream is taken up again and no entry knows which software version began it; its parts must not be of two versions." },
    { Reason::VersionGone,
      "version-gone",
      UnavailableStatus,
      false,
      "A stream is taken up again and no backend server of the software version that began it takes requests." },
    { Reason::MemoryFull,
      "memory-full",
      UnavailableStatus,
      true,
      "The process holds as many bytes for callers and backend servers as its memory allows: see connection-closed-for-memory in the log." },
    { Reason::RequestTooSlow, "request-too-slow", RequestTimeoutStatus, true, "The request arrived so slowly that others waited for the memory that it used." },
    { Reason::InternalError, "internal-error", InternalStatus, false, "A defect of the router; the log line with this request id has the step." },
});

constexpr auto Outcomes = std::to_array<NamedValue<Outcome>>({
    { Outcome::NotRun, "not-run" },
    { Outcome::MayHaveRun, "may-have-run" },
    { Outcome::Quarantined, "quarantined" },
});

} // namespace

auto reasonTable() -> std::span<const ReasonInfo>
{
    return Reasons;
}

auto reasonInfo(Reason reason) -> const ReasonInfo &
{
    return Reasons.at(static_cast<std::size_t>(reason));
}

auto reasonFromName(std::string_view name) -> std::optional<Reason>
{
    for (const auto &entry : Reasons) {
        if (entry.name == name) {
            return entry.reason;
        }
    }
    return std::nullopt;
}

auto outcomeName(Outcome outcome) -> std::string_view
{
    return findName(Outcomes, outcome);
}

auto outcomeFromName(std::string_view name) -> std::optional<Outcome>
{
    return findValue(Outcomes, name);
}

} // namespace auburnspread
