/// \file
/// What the membership wants done, in order.

#pragma once

#include "core/base/time.h"
#include "core/membership/member.h"
#include "core/membership/tabledigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::membership
{

/// Keep a link to this peer address: dial, and dial again with backoff when it ends.
struct ConnectPeer {
    std::string address;
};

/// Dial no more and close the link that this entry dialled to this address.
struct ClosePeer {
    std::string address;
};

/// Send records (bounded in number), or the table digest, to a linked peer.
struct SendRecords {
    std::string to;
    std::vector<MemberRecord> records;
    std::optional<TableDigest> digest; ///< asks the peer for what differs
};

/// Write this record into the platform's registration list under a lease of \c leaseTime.
struct RegisterWanted {
    MemberRecord record;
    Duration leaseTime{};
};

/// Renew the lease.
struct RenewWanted {
};

/// Read the registration list and answer RegistrationsListed or ListFailed.
struct ReadListWanted {
};

/// The entries of this cell that serve, this one included if it serves. Sorted.
struct CellChanged {
    std::vector<std::string> entries;
};

/// Answers of /v1/entries may differ from now on.
struct AnswersChanged {
    std::uint64_t membershipVersion = 0;
};

/// This entry goes on under a new incarnation, because the others hold the old one for gone.
struct IncarnationChanged {
    std::uint64_t incarnation = 0;
};

enum class LeaveCause {
    Marked,     ///< the platform or a peer says that this entry leaves
    Superseded, ///< another process holds this name at a higher incarnation
};

/// This entry must drain although nobody told the process itself.
struct LeaveWanted {
    LeaveCause cause = LeaveCause::Marked;
};

using Action = std::
    variant<ConnectPeer, ClosePeer, SendRecords, RegisterWanted, RenewWanted, ReadListWanted, CellChanged, AnswersChanged, IncarnationChanged, LeaveWanted>;

using Actions = std::vector<Action>;

} // namespace auburnspread::membership
