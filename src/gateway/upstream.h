/// \file
/// HTTP client for backend servers: sends attempts and validates their responses.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/passthrough/actions.h"
#include "gateway/payload.h"
#include "runtime/memory/account.h"
#include "runtime/task/eventloop.h"
#include "wire/http/framing.h"
#include "wire/http/sendqueue.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

/// An attempt that was given up, and what was under way of its request.
struct CancelledAttempt {
    std::string callerId;
    std::string server;
    bool isAnswerBegun = false;
    std::size_t unwrittenBytes = 0;           ///< of the request, not in the socket
    std::optional<http::SendQueue> sendQueue; ///< not set: no connection, or the kernel does not tell
};

/// How the body of a response ended.
struct BodyEnd {
    http::Framing framing{};
    std::size_t partialEventBytes = 0; ///< bytes after the last complete event of a relayed stream
};

/// On one network segment, a connection is established within a millisecond. The retransmission of a lost first packet would
/// take a second, which is not waited for.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

/// Interval of the reviews of the attempts' timeouts.
constexpr Duration ReviewInterval = std::chrono::milliseconds(20);

struct AttemptFailure {
    Failure failure{};
    int status = 0;              ///< HTTP status of the response; 0 if no response head was received
    bool relayStarted = false;   ///< some events of the response were relayed
    std::string lastEventId;     ///< id of the last complete event; empty if there was none
    std::optional<BodyEnd> body; ///< not set if no response head was received
};

/// The server has sent nothing of a response for as long as the attempt's timeouts allow.
struct AttemptSilence {
    Failure timeout{}; ///< FirstTokenTimeout or ProgressTimeout
    Duration silentFor{};
    std::string lastEventId; ///< id of the last complete event; empty if there was none
};

struct UpstreamCallbacks {
    /// The response head was received or, for a relayed stream, its first event. \p isForwarded: the response is a relayed stream.
    std::function<void(AttemptId attempt, bool isForwarded)> onStarted;
    /// The response head states the rate limit of the server in requests per second, summed over all entries; not set: no limit.
    std::function<void(AttemptId attempt, std::optional<double> perSecond)> onRateLimit;
    /// The response head states how many rejections for want of room per second the service's servers bear; not set: any number.
    std::function<void(AttemptId attempt, std::optional<double> rejectionsPerSecond)> onBrittleness;
    /// The response head states that its server wants no requests.
    std::function<void(AttemptId attempt, const passthrough::ServerNotice &notice)> onNotice;
    std::function<void(AttemptId attempt, int status, const http::Headers &headers)> onStreamStarted; ///< called right before the first onEvents
    /// Bytes of a relayed stream: complete events, and at the end of the stream whatever follows the last one.
    std::function<void(AttemptId attempt, std::string_view events)> onEvents;
    /// A relayed stream was received completely.
    std::function<void(AttemptId attempt, const BodyEnd &body)> onStreamEnded;
    /// A complete response, of which nothing was relayed.
    std::function<void(AttemptId attempt, BufferedResponse response, const BodyEnd &body)> onResponse;
    std::function<void(AttemptId attempt, const AttemptFailure &failure)> onFailed;
    /// Called again and again while the silence lasts. The attempt goes on unless it is cancelled.
    std::function<void(AttemptId attempt, const AttemptSilence &silence)> onSilent;
    /// There is no room for the response, or it is too slow while others wait for room. The attempt goes on unless it is cancelled.
    std::function<void(AttemptId attempt)> onNoRoom;
};

class Upstream
{
public:
    /// \p account counts what is held of responses.
    Upstream(task::EventLoop &loop, memory::Account &account, UpstreamCallbacks callbacks);
    ~Upstream();
    Upstream(const Upstream &) = delete;
    auto operator=(const Upstream &) -> Upstream & = delete;

    /// Sends an attempt. Its result is reported through the callbacks, never from within this call. \p callerId: attempt id given
    /// by the caller, which the response must repeat.
    auto send(const passthrough::Send &action, const BufferedRequestPointer &message, const std::string &callerId) -> void;
    /// Sends a request to another entry, with the key and the other headers of its caller. Results are reported as for send().
    auto forward(const passthrough::Forward &action, const BufferedRequestPointer &message, const std::string &callerId) -> void;
    /// Closes the attempt's connection. No further callback is called for the attempt.
    /// \return nothing if the attempt has ended
    auto cancel(AttemptId attempt) -> std::optional<CancelledAttempt>;
    /// The same if the server can't have the whole request yet, so that it has not begun and never will.
    /// \return nothing if it may have begun, or if the attempt has ended
    auto cancelIncomplete(AttemptId attempt) -> std::optional<CancelledAttempt>;
    /// Reads nothing of the attempt's response for the time being. It does not count as silent meanwhile.
    auto setPaused(AttemptId attempt, bool isPaused) -> void;
    /// Fails the attempts that have exceeded their connect timeout, and reports those that have exceeded their first byte or progress
    /// timeout as silent. Must be called every ReviewInterval: a longer pause means that this process did not run, and extends all timeouts.
    auto reviewAttempts(TimePoint now) -> void;
    /// Closes the idle connections to a server, for one that was removed from the directory.
    auto closeIdleConnections(const std::string &server) -> void;

    [[nodiscard]] auto openAttempts() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::gateway
