/// \file
/// Which entries there are, which of them serve, and to which of them callers are sent.
/// `(state, event, now) -> actions`; peers decide who is alive, the platform's list only introduces members.

#pragma once

#include "core/base/time.h"
#include "core/membership/actions.h"
#include "core/membership/cells.h"
#include "core/membership/events.h"
#include "core/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::membership
{

struct MembershipOptions {
    MemberRecord self;              ///< with the incarnation of this run: wall-clock milliseconds at the start
    std::vector<std::string> seeds; ///< peer addresses to ask when the platform does not answer
    std::uint64_t seed = 1;         ///< of every random choice
    Duration suspectTimeout = std::chrono::seconds(5);
    Duration orphanTimeout = std::chrono::seconds(60); ///< a suspect that no linked member decides about is gone after this
    Duration suspectPause = std::chrono::seconds(30);  ///< a member that refuted a suspicion is not suspected by the same entry for so long
    Duration leaseTime = std::chrono::seconds(60);
    Duration listInterval = std::chrono::seconds(10);
    Duration digestInterval = std::chrono::seconds(2);
    Duration probeInterval = std::chrono::seconds(5); ///< between attempts to reach a member held for gone, or a seed
    Duration goneRetention = std::chrono::hours(24);  ///< how long gone members are remembered
    Duration answerKeep = std::chrono::seconds(5);    ///< how long a caller may keep an answer
    std::size_t recordsPerMessage = 64;
};

struct MembershipState;

struct MembershipStateDeleter {
    auto operator()(MembershipState *state) const -> void;
};
using MembershipStatePointer = std::unique_ptr<MembershipState, MembershipStateDeleter>;

auto makeMembership(MembershipOptions options) -> MembershipStatePointer;

/// Takes one event in at \p now, never earlier than the last one.
auto step(MembershipState &state, const Event &event, TimePoint now) -> Actions;

/// Every member that is not gone, this entry included, sorted by name.
auto listMembers(const MembershipState &state) -> std::vector<MemberRecord>;

/// This entry's own record.
auto selfRecord(const MembershipState &state) -> const MemberRecord &;

/// Raised with every change of the list.
auto membershipVersion(const MembershipState &state) -> std::uint64_t;

auto listCells(const MembershipState &state) -> const std::vector<Cell> &;

/// Whether this entry is one of the few that read the platform's lists; the others hear from them.
auto watchesPlatform(const MembershipState &state) -> bool;

/// Whether the platform answered the last call.
auto isPlatformReachable(const MembershipState &state) -> bool;

/// Who asks for an address, and for what.
struct EntriesQuery {
    std::string workspace;
    std::string requestClass;
    std::string model;  ///< the class's default model, or the service: what the cell is chosen by
    std::string caller; ///< the caller's IP number; empty if unknown
};

struct EntriesAnswer {
    std::vector<std::string> addresses; ///< caller addresses in order of preference
    Duration keep{};
    std::uint64_t membershipVersion = 0;
};

/// The same query gets the same answer until the list or the loads change.
auto entriesAnswer(const MembershipState &state, const EntriesQuery &query, TimePoint now) -> EntriesAnswer;

} // namespace auburnspread::membership
