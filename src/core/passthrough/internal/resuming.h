/// \file
/// Streams that are taken up again: they are held to the software version that began them, at every entry.

#pragma once

#include "core/passthrough/internal/state.h"

namespace auburnspread::passthrough::detail
{

/// Whether the caller takes up a stream of which it has events.
auto isResumption(const Request &request) -> bool;
/// Queues the request once it is known which version began its stream. If this entry does not know it, it asks others. If nobody knows, the
/// request is refused, unless the service has had a single version for as long as the stream can be old, by a list that is not older than
/// the request.
auto resolveOrigin(RouterState &state, Request &request, Actions &actions) -> void;
/// Asks again, or decides without an answer, where it is time.
auto reviewResolving(RouterState &state, Actions &actions) -> void;
auto handleOriginReported(RouterState &state, const OriginReported &event, Actions &actions) -> void;
auto handleOriginUnknown(RouterState &state, const OriginUnknown &event, Actions &actions) -> void;
/// Removes the request from those whose origin is being resolved.
auto stopResolving(RouterState &state, const Request &request) -> void;

/// The first event of an attempt arrived: its stream is held to the version of the attempt's server, and other entries are told.
auto recordStreamStart(RouterState &state, Request &request, const Attempt &attempt, Actions &actions) -> void;

/// Whether a listed server of the origin's version is not leaving.
auto hasServerOfVersion(const RouterState &state, const StreamOrigin &origin) -> bool;
/// Records which versions the servers of the services have, as of the last list.
auto updateVersionHistories(RouterState &state) -> void;
/// Records that the versions of the last list may have served until now, before it is replaced.
auto keepListedVersions(RouterState &state) -> void;

} // namespace auburnspread::passthrough::detail
