/// \file
/// What a backend server states about its availability in its own answers.
///
/// The registry may be unreachable, or list a change seconds after the server stated it. An entry therefore applies what a server states
/// at once, in addition to the list, and only to this run of the server: a server that restarts or that takes over an address is not
/// affected. Entries do not share these statements.

#pragma once

namespace auburnspread::passthrough
{

/// The statement in the head of one answer.
struct ServerNotice {
    bool isLeaving = false; ///< the server takes no new requests and is about to exit
};

/// What a server has stated so far.
struct StatedAvailability {
    bool isLeaving = false; ///< never cleared: a server that is leaving does not change its mind, and later answers may arrive out of order
};

/// \return whether this changed what is known of the server
auto applyNotice(StatedAvailability &availability, const ServerNotice &notice) -> bool;

/// Whether the server wants new requests, as far as it has stated.
auto acceptsRequests(const StatedAvailability &availability) -> bool;

} // namespace auburnspread::passthrough
