/// \file
/// Requests and prompt parts that may crash backend servers: what attempts show about them, and how requests that contain one are sent.

#pragma once

#include "core/passthrough/internal/state.h"

#include <cstdint>
#include <optional>

namespace auburnspread::passthrough::detail
{

/// Whether the request or a part of its prompt is quarantined. A part whose crashes another one explains, which the request does not have,
/// does not count: the request is sent on trial, and shows which of the two it was.
auto isWithheld(const RouterState &state, const RequestArrived &call, const Route &route) -> bool;

/// The prompt part that is suspected most of those of the request, if any is. Such a request is on trial: all entries send it to the same
/// server, so that one part crashes one server at a time.
auto findTrial(const RouterState &state, const Request &request) -> std::optional<std::uint64_t>;
/// Whether the request must wait because an attempt of this entry may soon show whether one of its suspected parts is sound, or because the
/// other entries' reports of further crashes may be on their way.
auto mustAwaitTrial(const RouterState &state, const Request &request) -> bool;
/// The server that runs requests on trial for \p part, if possible one that has not crashed with it; null if there is none.
auto findTrialServer(const RouterState &state, const Request &request, std::uint64_t part) -> ServerPointer;

/// A server ended while it ran the attempt. Accuses the request, and the parts of its prompt unless the response had gone on.
auto noteCrash(RouterState &state, const Request &request, const Attempt &attempt, Actions &actions) -> void;
/// Events of the attempt's response arrived.
auto noteEvents(RouterState &state, const Request &request, Attempt &attempt, std::uint32_t events, Actions &actions) -> void;
/// A server completed the request.
auto noteSoundness(RouterState &state, const Request &request, Actions &actions) -> void;
auto handleCrashReport(RouterState &state, const CrashesReported &event, Actions &actions) -> void;

} // namespace auburnspread::passthrough::detail
