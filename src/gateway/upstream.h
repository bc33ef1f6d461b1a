/// \file
/// The backend servers' side: runs attempts and judges their answers.

#pragma once

#include "core/base/failure.h"
#include "core/base/ids.h"
#include "core/passthrough/actions.h"
#include "gateway/payload.h"
#include "runtime/task/eventloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

struct AttemptFailure {
    Failure failure{};
    int status = 0;       ///< of the answer, if its head was received
    bool relayed = false; ///< events of this attempt were relayed
    std::string lastEventId;
};

struct UpstreamCallbacks {
    std::function<void(AttemptId attempt, bool goesToCaller)> onStarted; ///< head of an answer, or first event of a stream that is passed on
    /// With the head of an answer that says so: requests a second that the server takes from all entries; not set: any.
    std::function<void(AttemptId attempt, std::optional<double> perSecond)> onLimit;
    std::function<void(AttemptId attempt, int status, const http::Headers &headers)> onStreamBegun; ///< right before its first events
    std::function<void(AttemptId attempt, std::string_view events)> onEvents;
    std::function<void(AttemptId attempt)> onStreamEnded;
    std::function<void(AttemptId attempt, WholeAnswer answer)> onAnswer;
    std::function<void(AttemptId attempt, const AttemptFailure &failure)> onFailed;
};

class Upstream
{
public:
    Upstream(task::EventLoop &loop, UpstreamCallbacks callbacks);
    ~Upstream();
    Upstream(const Upstream &) = delete;
    auto operator=(const Upstream &) -> Upstream & = delete;

    /// Reports by the callbacks, never from within this call. \p callerId: that the answer must name.
    auto send(const passthrough::Send &order, const PayloadPointer &payload, const std::string &callerId) -> void;
    /// Closes the attempt's connection; nothing more is reported of it.
    auto cancel(AttemptId attempt) -> void;
    /// Fails attempts that are overdue.
    auto sweep(TimePoint now) -> void;
    /// Closes the idle connections to a server that has gone.
    auto closeIdle(const std::string &server) -> void;

    [[nodiscard]] auto attempts() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::gateway
