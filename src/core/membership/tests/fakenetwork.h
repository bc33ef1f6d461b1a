/// \file
/// A few memberships on one clock, with links that can be cut and a platform that can be out.

#pragma once

#include "core/membership/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnspread::membership::testing
{

struct FakeEntry {
    MembershipStatePointer state;
    std::string address;
    bool paused = false;
    std::vector<Event> held;       ///< what reached its sockets while it was paused
    std::set<std::string> targets; ///< addresses that it wants links to
    std::map<std::string, TimePoint> links;
    std::vector<std::string> cell; ///< as last told by CellChanged
    std::vector<LeaveCause> leaveCauses;
    std::set<std::string> everServing; ///< "name@incarnation" of each member ever listed as serving
};

struct FakePlatform {
    struct Registration {
        MemberRecord record;
        TimePoint expires;
    };
    bool out = false;
    std::map<std::string, Registration> registrations;
    std::vector<VmsListed::Vm> vms;
    int calls = 0;
};

class FakeNetwork
{
public:
    /// Told of every message between entries, by the name of the sender.
    std::function<void(const std::string &from, const RecordsReceived &message)> sent;
    /// Region of the entries that are started next.
    std::string region = "region";
    /// Whether FakeEntry::everServing is kept; large fleets have no time for it.
    bool notesServing = true;

    /// Starts an entry that is ready at once; its peer address is `host:2`, its caller address `host:1`.
    auto start(const std::string &name,
               const std::string &failureDomain,
               std::uint64_t incarnation,
               const std::vector<std::string> &seeds = {},
               const std::string &host = {}) -> FakeEntry &;
    /// Its process ends without a word.
    auto kill(const std::string &name) -> void;
    auto pause(const std::string &name) -> void;
    auto resume(const std::string &name) -> void;
    /// Nothing passes between these entries; open links go silent.
    auto cut(const std::set<std::string> &someEntries, const std::set<std::string> &others) -> void;
    auto heal() -> void;

    auto run(Duration time) -> void;
    auto send(const std::string &name, const Event &event) -> void;

    /// Whether each entry that runs lists exactly these members, in states that serve.
    auto allList(const std::set<std::string> &names) const -> bool;
    auto recordOf(const std::string &observer, const std::string &name) const -> MemberRecord;
    auto entry(const std::string &name) -> FakeEntry &;
    auto names() const -> std::set<std::string>;

    FakePlatform platform;

private:
    struct Delivery {
        std::string to;
        std::string from;
        RecordsReceived event;
    };

    auto tick() -> void;
    auto dial(const std::string &from) -> void;
    auto openLink(const std::string &from, const std::string &to, const std::string &address) -> void;
    auto closeLink(const std::string &a, const std::string &b, LinkEnd end) -> void;
    auto findSilence() -> void;
    auto deliver() -> void;
    auto carryOut(const std::string &name, const Actions &actions) -> void;
    auto renew(const std::string &name) -> void;
    auto readList(const std::string &name) -> void;
    auto note(FakeEntry &entry) const -> void;
    [[nodiscard]] auto canTalk(const std::string &a, const std::string &b) const -> bool;
    [[nodiscard]] auto findListener(const std::string &address) const -> std::string;

    TimePoint now_ = TimePoint(std::chrono::hours(1));
    std::map<std::string, FakeEntry> entries_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::deque<Delivery> deliveries_;
};

} // namespace auburnspread::membership::testing
