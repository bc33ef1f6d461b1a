/// \file
/// Ejection: takes a backend server that answers with errors out of use for a while, at all entries.
///
/// Failure: each entry has to find out by itself that a server answers with errors only. Symptom: a large fleet loses several requests
/// at each of its entries. Therefore an entry that has enough evidence reports the ejection to its peers. After the pause, the entries
/// try the server again one after the other, each with a single request; the first that fails extends the ejection for all entries.

#pragma once

#include "core/passthrough/servertable.h"

namespace auburnspread::passthrough
{

/// Ejects the server at this entry. \p isReported: whether peers are told as well; broken connections are not reported, since their
/// cause may be this entry's own network link
auto eject(ServerTable &table, ServerState &server, bool isReported, TimePoint now) -> void;

/// Applies an ejection that another entry reported.
auto applyPeerEjection(ServerTable &table, ServerState &server, TimePoint until, TimePoint now) -> void;

/// Remaining time of an ejection, as decided by this entry or by any entry; zero if the server is not ejected.
/// @{
auto remainingOwnEjection(const ServerState &server, TimePoint now) -> Duration;
auto remainingEjection(const ServerState &server, TimePoint now) -> Duration;
/// @}

} // namespace auburnspread::passthrough
