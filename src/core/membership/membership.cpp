#include "core/membership/membership.h"

#include "core/membership/internal/gossip.h"
#include "core/membership/internal/lease.h"
#include "core/membership/internal/linkplan.h"
#include "core/membership/internal/loadweights.h"
#include "core/membership/internal/membershipstate.h"

#include <iterator>
#include <utility>

namespace auburnspread::membership
{

namespace
{

using namespace detail;

/// A gap between ticks longer than this is a pause of this process: nothing could be heard meanwhile, so nobody's
/// silence in it counts.
constexpr Duration PauseLimit = std::chrono::seconds(3);

/// A leaving member that nobody here is linked to is held for gone after this.
constexpr Duration LongestLeaving = std::chrono::hours(1);

struct Step {
    MembershipState &state;
    TimePoint now;
    Actions &actions;

    auto operator()(const Tick & /*event*/) const -> void;
    auto operator()(const ReadinessChanged &event) const -> void;
    auto operator()(const DrainStarted &event) const -> void;
    auto operator()(const LinkOpened &event) const -> void;
    auto operator()(const LinkClosed &event) const -> void;
    auto operator()(const DialFailed &event) const -> void;
    auto operator()(const RecordsReceived &event) const -> void;
    auto operator()(const LeavingHeard &event) const -> void;
    auto operator()(const LoadHeard &event) const -> void;
    auto operator()(const RegistrationsListed &event) const -> void;
    auto operator()(const VmsListed &event) const -> void;
    auto operator()(const LeaseSettled &event) const -> void;
    auto operator()(const ListFailed &event) const -> void;

private:
    auto forgivePause() const -> void;
    auto judgeMembers() const -> void;
    auto spreadDigest() const -> void;
    auto readList() const -> void;
    auto markVm(const VmsListed::Vm &vm) const -> void;
};

auto mayBeGone(const MembershipState &state, const KnownMember &member, TimePoint now) -> bool
{
    if (state.links.contains(member.record.name)) {
        return false;
    }
    const auto quietFor = now - member.changedAt;
    if (member.record.state != MemberState::Suspect && member.record.state != MemberState::Leaving) {
        return false;
    }
    const auto orphanTimeout = member.record.state == MemberState::Suspect ? state.options.orphanTimeout : LongestLeaving;
    return (member.dialFailed && quietFor >= state.options.suspectTimeout) || quietFor >= orphanTimeout;
}

auto Step::operator()(const Tick & /*event*/) const -> void
{
    if (state.ticked && now - state.lastTick > PauseLimit) {
        forgivePause();
    }
    state.ticked = true;
    state.lastTick = now;
    judgeMembers();
    spreadDigest();
    probeNext(state, now, actions);
    tickLease(state, now, actions);
    readList();
    adjustWeights(state, now, actions);
}

auto Step::forgivePause() const -> void
{
    noticePause(state);
    for (auto &[name, member] : state.others) {
        if (member.record.state != MemberState::Gone) {
            member.changedAt = now;
            member.dialFailed = false;
        }
    }
}

auto Step::judgeMembers() const -> void
{
    for (auto &[name, member] : state.others) {
        if (mayBeGone(state, member, now)) {
            markMember(state, member, MemberState::Gone, now);
        }
    }
    std::erase_if(state.others, [&](const auto &other) {
        const auto &member = other.second;
        return member.record.state == MemberState::Gone && now - member.changedAt > state.options.goneRetention;
    });
}

/// Messages can be lost with their link; comparing digests with one peer after the other heals whatever was missed.
auto Step::spreadDigest() const -> void
{
    if (now < state.digestAt || state.links.empty()) {
        return;
    }
    state.digestAt = now + state.options.digestInterval;
    std::uniform_int_distribution<std::size_t> distribution(0, state.links.size() - 1);
    const auto peer = std::next(state.links.begin(), static_cast<std::ptrdiff_t>(distribution(state.random)));
    sendDigest(state, *peer, actions);
}

auto Step::readList() const -> void
{
    if (now < state.listAt || !watchesPlatform(state)) {
        return;
    }
    state.listAt = now + jitter(state, state.options.listInterval);
    actions.emplace_back(ReadListWanted{});
}

auto Step::operator()(const ReadinessChanged &event) const -> void
{
    markSelf(state, event.ready ? MemberState::Live : MemberState::Joining);
}

auto Step::operator()(const DrainStarted & /*event*/) const -> void
{
    markSelf(state, MemberState::Leaving);
}

auto Step::operator()(const LinkOpened &event) const -> void
{
    state.links.insert(event.name);
    for (auto &[name, member] : state.others) {
        // The address answered under another name: its VM was replaced.
        if (!event.dialledAddress.empty() && member.record.peerAddress == event.dialledAddress && name != event.name) {
            markMember(state, member, MemberState::Gone, now);
        }
    }
    std::vector<MemberRecord> records{ state.self };
    const auto found = state.others.find(event.name);
    if (found != state.others.end()) {
        auto &member = found->second;
        member.dialFailed = false;
        // A link proves that the peer is alive, but only it can say so to everybody: it is told what is held of it.
        records.push_back(member.record);
    }
    sendRecords(state, event.name, records, actions);
    sendDigest(state, event.name, actions);
    updateLinks(state, actions);
}

auto Step::operator()(const LinkClosed &event) const -> void
{
    state.links.erase(event.name);
    updateLinks(state, actions);
}

auto Step::operator()(const DialFailed &event) const -> void
{
    for (auto &[name, member] : state.others) {
        if (member.record.peerAddress != event.address || state.links.contains(name)) {
            continue;
        }
        member.dialFailed = true;
        if (now >= member.suspectFrom) {
            markMember(state, member, MemberState::Suspect, now);
        }
    }
}

auto Step::operator()(const RecordsReceived &event) const -> void
{
    for (const auto &record : event.records) {
        mergeRecord(state, record, event.from, now, actions);
    }
    if (event.digest) {
        sendDifferences(state, event.from, *event.digest, now, actions);
    }
}

auto Step::operator()(const LeavingHeard &event) const -> void
{
    if (event.name == state.self.name) {
        if (event.incarnation == state.self.incarnation && state.self.state != MemberState::Leaving) {
            leaveSelf(state, LeaveCause::Marked, actions);
        }
        return;
    }
    const auto found = state.others.find(event.name);
    if (found != state.others.end() && found->second.record.incarnation == event.incarnation) {
        markMember(state, found->second, MemberState::Leaving, now);
    }
}

auto Step::operator()(const LoadHeard &event) const -> void
{
    hearLoad(state, event);
}

auto Step::operator()(const RegistrationsListed &event) const -> void
{
    state.listAnswered = true;
    state.platformReachable = true;
    for (const auto &record : event.records) {
        mergeRecord(state, record, {}, now, actions);
    }
}

/// Host part of "host:port"; the whole if there is no port.
auto hostOf(const std::string &address) -> std::string
{
    return address.substr(0, address.rfind(':'));
}

auto isVmOf(const VmsListed::Vm &vm, const MemberRecord &record) -> bool
{
    if (vm.name == record.name) {
        return true;
    }
    const bool hasPort = vm.address.find(':') != std::string::npos;
    return hasPort ? vm.address == record.callerAddress : !vm.address.empty() && vm.address == hostOf(record.callerAddress);
}

auto Step::markVm(const VmsListed::Vm &vm) const -> void
{
    if (isVmOf(vm, state.self) && state.self.state != MemberState::Leaving) {
        leaveSelf(state, LeaveCause::Marked, actions);
    }
    for (auto &[name, member] : state.others) {
        if (isVmOf(vm, member.record)) {
            markMember(state, member, MemberState::Leaving, now);
        }
    }
}

auto Step::operator()(const VmsListed &event) const -> void
{
    // The list lags: a mark is taken in once, when it appears, so that it can't hit the VM's successor later.
    std::set<std::string> leaving;
    for (const auto &vm : event.vms) {
        if (!vm.leaving) {
            continue;
        }
        auto identity = vm.name + ' ' + vm.address;
        if (!state.leavingVms.contains(identity)) {
            markVm(vm);
        }
        leaving.insert(std::move(identity));
    }
    state.leavingVms = std::move(leaving);
}

auto Step::operator()(const LeaseSettled &event) const -> void
{
    settleLease(state, event.result, now, actions);
}

auto Step::operator()(const ListFailed & /*event*/) const -> void
{
    state.platformReachable = false;
}

} // namespace

auto MembershipStateDeleter::operator()(MembershipState *state) const -> void
{
    std::default_delete<MembershipState>()(state);
}

auto makeMembership(MembershipOptions options) -> MembershipStatePointer
{
    MembershipStatePointer state(new MembershipState);
    state->self = options.self;
    state->self.state = MemberState::Joining;
    state->random.seed(options.seed);
    state->options = std::move(options);
    return state;
}

auto step(MembershipState &state, const Event &event, TimePoint now) -> Actions
{
    Actions actions;
    std::visit(Step{ .state = state, .now = now, .actions = actions }, event);
    if (std::exchange(state.changed, false)) {
        ++state.version;
        updateCells(state, actions);
        updateLinks(state, actions);
        actions.emplace_back(AnswersChanged{ state.version });
    }
    sendNews(state, actions);
    return actions;
}

auto listMembers(const MembershipState &state) -> std::vector<MemberRecord>
{
    std::map<std::string, MemberRecord> members;
    members.emplace(state.self.name, state.self);
    for (const auto &[name, member] : state.others) {
        if (member.record.state != MemberState::Gone) {
            members.emplace(name, member.record);
        }
    }
    std::vector<MemberRecord> result;
    result.reserve(members.size());
    for (auto &[name, record] : members) {
        result.push_back(std::move(record));
    }
    return result;
}

auto selfRecord(const MembershipState &state) -> const MemberRecord &
{
    return state.self;
}

auto membershipVersion(const MembershipState &state) -> std::uint64_t
{
    return state.version;
}

auto listCells(const MembershipState &state) -> const std::vector<Cell> &
{
    return state.cells;
}

auto watchesPlatform(const MembershipState &state) -> bool
{
    return !state.listAnswered || isWatcher(state);
}

auto isPlatformReachable(const MembershipState &state) -> bool
{
    return state.platformReachable;
}

} // namespace auburnspread::membership
