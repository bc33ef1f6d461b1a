#include "core/membership/internal/gossip.h"

#include <algorithm>
#include <tuple>

namespace auburnspread::membership::detail
{

namespace
{

auto announceSelf(MembershipState &state) -> void
{
    state.changed = true;
    state.news.push_back({ .name = state.self.name, .from = {} });
}

/// Another entry's view of this one.
auto hearOfSelf(MembershipState &state, const MemberRecord &record, Actions &actions) -> void
{
    auto &self = state.self;
    if (record.incarnation < self.incarnation || state.superseded) {
        return;
    }
    if (record.incarnation > self.incarnation) {
        // A former run of this process whose clock was ahead, or another process under the same name: only the
        // second has another address, and only while it serves must this one end.
        if (record.peerAddress == self.peerAddress || record.state >= MemberState::Leaving) {
            rejoin(state, record.incarnation + 1, actions);
        } else {
            state.superseded = true;
            leaveSelf(state, LeaveCause::Superseded, actions);
        }
        return;
    }
    if (self.state == MemberState::Leaving) {
        return;
    }
    if (record.state == MemberState::Gone) {
        rejoin(state, self.incarnation + 1, actions);
    } else if (record.state == MemberState::Leaving) {
        leaveSelf(state, LeaveCause::Marked, actions);
    } else if (supersedes(record, self)) {
        self.version = record.version + 1;
        announceSelf(state);
    }
}

/// Two members can't listen on one address: the older incarnation is gone and its VM was replaced.
auto settleAddress(MembershipState &state, const MemberRecord &record, TimePoint now, Actions &actions) -> void
{
    if (record.state == MemberState::Gone || record.peerAddress.empty()) {
        return;
    }
    if (record.peerAddress == state.self.peerAddress) {
        // This entry holds the address, so the other record is of the past, whatever the clocks said.
        if (record.incarnation >= state.self.incarnation && !state.superseded) {
            rejoin(state, record.incarnation + 1, actions);
        }
        markMember(state, state.others.at(record.name), MemberState::Gone, now);
        return;
    }
    for (auto &[name, other] : state.others) {
        if (name == record.name || other.record.peerAddress != record.peerAddress || other.record.state == MemberState::Gone) {
            continue;
        }
        const bool otherIsOlder = std::tie(other.record.incarnation, name) < std::tie(record.incarnation, record.name);
        markMember(state, otherIsOlder ? other : state.others.at(record.name), MemberState::Gone, now);
    }
}

} // namespace

auto mergeRecord(MembershipState &state, const MemberRecord &record, const std::string &from, TimePoint now, Actions &actions) -> void
{
    if (record.name == state.self.name) {
        hearOfSelf(state, record, actions);
        return;
    }
    const auto [found, isNew] = state.others.try_emplace(record.name);
    auto &member = found->second;
    if (!isNew && !supersedes(record, member.record)) {
        return;
    }
    if (!isNew && record.state == MemberState::Gone && record.incarnation == member.record.incarnation && state.links.contains(record.name)) {
        // After a cut heals, the other side still holds the members of this side for gone. Believing it of peers that
        // are linked here would empty the cell for a moment and let this entry take the whole cell's share; the
        // peer itself is told and comes back under a new incarnation. If it is gone indeed, its link ends too.
        sendRecords(state, record.name, { record }, actions);
        return;
    }
    const bool refuted = !isNew && member.record.state == MemberState::Suspect && record.state < MemberState::Suspect;
    if (refuted) {
        member.suspectFrom = now + state.options.suspectPause;
    }
    if (record.incarnation != member.record.incarnation) {
        member.dialFailed = false;
    }
    member.record = record;
    member.changedAt = now;
    state.changed = true;
    state.news.push_back({ .name = record.name, .from = from });
    settleAddress(state, MemberRecord(record), now, actions);
}

auto markMember(MembershipState &state, KnownMember &member, MemberState memberState, TimePoint now) -> void
{
    if (member.record.state >= memberState) {
        return;
    }
    member.record.state = memberState;
    member.changedAt = now;
    state.changed = true;
    state.news.push_back({ .name = member.record.name, .from = {} });
}

auto markSelf(MembershipState &state, MemberState memberState) -> void
{
    if (state.self.state == memberState || state.self.state == MemberState::Leaving) {
        return;
    }
    state.self.state = memberState;
    ++state.self.version;
    announceSelf(state);
}

auto rejoin(MembershipState &state, std::uint64_t incarnation, Actions &actions) -> void
{
    state.self.incarnation = incarnation;
    ++state.self.version;
    state.lease.held = false;
    announceSelf(state);
    actions.push_back(IncarnationChanged{ incarnation });
}

auto leaveSelf(MembershipState &state, LeaveCause cause, Actions &actions) -> void
{
    markSelf(state, MemberState::Leaving);
    actions.push_back(LeaveWanted{ cause });
}

auto computeDigest(const MembershipState &state) -> TableDigest
{
    TableDigest digest;
    addToDigest(digest, state.self);
    for (const auto &[name, member] : state.others) {
        addToDigest(digest, member.record);
    }
    return digest;
}

auto sendDifferences(const MembershipState &state, const std::string &to, const TableDigest &theirs, TimePoint now, Actions &actions) -> void
{
    const auto ours = computeDigest(state);
    const auto differs = [&](const std::string &name) {
        const auto bucket = bucketOf(name);
        return ours.buckets.at(bucket) != theirs.buckets.at(bucket);
    };
    std::vector<MemberRecord> records;
    if (differs(state.self.name)) {
        records.push_back(state.self);
    }
    for (const auto &[name, member] : state.others) {
        // An old gone record is not sent, or two entries could hand it to each other for ever.
        const bool forgotten = member.record.state == MemberState::Gone && now - member.changedAt > state.options.goneRetention / 2;
        if (!forgotten && differs(name)) {
            records.push_back(member.record);
        }
    }
    sendRecords(state, to, records, actions);
}

auto sendDigest(const MembershipState &state, const std::string &to, Actions &actions) -> void
{
    actions.push_back(SendRecords{ .to = to, .records = {}, .digest = computeDigest(state) });
}

auto sendRecords(const MembershipState &state, const std::string &to, const std::vector<MemberRecord> &records, Actions &actions) -> void
{
    std::size_t sent = 0;
    while (sent < records.size()) {
        const auto count = std::min(state.options.recordsPerMessage, records.size() - sent);
        const auto first = records.begin() + static_cast<std::ptrdiff_t>(sent);
        actions.push_back(SendRecords{ .to = to, .records = { first, first + static_cast<std::ptrdiff_t>(count) }, .digest = {} });
        sent += count;
    }
}

auto sendNews(MembershipState &state, Actions &actions) -> void
{
    if (state.news.empty()) {
        return;
    }
    for (const auto &peer : state.links) {
        std::vector<MemberRecord> records;
        std::set<std::string> listed;
        for (const auto &item : state.news) {
            if (item.from == peer || !listed.insert(item.name).second) {
                continue;
            }
            records.push_back(item.name == state.self.name ? state.self : state.others.at(item.name).record);
        }
        sendRecords(state, peer, records, actions);
    }
    state.news.clear();
}

} // namespace auburnspread::membership::detail
