/// \file
/// How records are taken in and passed on.

#pragma once

#include "core/membership/internal/membershipstate.h"

#include <string>

namespace auburnspread::membership::detail
{

/// Takes a record in, whoever it is about; an older one changes nothing.
auto mergeRecord(MembershipState &state, const MemberRecord &record, const std::string &from, TimePoint now, Actions &actions) -> void;

/// Changes the state of another member's current record.
auto markMember(MembershipState &state, KnownMember &member, MemberState memberState, TimePoint now) -> void;

/// Changes this entry's own record and raises its version.
auto markSelf(MembershipState &state, MemberState memberState) -> void;

/// Goes on under \p incarnation.
auto rejoin(MembershipState &state, std::uint64_t incarnation, Actions &actions) -> void;

/// This entry must drain.
auto leaveSelf(MembershipState &state, LeaveCause cause, Actions &actions) -> void;

auto computeDigest(const MembershipState &state) -> TableDigest;

/// The peer's digest differs in some buckets: sends it their records.
auto sendDifferences(const MembershipState &state, const std::string &to, const TableDigest &theirs, TimePoint now, Actions &actions) -> void;

/// Sends the digest of the whole table; the peer answers with what it holds differently.
auto sendDigest(const MembershipState &state, const std::string &to, Actions &actions) -> void;

/// Sends these records in messages of bounded size.
auto sendRecords(const MembershipState &state, const std::string &to, const std::vector<MemberRecord> &records, Actions &actions) -> void;

/// Passes on what changed in this step to every linked peer but the one it came from.
auto sendNews(MembershipState &state, Actions &actions) -> void;

} // namespace auburnspread::membership::detail
