#include "core/once/claimer.h"

#include <algorithm>
#include <utility>

namespace auburnspread::once
{

namespace
{

using detail::Claim;
using detail::ClaimReference;
using detail::ClaimStep;

auto makeNonce(Claimer &claimer) -> std::string
{
    return claimer.options.entry + ":" + std::to_string(claimer.options.incarnation) + ":" + std::to_string(claimer.nextNonce++);
}

auto takeCallId(Claimer &claimer) -> CallId
{
    return CallId{ claimer.nextCall++ };
}

auto findClaim(Claimer &claimer, const ClaimReference &reference) -> Claim *
{
    const auto found = claimer.claims.find(reference.path);
    const bool same = found != claimer.claims.end() && found->second.nonce == reference.nonce;
    return same ? &found->second : nullptr;
}

auto waitFor(Claim &claim, ClaimStep step, TimePoint notBefore) -> void
{
    claim.step = step;
    claim.notBefore = notBefore;
}

auto decideClaim(Claim &claim, ClaimDecision::Result result, ClaimerActions &actions) -> void
{
    if (!claim.request) {
        return;
    }
    actions.emplace_back(ClaimDecision{ .request = *claim.request, .result = result });
    claim.request.reset();
}

auto finish(Claimer &claimer, const std::string &path, ClaimDecision::Result result, ClaimerActions &actions) -> void
{
    auto node = claimer.claims.extract(path);
    decideClaim(node.mapped(), result, actions);
}

auto rememberHeld(Claimer &claimer, const std::string &path, const std::string &nonce) -> void
{
    claimer.held.push_back({ .path = path, .nonce = nonce });
    if (claimer.held.size() > claimer.options.heldCapacity) {
        claimer.held.pop_front();
    }
}

auto takeHeld(Claimer &claimer, const std::string &path) -> std::optional<std::string>
{
    const auto found = std::find_if(claimer.held.rbegin(), claimer.held.rend(), [&](const ClaimReference &held) { return held.path == path; });
    if (found == claimer.held.rend()) {
        return std::nullopt;
    }
    std::string nonce = std::move(found->nonce);
    claimer.held.erase(std::next(found).base());
    return nonce;
}

/// The key holds our nonce: the request may run if it still waits, else the claim is given back.
auto win(Claimer &claimer, const std::string &path, Claim &claim, TimePoint now, ClaimerActions &actions) -> void
{
    claim.mayBeWritten = true;
    if (!claim.request || claim.giveBack) {
        claim.giveBack = true;
        waitFor(claim, ClaimStep::Doubtful, now);
        return;
    }
    rememberHeld(claimer, path, claim.nonce);
    finish(claimer, path, ClaimDecision::Result::Claimed, actions);
}

/// The claim with the old nonce is gone or another's. A request that came meanwhile starts anew, with a nonce of its
/// own: a delete of the old one that is still under way names the old index and cannot remove the new claim.
auto leaveOldNonce(Claimer &claimer, const std::string &path, Claim &claim, TimePoint now) -> void
{
    if (!claim.request) {
        claimer.claims.erase(path);
        return;
    }
    claim.nonce = makeNonce(claimer);
    claim.mayBeWritten = false;
    claim.giveBack = false;
    claim.deleteSent = false;
    waitFor(claim, ClaimStep::Queued, now);
}

/// A write with this claim's nonce did not take effect this time; an earlier one may have.
auto writeAgain(Claimer &claimer, const std::string &path, Claim &claim, TimePoint notBefore) -> void
{
    if (!claim.giveBack) {
        waitFor(claim, ClaimStep::Queued, notBefore);
    } else if (claim.mayBeWritten) {
        waitFor(claim, ClaimStep::Doubtful, notBefore);
    } else {
        leaveOldNonce(claimer, path, claim, notBefore);
    }
}

auto countCleanUps(const Claimer &claimer) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(claimer.claims.begin(), claimer.claims.end(), [](const auto &row) { return !row.second.request; }));
}

/// Nobody waits for a claim that was given up, but a write of it may have taken effect or still will. Left in the
/// service it would make the caller's repeat a duplicate of a request that never ran, so it is cleaned up.
auto giveUpLate(Claimer &claimer, TimePoint now, ClaimerActions &actions) -> void
{
    std::size_t cleanUps = countCleanUps(claimer);
    for (auto row = claimer.claims.begin(); row != claimer.claims.end();) {
        auto &claim = row->second;
        const bool late = claim.request && now - claim.submittedAt >= claimer.options.giveUp;
        if (late) {
            decideClaim(claim, ClaimDecision::Result::Unavailable, actions);
        }
        const bool written = claim.mayBeWritten || claim.step == ClaimStep::Writing;
        const bool stale = now - claim.submittedAt >= claimer.options.giveUp + claimer.options.cleanUpTime;
        const bool noRoom = late && cleanUps >= claimer.options.cleanUpCapacity;
        if (!claim.request && (!written || stale || noRoom)) {
            row = claimer.claims.erase(row);
            continue;
        }
        if (late) {
            ++cleanUps;
            claim.giveBack = true;
            claim.step = claim.step == ClaimStep::Queued ? ClaimStep::Doubtful : claim.step;
        }
        ++row;
    }
}

