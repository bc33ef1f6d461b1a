/// \file
/// What can happen to the membership. An adapter turns peer messages, platform answers and timers into events.

#pragma once

#include "core/membership/member.h"
#include "core/membership/tabledigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::membership
{

/// Time has passed; send about once a second.
struct Tick {
};

/// This entry has adopted a configuration and serves (or no longer does).
struct ReadinessChanged {
    bool ready = true;
};

/// This entry leaves: SIGTERM or an operator's order.
struct DrainStarted {
};

/// An authenticated link to a peer is open. There is at most one for each name.
struct LinkOpened {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dialledAddress; ///< empty if the peer dialled
};

enum class LinkEnd {
    Closed, ///< ended by the peer or by the network
    Silent, ///< nothing was heard for the silence time
};

struct LinkClosed {
    std::string name;
    LinkEnd end = LinkEnd::Closed;
};

/// A new connection to this peer address could not be made or authenticated.
struct DialFailed {
    std::string address;
};

/// What a linked peer's SendRecords brought.
struct RecordsReceived {
    std::string from;
    std::vector<MemberRecord> records;
    std::optional<TableDigest> digest;
};

/// A peer or an operator says that this incarnation leaves.
struct LeavingHeard {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// Open requests (waiting and in flight) of an entry of the cell, this one included.
struct LoadHeard {
    std::string name;
    std::uint32_t openRequests = 0;
};

/// The platform's registration list. A name that is missing from it says nothing about that member's life.
struct RegistrationsListed {
    std::vector<MemberRecord> records;
};

/// The platform's list of VMs. A leaving mark is believed, a live mark proves nothing.
struct VmsListed {
    struct Vm {
        std::string name;
        std::string address; ///< IP number, with or without a port
        bool leaving = false;
    };
    std::vector<Vm> vms;
};

enum class PlatformResult {
    Done,
    LeaseLapsed, ///< the platform does not know the lease any more
    Unavailable, ///< no answer or too many calls; says nothing about any member
};

/// Answer to RegisterWanted or RenewWanted.
struct LeaseSettled {
    PlatformResult result = PlatformResult::Done;
};

/// The registration list could not be read.
struct ListFailed {
};

using Event = std::variant<Tick,
                           ReadinessChanged,
                           DrainStarted,
                           LinkOpened,
                           LinkClosed,
                           DialFailed,
                           RecordsReceived,
                           LeavingHeard,
                           LoadHeard,
                           RegistrationsListed,
                           VmsListed,
                           LeaseSettled,
                           ListFailed>;

} // namespace auburnspread::membership
