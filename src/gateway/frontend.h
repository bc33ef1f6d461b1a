/// \file
/// The callers' side: reads whole requests, writes answers, notices callers that leave.

#pragma once

#include "core/base/ids.h"
#include "core/passthrough/configuration.h"
#include "gateway/payload.h"
#include "runtime/task/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

struct FrontendCallbacks {
    std::function<void(RequestId request, PayloadPointer payload)> onRequest;
    std::function<void(RequestId request)> onGone;                                      ///< before its answer was complete
    std::function<void(std::string_view step, std::string_view detail)> onRefusedInput; ///< answered here with 400
};

class Frontend
{
public:
    Frontend(task::EventLoop &loop, FrontendCallbacks callbacks);
    ~Frontend();
    Frontend(const Frontend &) = delete;
    auto operator=(const Frontend &) -> Frontend & = delete;

    /// Throws std::runtime_error.
    auto listen(const std::string &address) -> void;
    /// Port that listen() took.
    [[nodiscard]] auto address() const -> std::string;
    auto setLimits(const passthrough::CallerLimits &limits) -> void;

    /// From now on each answer is the last on its connection.
    auto closeAfterAnswers() -> void;

    /// \name Answers; unknown requests, whose callers have gone, are ignored
    /// @{
    auto answer(RequestId request, const WholeAnswer &answer) -> void;
    auto beginStream(RequestId request, int status, const http::Headers &headers) -> void;
    auto writeStream(RequestId request, std::string_view bytes) -> void;
    auto endStream(RequestId request) -> void;
    /// Closes the connection, so that what was sent can't be taken for complete.
    auto breakOff(RequestId request) -> void;
    /// @}

    /// Requests without a complete answer.
    [[nodiscard]] auto openRequests() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::gateway
