#include "core/retry/decision.h"

namespace auburnspread::retry
{

namespace
{

/// If a request fails on three backend servers, the request is more likely the cause than the servers.
constexpr std::uint32_t MaxRetries = 2;

/// A second run of a request that may not be repeated could repeat its effects, such as charge a deposit twice or
/// dispatch a second van. Only proof that the first run did not start rules that out; a timeout or a broken connection
/// proves nothing.
auto isSafe(const FailedRequest &failed) -> bool
{
    return failed.repeatable || provesNotStarted(failed.failure);
}

} // namespace

auto findRetryObstacle(const FailedRequest &failed, TimePoint now) -> std::optional<Reason>
{
    const auto lost = failed.answerBegun ? Reason::StreamBroken : Reason::BackendFailed;
    if (!isSafe(failed) || failed.retriesMade >= MaxRetries) {
        return lost;
    }
    if (failed.answerBegun && !failed.resumable) {
        return Reason::StreamBroken;
    }
    if (now >= failed.deadline) {
        return Reason::DeadlinePassed;
    }
    return std::nullopt;
}

} // namespace auburnspread::retry