auto isDue(const Claim &claim, ClaimStep step, TimePoint now) -> bool
{
    return claim.step == step && claim.notBefore <= now;
}

auto sendReads(Claimer &claimer, TimePoint now, ClaimerActions &actions) -> void
{
    for (auto &[path, claim] : claimer.claims) {
        if (claimer.reads.size() >= claimer.options.callsUnderWay) {
            return;
        }
        if (!isDue(claim, ClaimStep::Doubtful, now)) {
            continue;
        }
        claim.step = ClaimStep::Reading;
        const CallId call = takeCallId(claimer);
        claimer.reads[call] = { .path = path, .nonce = claim.nonce };
        actions.emplace_back(ReadCall{ .call = call, .path = path });
    }
}

auto sendDeletes(Claimer &claimer, TimePoint now, ClaimerActions &actions) -> void
{
    for (auto &[path, claim] : claimer.claims) {
        if (claimer.deletes.size() >= claimer.options.callsUnderWay) {
            return;
        }
        if (!isDue(claim, ClaimStep::Condemned, now)) {
            continue;
        }
        claim.step = ClaimStep::Deleting;
        claim.deleteSent = true;
        const CallId call = takeCallId(claimer);
        claimer.deletes[call] = { .path = path, .nonce = claim.nonce };
        actions.emplace_back(DeleteCall{ .call = call, .path = path, .index = claim.index });
    }
}

/// Queued claims in the order of their submission, as many as fit in one transaction.
auto pickBatch(const Claimer &claimer, TimePoint now) -> std::vector<std::string>
{
    std::vector<std::pair<TimePoint, std::string>> due;
    for (const auto &[path, claim] : claimer.claims) {
        if (!isDue(claim, ClaimStep::Queued, now)) {
            continue;
        }
        if (claim.alone) {
            return { path };
        }
        due.emplace_back(claim.submittedAt, path);
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), claimer.options.batchSize));
    std::vector<std::string> batch;
    batch.reserve(due.size());
    for (auto &[submittedAt, path] : due) {
        batch.push_back(std::move(path));
    }
    return batch;
}

auto sendBatch(Claimer &claimer, TimePoint now, ClaimerActions &actions) -> void
{
    if (now < claimer.nextBatchAt || claimer.writes.size() >= claimer.options.callsUnderWay) {
        return;
    }
    const auto batch = pickBatch(claimer, now);
    if (batch.empty()) {
        return;
    }
    CreateCall create{ .call = takeCallId(claimer), .operations = {} };
    for (const auto &path : batch) {
        auto &claim = claimer.claims.at(path);
        claim.step = ClaimStep::Writing;
        create.operations.push_back({ .path = path, .value = claim.nonce });
        claimer.writes[create.call].push_back({ .path = path, .nonce = claim.nonce });
    }
    claimer.nextBatchAt = now + claimer.options.batchInterval;
    actions.emplace_back(std::move(create));
}

/// One operation of a transaction that did not take effect because a key existed.
auto noteConflict(Claimer &claimer, const std::string &path, Claim &claim, bool exists, TimePoint now, ClaimerActions &actions) -> void
{
    if (!exists) {
        writeAgain(claimer, path, claim, now);
        return;
    }
    // An earlier write of ours, whose reply was lost, may be what exists.
    if (claim.mayBeWritten) {
        waitFor(claim, ClaimStep::Doubtful, now);
        return;
    }
    finish(claimer, path, ClaimDecision::Result::Duplicate, actions);
}

auto noteUnknown(const Claimer &claimer, Claim &claim, TimePoint now) -> void
{
    claim.mayBeWritten = true;
    waitFor(claim, ClaimStep::Doubtful, now + claimer.options.retryInterval);
}

auto contains(const std::vector<std::size_t> &indexes, std::size_t index) -> bool
{
    return std::find(indexes.begin(), indexes.end(), index) != indexes.end();
}

/// The key was read back.
auto noteFound(Claimer &claimer, const std::string &path, Claim &claim, const ReadResult &result, TimePoint now, ClaimerActions &actions) -> void
{
    if (result.value != claim.nonce) {
        finish(claimer, path, ClaimDecision::Result::Duplicate, actions);
        return;
    }
    if (!claim.giveBack) {
        win(claimer, path, claim, now, actions);
        return;
    }
    claim.index = result.index;
    waitFor(claim, ClaimStep::Condemned, now);
}

auto noteAbsent(Claimer &claimer, const std::string &path, Claim &claim, TimePoint now) -> void
{
    if (claim.giveBack) {
        leaveOldNonce(claimer, path, claim, now);
        return;
    }
    // The lost write may still take effect: a second create then conflicts, and the nonce is found to be ours.
    waitFor(claim, ClaimStep::Queued, now);
}

