#include "core/retry/decision.h"

namespace auburnspread::retry
{

namespace
{

/// A request that fails everywhere is its own fault more likely than that of three backend servers.
constexpr std::uint32_t MostRetries = 2;

/// A second run of a request that may not be repeated bills a deposit twice or sends a second van. Only a proof that the first did
/// not begin rules that out; a timeout or a broken connection proves nothing.
auto isSafe(const Failed &failed) -> bool
{
    return failed.repeatable || provesNotStarted(failed.failure);
}

} // namespace

auto whyNoRetry(const Failed &failed, TimePoint now) -> std::optional<Reason>
{
    const auto lost = failed.answerBegun ? Reason::StreamBroken : Reason::BackendFailed;
    if (!isSafe(failed) || failed.retriesMade >= MostRetries) {
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
