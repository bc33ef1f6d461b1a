#include "wire/platform/internal/results.h"

#include "wire/platform/internal/codec.h"

#include <charconv>
#include <utility>

namespace auburnspread::platform::detail
{

namespace
{

constexpr int OkStatus = 200;
constexpr int FirstClientErrorStatus = 400;
constexpr int NotFoundStatus = 404;
constexpr int ConflictStatus = 409;
constexpr int LimitedStatus = 429;
constexpr int FirstServerErrorStatus = 500;

auto toFailure(const http::Error &error) -> Failure
{
    return { .step = error.step, .peer = error.peer, .text = "platform: " + error.text };
}

auto toFailure(const http::Response &response, const std::string &peer) -> Failure
{
    constexpr std::size_t LongestShown = 200;
    return { .step = http::Step::Receive,
             .status = response.status,
             .peer = peer,
             .text = "platform: " + peer + " answered " + std::to_string(response.status) + " " + response.body.substr(0, LongestShown) };
}

auto readIndex(const http::Response &response) -> std::uint64_t
{
    const auto text = http::findHeader(response.headers, "X-Consul-Index");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

/// What an answer without success says of a write. A server error may come after the write was handed on.
auto refusalVerdict(int status) -> Verdict
{
    if (status == ConflictStatus) {
        return Verdict::Conflict;
    }
    if (status == LimitedStatus) {
        return Verdict::Unavailable;
    }
    const auto isClientError = status >= FirstClientErrorStatus && status < FirstServerErrorStatus;
    return isClientError ? Verdict::Rejected : Verdict::Unknown;
}

/// A write's 200 has the body true, false or, for a transaction, an object.
auto successVerdict(std::string_view body) -> Verdict
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (answer.is_boolean()) {
        return answer.get<bool>() ? Verdict::Applied : Verdict::Conflict;
    }
    return answer.is_object() ? Verdict::Applied : Verdict::Unknown;
}

} // namespace

auto outcomeOf(const http::Result &result) -> CallOutcome
{
    const auto *response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status >= FirstServerErrorStatus) {
        return CallOutcome::Failed;
    }
    return response->status == LimitedStatus ? CallOutcome::Limited : CallOutcome::Answered;
}

auto toWriteResult(const http::Result &result, const std::string &peer) -> WriteResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return { .verdict = http::provesNotSent(*error) ? Verdict::Unavailable : Verdict::Unknown, .failure = toFailure(*error) };
    }
    const auto &response = std::get<http::Response>(result);
    const auto verdict = response.status == OkStatus ? successVerdict(response.body) : refusalVerdict(response.status);
    if (verdict == Verdict::Applied) {
        return { .verdict = verdict };
    }
    return { .verdict = verdict, .conflicts = parseConflicts(response.body), .failure = toFailure(response, peer) };
}

auto toReadResult(const http::Result &result, const std::string &peer) -> ReadResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return toFailure(*error);
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status == NotFoundStatus) {
        return Snapshot{ .index = readIndex(response) };
    }
    auto entries = response.status == OkStatus ? parseEntries(response.body) : std::nullopt;
    if (!entries) {
        return toFailure(response, peer);
    }
    return Snapshot{ .entries = std::move(*entries), .index = readIndex(response) };
}

auto toVmResult(const http::Result &result, const std::string &peer) -> VmResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return toFailure(*error);
    }
    const auto &response = std::get<http::Response>(result);
    auto vms = response.status == OkStatus ? parseVms(response.body) : std::nullopt;
    if (!vms) {
        return toFailure(response, peer);
    }
    return VmList{ .vms = std::move(*vms), .index = readIndex(response) };
}

auto toCreatedSession(const http::Result &result, const std::string &peer) -> SessionResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return { .failure = toFailure(*error) };
    }
    const auto &response = std::get<http::Response>(result);
    const auto id = response.status == OkStatus ? parseSessionId(response.body) : std::nullopt;
    if (!id) {
        return { .failure = toFailure(response, peer) };
    }
    return { .state = SessionState::Live, .id = *id };
}

auto toRenewedSession(const http::Result &result, const std::string &peer, const std::string &id) -> SessionResult
{
    if (const auto *error = std::get_if<http::Error>(&result)) {
        return { .failure = toFailure(*error) };
    }
    const auto &response = std::get<http::Response>(result);
    if (response.status == OkStatus) {
        return { .state = SessionState::Live, .id = id };
    }
    const auto state = response.status == NotFoundStatus ? SessionState::Gone : SessionState::Unknown;
    return { .state = state, .failure = toFailure(response, peer) };
}

} // namespace auburnspread::platform::detail
