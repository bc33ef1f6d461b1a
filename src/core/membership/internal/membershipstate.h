/// \file
/// The membership's state, shared by the files of this module.

#pragma once

#include "core/membership/membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnspread::membership
{

namespace detail
{

/// Another member as this entry knows it.
struct KnownMember {
    MemberRecord record;
    TimePoint changedAt;     ///< when the record last changed here
    bool dialFailed = false; ///< a new connection failed since the last link
    TimePoint suspectFrom;   ///< not suspected by this entry before this time
};

/// A record that changed and must be passed on.
struct News {
    std::string name;
    std::string from; ///< the linked peer that it came from; empty: this entry
};

struct Lease {
    bool held = false;
    bool asked = false;                 ///< an answer is awaited
    TimePoint nextAt;                   ///< of the next call
    Duration backoff{};                 ///< 0: the last call was answered
    MemberRecord registered;            ///< what the platform's list holds, if \c held
    std::optional<MemberRecord> asking; ///< the record of the call under way; nothing: a renewal
    bool pausedSince = false;           ///< this process was paused since the last answered call
};

struct LoadWeight {
    double openRequests = 0; ///< smoothed
    double weight = 1;
};

} // namespace detail

struct MembershipState {
    MembershipOptions options;
    MemberRecord self;
    bool superseded = false;
    std::map<std::string, detail::KnownMember> others;
    std::set<std::string, std::less<>> links; ///< names of linked peers, known members or not
    std::mt19937_64 random;

    std::vector<detail::News> news;
    bool changed = true; ///< the list changed in this step
    std::uint64_t version = 0;
    std::vector<Cell> cells;
    std::vector<std::string> cellEntries; ///< as last told by CellChanged

    std::set<std::string> dialled; ///< addresses told by ConnectPeer and not by ClosePeer
    std::string probed;            ///< one of them that only probes
    std::size_t nextProbe = 0;
    TimePoint probeAt;

    detail::Lease lease;
    bool listAnswered = false;
    bool platformReachable = false;
    TimePoint listAt;
    std::set<std::string> leavingVms; ///< VMs whose leaving mark was taken in

    TimePoint digestAt;
    TimePoint lastTick;
    bool ticked = false;

    std::map<std::string, detail::LoadWeight, std::less<>> loads;
    TimePoint weighAt;
};

} // namespace auburnspread::membership
