/// \file
/// Callbacks for tests of Upstream that look at some of them only.

#pragma once

#include "gateway/upstream.h"

#include <optional>
#include <string_view>

namespace auburnspread::gateway::tests
{

/// Callbacks that do nothing.
inline auto ignoringCallbacks() -> UpstreamCallbacks
{
    return {
        .onStarted = [](AttemptId, bool) {},
        .onRateLimit = [](AttemptId, std::optional<double>) {},
        .onBrittleness = [](AttemptId, std::optional<double>) {},
        .onNotice = [](AttemptId, const passthrough::ServerNotice &) {},
        .onStreamStarted = [](AttemptId, int, const http::Headers &) {},
        .onEvents = [](AttemptId, std::string_view) {},
        .onStreamEnded = [](AttemptId, const BodyEnd &) {},
        .onResponse = [](AttemptId, const BufferedResponse &, const BodyEnd &) {},
        .onFailed = [](AttemptId, const AttemptFailure &) {},
        .onSilent = [](AttemptId, const AttemptSilence &) {},
        .onNoRoom = [](AttemptId) {},
    };
}

} // namespace auburnspread::gateway::tests
