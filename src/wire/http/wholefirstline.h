/// \file
/// Shields libevhtp from requests whose first line arrives in pieces.
///
/// Failure: the first line is divided between two segments, as on a busy link. libevhtp's parser then repeats the letter before the
/// division. Symptom: 404 for a path that is there, or another number in the query, without any error. The parser does not get to
/// see a line before its end is there; what follows the line it reads in any pieces.

#pragma once

#include <evhtp/evhtp.h>

namespace auburnspread::http
{

/// To be called once for each accepted connection, from libevhtp's post-accept hook.
auto readWholeFirstLines(evhtp_connection_t *connection) -> void;

} // namespace auburnspread::http
