#include "core/membership/internal/linkplan.h"

#include "core/membership/internal/rendezvous.h"

#include <algorithm>
#include <iterator>

namespace auburnspread::membership::detail
{

namespace
{

constexpr std::size_t WatchersPerCell = 2;

/// The member that ranks highest for this entry; nullptr if there is none.
auto chooseMember(const MembershipState &state, const std::vector<std::string> &names) -> const KnownMember *
{
    const auto key = keyOf(state.self.name, "link");
    const KnownMember *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const auto &name : names) {
        const auto found = state.others.find(name);
        if (found == state.others.end()) {
            continue;
        }
        const auto rank = rankOf(key, name);
        if (best == nullptr || rank > bestRank) {
            best = &found->second;
            bestRank = rank;
        }
    }
    return best;
}

/// One link along the ring of cells connects them all; one across it keeps the paths short and survives a cut ring.
auto addOutwardLinks(const MembershipState &state, std::size_t own, std::set<std::string> &wanted) -> void
{
    if (state.cells.size() < 2) {
        return;
    }
    const auto next = (own + 1) % state.cells.size();
    std::vector<std::string> elsewhere;
    for (std::size_t i = 0; i < state.cells.size(); ++i) {
        if (i != own && i != next) {
            elsewhere.insert(elsewhere.end(), state.cells[i].members.begin(), state.cells[i].members.end());
        }
    }
    if (const auto *member = chooseMember(state, state.cells[next].members)) {
        wanted.insert(member->record.peerAddress);
    }
    if (const auto *member = chooseMember(state, elsewhere)) {
        wanted.insert(member->record.peerAddress);
    }
}

auto isAnyLinked(const MembershipState &state, const std::set<std::string> &addresses) -> bool
{
    return std::any_of(state.links.begin(), state.links.end(), [&](const std::string &name) {
        const auto found = state.others.find(name);
        return found != state.others.end() && addresses.contains(found->second.record.peerAddress);
    });
}

auto wantedAddresses(const MembershipState &state) -> std::set<std::string>
{
    std::set<std::string> wanted;
    const auto own = findCell(state.cells, state.self.name);
    if (own) {
        for (const auto &name : state.cells[*own].members) {
            const auto found = state.others.find(name);
            if (found != state.others.end()) {
                wanted.insert(found->second.record.peerAddress);
            }
        }
        addOutwardLinks(state, *own, wanted);
    }
    // Seeds are kept until a link of the plan is open: the first of them has yet to send its records.
    if (!isAnyLinked(state, wanted)) {
        wanted.insert(state.options.seeds.begin(), state.options.seeds.end());
    }
    wanted.erase(state.self.peerAddress);
    wanted.erase(std::string());
    return wanted;
}

/// Addresses where a member may have come back: of members held for gone, and seeds under which none is known.
auto probeCandidates(const MembershipState &state) -> std::vector<std::string>
{
    std::set<std::string> taken{ state.self.peerAddress, std::string() };
    std::set<std::string> candidates(state.options.seeds.begin(), state.options.seeds.end());
    for (const auto &[name, member] : state.others) {
        auto &addresses = member.record.state == MemberState::Gone ? candidates : taken;
        addresses.insert(member.record.peerAddress);
    }
    std::vector<std::string> result;
    std::set_difference(candidates.begin(), candidates.end(), taken.begin(), taken.end(), std::back_inserter(result));
    return result;
}

auto servingEntries(const MembershipState &state) -> std::vector<std::string>
{
    const auto own = findCell(state.cells, state.self.name);
    std::vector<std::string> entries;
    if (!own) {
        return entries;
    }
    for (const auto &name : state.cells[*own].members) {
        const auto memberState = name == state.self.name ? state.self.state : state.others.at(name).record.state;
        if (isServing(memberState)) {
            entries.push_back(name);
        }
    }
    return entries;
}

} // namespace

auto updateCells(MembershipState &state, Actions &actions) -> void
{
    std::vector<CellMember> members;
    const auto add = [&](const MemberRecord &record) {
        if (record.state != MemberState::Gone) {
            members.push_back({ .name = record.name, .failureDomain = record.failureDomain, .region = record.region });
        }
    };
    add(state.self);
    for (const auto &[name, member] : state.others) {
        add(member.record);
    }
    state.cells = computeCells(members);
    auto entries = servingEntries(state);
    if (entries != state.cellEntries) {
        state.cellEntries = std::move(entries);
        actions.push_back(CellChanged{ state.cellEntries });
    }
}

auto updateLinks(MembershipState &state, Actions &actions) -> void
{
    auto wanted = wantedAddresses(state);
    if (!state.probed.empty()) {
        wanted.insert(state.probed);
    }
    for (const auto &address : state.dialled) {
        if (!wanted.contains(address)) {
            actions.push_back(ClosePeer{ address });
        }
    }
    for (const auto &address : wanted) {
        if (!state.dialled.contains(address)) {
            actions.push_back(ConnectPeer{ address });
        }
    }
    state.dialled = std::move(wanted);
}

auto probeNext(MembershipState &state, TimePoint now, Actions &actions) -> void
{
    if (now < state.probeAt) {
        return;
    }
    state.probeAt = now + state.options.probeInterval;
    const auto candidates = probeCandidates(state);
    state.probed = candidates.empty() ? std::string() : candidates[state.nextProbe++ % candidates.size()];
    updateLinks(state, actions);
}

auto isWatcher(const MembershipState &state) -> bool
{
    const auto own = findCell(state.cells, state.self.name);
    if (!own || !isServing(state.self.state)) {
        return false;
    }
    const auto key = keyOf(state.cells[*own].region, "watcher");
    const auto ownRank = rankOf(key, state.self.name);
    const auto better = std::count_if(state.cellEntries.begin(), state.cellEntries.end(), [&](const std::string &name) { return rankOf(key, name) > ownRank; });
    return static_cast<std::size_t>(better) < WatchersPerCell;
}

} // namespace auburnspread::membership::detail
