#include "core/membership/internal/loadweights.h"
#include "core/membership/internal/membershipstate.h"
#include "core/membership/internal/rendezvous.h"

#include <algorithm>

namespace auburnspread::membership
{

namespace
{

constexpr std::size_t SpareAddresses = 3; ///< of other cells, for a caller that finds the whole cell out of reach

struct Candidate {
    const MemberRecord *record = nullptr;
    double rank = 0;
};

auto findRecord(const MembershipState &state, const std::string &name) -> const MemberRecord &
{
    return name == state.self.name ? state.self : state.others.at(name).record;
}

/// Live members by rank, then suspect ones; the rest are not named to callers.
auto rankMembers(const MembershipState &state, const std::vector<std::string> &names, std::uint64_t key) -> std::vector<Candidate>
{
    std::vector<Candidate> candidates;
    for (const auto &name : names) {
        const auto &record = findRecord(state, name);
        if (isServing(record.state)) {
            candidates.push_back({ .record = &record, .rank = detail::weightedRankOf(key, name, detail::weightOf(state, name)) });
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        const bool aSuspect = a.record->state == MemberState::Suspect;
        const bool bSuspect = b.record->state == MemberState::Suspect;
        return aSuspect != bSuspect ? bSuspect : a.rank > b.rank;
    });
    return candidates;
}

/// A caller whose first address fails should not find the second in the same failed domain.
auto spreadDomains(std::vector<Candidate> &candidates) -> void
{
    if (candidates.size() < 2) {
        return;
    }
    const auto &firstDomain = candidates.front().record->failureDomain;
    const auto other = std::find_if(candidates.begin() + 1, candidates.end(), [&](const Candidate &candidate) {
        return candidate.record->failureDomain != firstDomain && candidate.record->state == MemberState::Live;
    });
    if (other != candidates.end()) {
        std::rotate(candidates.begin() + 1, other, other + 1);
    }
}

/// Members of the other cells, those of this region first.
auto rankSpares(const MembershipState &state, std::size_t serving, std::uint64_t key) -> std::vector<Candidate>
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < state.cells.size(); ++i) {
        if (i != serving) {
            names.insert(names.end(), state.cells[i].members.begin(), state.cells[i].members.end());
        }
    }
    auto spares = rankMembers(state, names, key);
    std::stable_partition(spares.begin(), spares.end(), [&](const Candidate &candidate) { return candidate.record->region == state.self.region; });
    spares.resize(std::min(spares.size(), SpareAddresses));
    return spares;
}

} // namespace

auto entriesAnswer(const MembershipState &state, const EntriesQuery &query, TimePoint /*now*/) -> EntriesAnswer
{
    EntriesAnswer answer{ .addresses = {}, .keep = state.options.answerKeep, .membershipVersion = state.version };
    const auto serving = findServingCell(state.cells, state.self.region, query.workspace, query.model);
    if (!serving) {
        return answer;
    }
    const auto key = detail::rankOf(detail::keyOf(query.workspace, query.requestClass), query.caller);
    auto candidates = rankMembers(state, state.cells[*serving].members, key);
    spreadDomains(candidates);
    const auto spares = rankSpares(state, *serving, key);
    candidates.insert(candidates.end(), spares.begin(), spares.end());
    for (const auto &candidate : candidates) {
        answer.addresses.push_back(candidate.record->callerAddress);
    }
    return answer;
}

} // namespace auburnspread::membership
