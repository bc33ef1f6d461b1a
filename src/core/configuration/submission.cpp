#include "core/configuration/submission.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>

namespace auburnspread::configuration
{

namespace
{

constexpr auto OutcomeNames = std::to_array<NamedValue<SubmissionOutcome>>({
    { SubmissionOutcome::Accepted, "accepted" },
    { SubmissionOutcome::Unchanged, "unchanged" },
    { SubmissionOutcome::Conflict, "conflict" },
    { SubmissionOutcome::TooLarge, "too-large" },
    { SubmissionOutcome::NotDone, "not-done" },
    { SubmissionOutcome::Unknown, "unknown" },
});

auto versionOf(const StoredManifest &stored) -> std::uint64_t
{
    return stored.manifest ? stored.manifest->version : 0;
}

auto finish(SubmissionState &state, SubmissionFinished result, SubmissionActions &actions) -> void
{
    state.phase = SubmissionPhase::Finished;
    state.retryAt.reset();
    actions.emplace_back(std::move(result));
}

auto finishInForce(SubmissionState &state, SubmissionOutcome outcome, std::uint64_t version, SubmissionActions &actions) -> void
{
    finish(state, { .outcome = outcome, .version = version, .digest = state.parts.digest }, actions);
}

auto finishConflict(SubmissionState &state, std::vector<Change> theirs, std::string text, SubmissionActions &actions) -> void
{
    auto result = SubmissionFinished{ .outcome = SubmissionOutcome::Conflict, .text = std::move(text), .theirs = std::move(theirs) };
    if (state.theirs) {
        result.version = state.theirs->version;
        result.digest = state.theirs->digest;
        result.otherAuthor = state.theirs->author;
    }
    result.ours = differences(state.request.edited, state.request.document);
    finish(state, std::move(result), actions);
}

auto giveUp(SubmissionState &state, SubmissionActions &actions) -> void
{
    if (state.phase == SubmissionPhase::ReadingTheirs) {
        finishConflict(state, {}, "the other document could not be read", actions);
        return;
    }
    if (state.manifestWriteSent) {
        finish(state, { .outcome = SubmissionOutcome::Unknown, .text = "the platform's service does not answer; the document may be in force" }, actions);
        return;
    }
    finish(state, { .outcome = SubmissionOutcome::NotDone, .text = "the platform's service does not answer; nothing changed" }, actions);
}

/// Asks for as many of the waiting parts as may be in flight.
template <typename Make>
auto askForParts(SubmissionState &state, const Make &make, SubmissionActions &actions) -> void
{
    if (state.retryAt) {
        return;
    }
    for (const auto &digest : state.waiting) {
        if (state.inFlight.size() >= state.options.concurrentCalls) {
            return;
        }
        if (state.inFlight.insert(digest).second) {
            actions.emplace_back(make(digest));
        }
    }
}

auto writeManifest(SubmissionState &state, TimePoint now, SubmissionActions &actions) -> void
{
    state.retryAt.reset();
    if (now - state.startedAt > state.options.timeLimit) {
        giveUp(state, actions);
        return;
    }
    state.phase = SubmissionPhase::WritingManifest;
    state.manifestWriteSent = true;
    const auto manifest = nextManifest(state.request, state.parts, state.base.manifest);
    actions.emplace_back(WriteManifest{ .value = serializeManifest(manifest), .index = state.base.index });
}

auto writeParts(SubmissionState &state, TimePoint now, SubmissionActions &actions) -> void
{
    if (state.waiting.empty()) {
        writeManifest(state, now, actions);
        return;
    }
    const auto make = [&state](const std::string &digest) {
        return WritePart{ .digest = digest, .value = encodePart(*state.parts.contents.at(digest), state.request.nonce) };
    };
    askForParts(state, make, actions);
}

auto readTheirs(SubmissionState &state, SubmissionActions &actions) -> void
{
    if (state.waiting.empty()) {
        try {
            const auto other = assemble(*state.theirs, state.theirParts);
            finishConflict(state, differences(state.request.edited, other.document), {}, actions);
        } catch (const ManifestError &error) {
            finishConflict(state, {}, "the other document is faulty: " + std::string(error.what()), actions);
        }
        return;
    }
    askForParts(
        state, [](const std::string &digest) { return ReadPart{ .digest = digest }; }, actions);
}

/// Parts that the two documents share need not be read.
auto beginReadingTheirs(SubmissionState &state, const StoredManifest &stored, SubmissionActions &actions) -> void
{
    state.phase = SubmissionPhase::ReadingTheirs;
    state.theirs = stored.manifest;
    state.waiting.clear();
    state.inFlight.clear();
    if (!state.theirs) {
        finishConflict(state, {}, "there is no document in force any more", actions);
        return;
    }
    state.theirParts = state.parts.contents;
    state.theirParts.merge(split(state.request.edited).contents);
    for (const auto &part : state.theirs->parts) {
        if (!state.theirParts.contains(part.digest)) {
            state.waiting.insert(part.digest);
        }
    }
    readTheirs(state, actions);
}

auto beginWritingParts(SubmissionState &state, TimePoint now, SubmissionActions &actions) -> void
{
    state.phase = SubmissionPhase::WritingParts;
    for (const auto &part : state.parts.references) {
        state.waiting.insert(part.digest);
    }
    // The manifest in force names these, so nothing collects them while the compare-and-swap can still succeed.
    if (state.base.manifest) {
        for (const auto &part : state.base.manifest->parts) {
            state.waiting.erase(part.digest);
        }
    }
    writeParts(state, now, actions);
}

auto firstRead(SubmissionState &state, const StoredManifest &stored, TimePoint now, SubmissionActions &actions) -> void
{
    if (stored.manifest && stored.manifest->digest == state.parts.digest) {
        finishInForce(state, SubmissionOutcome::Unchanged, stored.manifest->version, actions);
        return;
    }
    if (versionOf(stored) != state.request.editedVersion) {
        beginReadingTheirs(state, stored, actions);
        return;
    }
    state.base = stored;
    beginWritingParts(state, now, actions);
}

/// The version under which this submission was accepted; nothing: no trace of it.
auto acceptedVersion(const SubmissionState &state, const StoredManifest &stored) -> std::optional<std::uint64_t>
{
    if (!stored.manifest) {
        return std::nullopt;
    }
    const auto &nonce = state.request.nonce;
    const auto &manifest = *stored.manifest;
    if (manifest.nonce == nonce) {
        return manifest.version;
    }
    const auto found = std::ranges::find(manifest.past, nonce, &PastSubmission::nonce);
    return found == manifest.past.end() ? std::nullopt : std::optional(found->version);
}

/// Settles a manifest write that was not answered, or was refused: refused may mean that an earlier try of our
/// own, whose reply was lost, took effect.
auto readBack(SubmissionState &state, const StoredManifest &stored, TimePoint now, SubmissionActions &actions) -> void
{
    if (const auto version = acceptedVersion(state, stored)) {
        finishInForce(state, SubmissionOutcome::Accepted, *version, actions);
        return;
    }
    if (stored.index == state.base.index) {
        // Not in effect so far. The write may still be under way; repeating it is safe, since both compare with the
        // same index and at most one of them can succeed.
        writeManifest(state, now, actions);
        return;
    }
    if (versionOf(stored) > nextVersion(state.request) + MaximumPast) {
        finish(state, { .outcome = SubmissionOutcome::Unknown, .text = "too many submissions followed to tell whether this one was in force" }, actions);
        return;
    }
    beginReadingTheirs(state, stored, actions);
}

auto apply(SubmissionState &state, const SubmissionStarted & /*event*/, TimePoint now, SubmissionActions &actions) -> void
{
    state.startedAt = now;
    try {
        state.parts = split(state.request.document);
    } catch (const ManifestError &error) {
        finish(state, { .outcome = SubmissionOutcome::TooLarge, .text = error.what() }, actions);
        return;
    }
    actions.emplace_back(ReadManifest());
}

auto apply(SubmissionState &state, const ManifestRead &event, TimePoint now, SubmissionActions &actions) -> void
{
    if (state.phase == SubmissionPhase::ReadingManifest) {
        firstRead(state, event.stored, now, actions);
    } else if (state.phase == SubmissionPhase::ReadingBack) {
        readBack(state, event.stored, now, actions);
    }
}

auto apply(SubmissionState &state, const PartWritten &event, TimePoint now, SubmissionActions &actions) -> void
{
    if (state.phase != SubmissionPhase::WritingParts) {
        return;
    }
    state.inFlight.erase(event.digest);
    state.waiting.erase(event.digest);
    writeParts(state, now, actions);
}

auto apply(SubmissionState &state, const ManifestWritten &event, TimePoint /*now*/, SubmissionActions &actions) -> void
{
    if (state.phase != SubmissionPhase::WritingManifest) {
        return;
    }
    if (event.swapped) {
        finishInForce(state, SubmissionOutcome::Accepted, nextVersion(state.request), actions);
        return;
    }
    state.phase = SubmissionPhase::ReadingBack;
    actions.emplace_back(ReadManifest());
}

auto apply(SubmissionState &state, const PartRead &event, TimePoint /*now*/, SubmissionActions &actions) -> void
{
    if (state.phase != SubmissionPhase::ReadingTheirs) {
        return;
    }
    state.theirParts[event.digest] = std::make_shared<const std::string>(event.content);
    state.inFlight.erase(event.digest);
    state.waiting.erase(event.digest);
    readTheirs(state, actions);
}

auto apply(SubmissionState &state, const CallFailed &event, TimePoint now, SubmissionActions &actions) -> void
{
    if (state.phase == SubmissionPhase::Finished) {
        return;
    }
    state.inFlight.erase(event.digest);
    if (event.call == CallFailed::Call::WriteManifest) {
        state.phase = SubmissionPhase::ReadingBack;
    }
    if (state.retryAt) {
        return;
    }
    if (++state.failures >= state.options.maximumFailures) {
        giveUp(state, actions);
        return;
    }
    state.retryAt = now + state.options.retryDelay;
}

auto apply(SubmissionState &state, const SubmissionTick & /*event*/, TimePoint now, SubmissionActions &actions) -> void
{
    if (!state.retryAt || now < *state.retryAt) {
        return;
    }
    state.retryAt.reset();
    switch (state.phase) {
    case SubmissionPhase::ReadingManifest:
    case SubmissionPhase::ReadingBack:
        actions.emplace_back(ReadManifest());
        break;
    case SubmissionPhase::WritingParts:
        writeParts(state, now, actions);
        break;
    case SubmissionPhase::ReadingTheirs:
        readTheirs(state, actions);
        break;
    case SubmissionPhase::WritingManifest:
    case SubmissionPhase::Finished:
        break;
    }
}

} // namespace

auto submissionOutcomeName(SubmissionOutcome outcome) -> std::string_view
{
    return findName(OutcomeNames, outcome);
}

auto nextVersion(const SubmissionRequest &request) -> std::uint64_t
{
    return std::max(request.editedVersion, request.highestSeen) + 1;
}

auto nextManifest(const SubmissionRequest &request, const SplitDocument &parts, const std::optional<Manifest> &base) -> Manifest
{
    auto manifest = Manifest{ .version = nextVersion(request),
                              .digest = parts.digest,
                              .previous = {},
                              .author = request.author,
                              .nonce = request.nonce,
                              .parts = parts.references,
                              .past = {} };
    if (base) {
        manifest.previous = base->digest;
        manifest.past.push_back({ .version = base->version, .nonce = base->nonce });
        manifest.past.insert(manifest.past.end(), base->past.begin(), base->past.end());
        manifest.past.resize(std::min(manifest.past.size(), MaximumPast));
    }
    return manifest;
}

auto handle(SubmissionState &state, const SubmissionEvent &event, TimePoint now) -> SubmissionActions
{
    auto actions = SubmissionActions();
    std::visit([&](const auto &concrete) { apply(state, concrete, now, actions); }, event);
    return actions;
}

} // namespace auburnspread::configuration