/// A request for a key whose claim is being cleaned up. The nonce is still ours alone and was never dispatched with, so
/// it serves the new request, unless a delete of it is under way.
auto takeOver(Claim &claim, RequestId request, TimePoint now) -> void
{
    claim.request = request;
    claim.submittedAt = now;
    if (claim.deleteSent) {
        return;
    }
    claim.giveBack = false;
    if (claim.step == ClaimStep::Condemned || claim.step == ClaimStep::Doubtful) {
        waitFor(claim, ClaimStep::Doubtful, now);
    }
}

} // namespace

auto submit(Claimer &claimer, RequestId request, const ClaimKey &key, TimePoint now) -> ClaimerActions
{
    ClaimerActions actions;
    const auto [known, added] = claimer.claims.try_emplace(key.path);
    auto &claim = known->second;
    if (!added && claim.request) {
        actions.emplace_back(ClaimDecision{ .request = request, .result = ClaimDecision::Result::Duplicate });
        return actions;
    }
    if (!added) {
        takeOver(claim, request, now);
        return advance(claimer, now);
    }
    claim.request = request;
    claim.nonce = makeNonce(claimer);
    claim.submittedAt = now;
    claim.notBefore = now;
    return advance(claimer, now);
}

auto release(Claimer &claimer, const ClaimKey &key, TimePoint now) -> ClaimerActions
{
    const auto nonce = takeHeld(claimer, key.path);
    if (!nonce || claimer.claims.contains(key.path)) {
        return {};
    }
    auto &claim = claimer.claims[key.path];
    claim.nonce = *nonce;
    claim.mayBeWritten = true;
    claim.giveBack = true;
    claim.submittedAt = now;
    waitFor(claim, ClaimStep::Doubtful, now);
    return advance(claimer, now);
}

auto noteCreated(Claimer &claimer, CallId call, CreateResult result, const std::vector<std::size_t> &conflicts, TimePoint now) -> ClaimerActions
{
    ClaimerActions actions;
    const auto node = claimer.writes.extract(call);
    if (node.empty()) {
        return actions;
    }
    const auto &references = node.mapped();
    const bool splits = result == CreateResult::Conflict && conflicts.empty();
    for (std::size_t index = 0; index < references.size(); ++index) {
        auto *claim = findClaim(claimer, references[index]);
        if (claim == nullptr) {
            continue;
        }
        if (result == CreateResult::Committed) {
            win(claimer, references[index].path, *claim, now, actions);
        } else if (result == CreateResult::Unknown) {
            noteUnknown(claimer, *claim, now);
        } else if (result == CreateResult::NotApplied) {
            writeAgain(claimer, references[index].path, *claim, now + claimer.options.retryInterval);
        } else {
            claim->alone = splits;
            const bool exists = contains(conflicts, index) || (splits && references.size() == 1);
            noteConflict(claimer, references[index].path, *claim, exists, now, actions);
        }
    }
    auto further = advance(claimer, now);
    std::move(further.begin(), further.end(), std::back_inserter(actions));
    return actions;
}

auto noteRead(Claimer &claimer, CallId call, const ReadResult &result, TimePoint now) -> ClaimerActions
{
    ClaimerActions actions;
    const auto node = claimer.reads.extract(call);
    auto *claim = node.empty() ? nullptr : findClaim(claimer, node.mapped());
    if (claim == nullptr) {
        return actions;
    }
    const auto &path = node.mapped().path;
    if (result.kind == ReadResult::Kind::Found) {
        noteFound(claimer, path, *claim, result, now, actions);
    } else if (result.kind == ReadResult::Kind::Absent) {
        noteAbsent(claimer, path, *claim, now);
    } else {
        waitFor(*claim, ClaimStep::Doubtful, now + claimer.options.retryInterval);
    }
    auto further = advance(claimer, now);
    std::move(further.begin(), further.end(), std::back_inserter(actions));
    return actions;
}

auto noteDeleted(Claimer &claimer, CallId call, bool settled, TimePoint now) -> ClaimerActions
{
    const auto node = claimer.deletes.extract(call);
    auto *claim = node.empty() ? nullptr : findClaim(claimer, node.mapped());
    if (claim == nullptr) {
        return {};
    }
    if (settled) {
        leaveOldNonce(claimer, node.mapped().path, *claim, now);
    } else {
        waitFor(*claim, ClaimStep::Condemned, now + claimer.options.retryInterval);
    }
    return advance(claimer, now);
}

auto advance(Claimer &claimer, TimePoint now) -> ClaimerActions
{
    ClaimerActions actions;
    giveUpLate(claimer, now, actions);
    sendReads(claimer, now, actions);
    sendDeletes(claimer, now, actions);
    sendBatch(claimer, now, actions);
    return actions;
}

auto isBusy(const Claimer &claimer) -> bool
{
    return !claimer.claims.empty();
}

} // namespace auburnspread::once
