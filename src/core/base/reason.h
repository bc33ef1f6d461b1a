/// \file
/// Reasons for refusing a request, and what the caller may conclude from the refusal. The names are published in the Auburnspread-Reason
/// header, in metrics, in logs and in `auburnspreadctl explain`.

#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace auburnspread
{

/// What the caller may conclude from a refusal.
enum class Outcome {
    NotRun,      ///< no byte of the request can have reached a backend server, or the server stated that it did not start the request
    MayHaveRun,  ///< a backend server may have executed the request, completely or in part
    Quarantined, ///< the request is withheld because it crashed backend servers; it will not run
};

enum class Reason {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    UnknownWorkspace,
    UnknownClass,
    UnknownModel,
    UnknownService,
    ForbiddenClass,
    ForbiddenVersion,
    TooManyConnections,
    WorkspaceRequestRate,
    WorkspaceTokenRate,
    WorkspaceConcurrency,
    QueueFull,
    Shed,
    DeadlineUnreachable,
    DeadlinePassed,
    NoBackendServer,
    ServersUnreachable,
    BackendLimited,
    BackendBackoff,
    BackendFailed,
    RetryBudget,
    StreamBroken,
    Draining,
    NoConfiguration,
    ClaimUnavailable,
    DuplicateRequest,
    Quarantined,
    CallerGone,
    UnknownRoute,
    UnknownKey,
    StaleConfiguration,
    VersionUnknown,
    VersionGone,
    MemoryFull,
    RequestTooSlow,
    InternalError,
};

/// Published properties of a reason.
struct ReasonInfo {
    Reason reason;
    std::string_view name;        ///< published name
    int status;                   ///< HTTP status of a refusal before the first byte
    bool retryHelps;              ///< whether a retry can succeed, so that Retry-After is sent
    std::string_view explanation; ///< one sentence for operators: the cause and what to do
};

auto reasonTable() -> std::span<const ReasonInfo>;
auto reasonInfo(Reason reason) -> const ReasonInfo &;
auto reasonFromName(std::string_view name) -> std::optional<Reason>;

auto outcomeName(Outcome outcome) -> std::string_view;
auto outcomeFromName(std::string_view name) -> std::optional<Outcome>;

} // namespace auburnspread
