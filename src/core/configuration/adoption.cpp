#include "core/configuration/adoption.h"

#include <xxhash.h>

#include <algorithm>

namespace auburnspread::configuration
{

namespace
{

auto adoptedVersion(const AdoptionState &state) -> std::uint64_t
{
    return state.current ? state.current->version : 0;
}

/// The highest version that this node knows to exist.
auto knownVersion(const AdoptionState &state) -> std::uint64_t
{
    return state.pending ? state.pending->manifest.version : adoptedVersion(state);
}

auto askForManifest(AdoptionState &state, const Source &source, AdoptionActions &actions) -> void
{
    if (state.fetchingManifests.insert(source).second) {
        actions.emplace_back(FetchManifest{ .source = source });
    }
}

auto askEverySource(AdoptionState &state, AdoptionActions &actions) -> void
{
    askForManifest(state, Source(), actions);
    for (const auto &peer : state.peers) {
        askForManifest(state, Source{ .peer = peer }, actions);
    }
}

/// A holder that has not failed since the last delay; null: none is left.
auto nextHolder(const PendingManifest &pending, const PartFetch &fetch) -> const Source *
{
    const auto untried = [&fetch](const Source &source) { return !fetch.failed.contains(source); };
    const auto found = std::ranges::find_if(pending.holders, untried);
    return found == pending.holders.end() ? nullptr : &*found;
}

auto countInFlight(const PendingManifest &pending) -> std::size_t
{
    const auto inFlight = [](const auto &entry) { return entry.second.inFlight.has_value(); };
    return static_cast<std::size_t>(std::ranges::count_if(pending.missing, inFlight));
}

auto fetchParts(AdoptionState &state, TimePoint now, AdoptionActions &actions) -> void
{
    auto &pending = *state.pending;
    if (now < pending.retryAt) {
        return;
    }
    auto inFlight = countInFlight(pending);
    for (auto &[digest, fetch] : pending.missing) {
        if (inFlight >= state.options.concurrentFetches) {
            return;
        }
        const auto *const holder = fetch.inFlight ? nullptr : nextHolder(pending, fetch);
        if (holder == nullptr) {
            continue;
        }
        fetch.inFlight = *holder;
        actions.emplace_back(FetchPart{ .source = *holder, .digest = digest });
        ++inFlight;
    }
}

/// Every source failed for a part: all are asked again, after a delay.
auto delayFetches(AdoptionState &state, TimePoint now) -> void
{
    auto &pending = *state.pending;
    for (auto &[digest, fetch] : pending.missing) {
        fetch.failed.clear();
    }
    pending.retryAt = now + pending.delay;
    pending.delay = std::min(pending.delay * 2, state.options.retryDelayMaximum);
}

auto rejectPending(AdoptionState &state, const std::string &text, AdoptionActions &actions) -> void
{
    const auto &manifest = state.pending->manifest;
    actions.emplace_back(RejectManifest{ .version = manifest.version, .text = text });
    state.rejectedVersion = manifest.version;
    state.rejectedDigest = manifest.digest;
    state.rejection = text;
}

auto adoptPending(AdoptionState &state, AdoptionActions &actions) -> void
{
    state.current = std::make_shared<const AdoptedDocument>(assemble(state.pending->manifest, state.arrived, state.parsedParts));
    state.manifest = state.pending->manifest;
    state.parts = state.arrived;
    actions.emplace_back(Adopt{ .configuration = state.current });
    actions.emplace_back(AnnounceVersion{ .version = state.current->version });
}

auto finishPending(AdoptionState &state, AdoptionActions &actions) -> void
{
    try {
        adoptPending(state, actions);
    } catch (const ManifestError &error) {
        rejectPending(state, error.what(), actions);
    }
    state.pending.reset();
    state.arrived.clear();
}

auto advance(AdoptionState &state, TimePoint now, AdoptionActions &actions) -> void
{
    if (state.pending && state.pending->missing.empty()) {
        finishPending(state, actions);
    }
    if (state.pending) {
        fetchParts(state, now, actions);
    }
    // A restarted node would go back to an older version if it served the first one it heard of, while another source
    // still has to answer or a higher version is known and not here yet. A rejected one does not count: a faulty
    // document must not keep a new node out of service.
    if (state.current && !state.pending && state.fetchingManifests.empty()) {
        state.ready = true;
    }
}

/// The source that told of the manifest is asked for parts first, the platform's service last of the others: its
/// rate grows more slowly than the fleet.
auto holdersOf(const AdoptionState &state, const Source &source) -> std::vector<Source>
{
    auto holders = std::vector<Source>{ source };
    if (!source.isPlatform()) {
        holders.emplace_back();
        return holders;
    }
    for (const auto &peer : state.peers) {
        holders.push_back(Source{ .peer = peer });
    }
    return holders;
}

auto beginPending(AdoptionState &state, const Source &source, const Manifest &manifest) -> void
{
    auto kept = std::move(state.arrived);
    kept.insert(state.parts.begin(), state.parts.end());
    state.arrived.clear();
    state.pending = PendingManifest{ .manifest = manifest, .holders = holdersOf(state, source), .missing = {}, .delay = state.options.retryDelay };
    for (const auto &part : manifest.parts) {
        const auto found = kept.find(part.digest);
        if (found != kept.end()) {
            state.arrived.insert(*found);
        } else {
            state.pending->missing.try_emplace(part.digest);
        }
    }
}

auto addHolder(PendingManifest &pending, const Source &source) -> void
{
    if (std::ranges::find(pending.holders, source) == pending.holders.end()) {
        pending.holders.insert(pending.holders.begin(), source);
    }
}

auto isRejected(const AdoptionState &state, const Manifest &manifest) -> bool
{
    return manifest.version == state.rejectedVersion && manifest.digest == state.rejectedDigest;
}

auto considerManifest(AdoptionState &state, const Source &source, const Manifest &manifest) -> void
{
    if (isRejected(state, manifest)) {
        return;
    }
    if (state.pending && manifest.version == state.pending->manifest.version) {
        addHolder(*state.pending, source);
    } else if (manifest.version > knownVersion(state)) {
        beginPending(state, source, manifest);
    }
}

auto scheduleCheck(AdoptionState &state, TimePoint now, bool answered) -> void
{
    const auto &options = state.options;
    const auto longer = std::min(std::max(state.checkDelay * 2, options.retryDelay), options.retryDelayMaximum);
    state.checkDelay = answered ? Duration::zero() : longer;
    state.nextCheck = now + (answered ? options.checkInterval : state.checkDelay);
}

auto apply(AdoptionState &state, const AdoptionStarted &event, TimePoint now, AdoptionActions &actions) -> void
{
    state.started = true;
    state.self = event.self;
    std::ranges::copy_if(event.peers, std::back_inserter(state.peers), [&event](const std::string &peer) { return peer != event.self; });
    state.nextCheck = now + state.options.checkInterval;
    askEverySource(state, actions);
}

auto apply(AdoptionState &state, const CellKnown &event, TimePoint /*now*/, AdoptionActions &actions) -> void
{
    const auto watching = isWatcher(state.self, event.members, state.options.watchersPerCell);
    if (watching != state.watching) {
        state.watching = watching;
        actions.emplace_back(WatchManifest{ .active = watching });
    }
    state.peers.clear();
    std::ranges::copy_if(event.members, std::back_inserter(state.peers), [&state](const std::string &member) { return member != state.self; });
}

auto apply(AdoptionState &state, const VersionAnnounced &event, TimePoint /*now*/, AdoptionActions &actions) -> void
{
    const auto source = Source{ .peer = event.peer };
    if (state.pending && event.version == state.pending->manifest.version) {
        addHolder(*state.pending, source);
        return;
    }
    if (event.version > knownVersion(state) && event.version != state.rejectedVersion) {
        askForManifest(state, source, actions);
    }
}

auto apply(AdoptionState &state, const ManifestFetched &event, TimePoint now, AdoptionActions & /*actions*/) -> void
{
    state.fetchingManifests.erase(event.source);
    if (event.source.isPlatform()) {
        state.platformAnswers = true;
        state.platformVersion = event.manifest ? event.manifest->version : 0;
        scheduleCheck(state, now, true);
    }
    if (event.manifest) {
        considerManifest(state, event.source, *event.manifest);
    }
}

auto apply(AdoptionState &state, const ManifestFailed &event, TimePoint now, AdoptionActions & /*actions*/) -> void
{
    state.fetchingManifests.erase(event.source);
    if (event.source.isPlatform()) {
        state.platformAnswers = false;
        scheduleCheck(state, now, false);
    }
}

auto apply(AdoptionState &state, const PartFetched &event, TimePoint /*now*/, AdoptionActions & /*actions*/) -> void
{
    if (state.pending && state.pending->missing.erase(event.digest) > 0) {
        state.arrived[event.digest] = std::make_shared<const std::string>(event.content);
        state.pending->delay = state.options.retryDelay;
    }
}

auto apply(AdoptionState &state, const PartFailed &event, TimePoint now, AdoptionActions & /*actions*/) -> void
{
    if (!state.pending) {
        return;
    }
    const auto found = state.pending->missing.find(event.digest);
    if (found == state.pending->missing.end() || found->second.inFlight != event.source) {
        return;
    }
    found->second.inFlight.reset();
    found->second.failed.insert(event.source);
    if (nextHolder(*state.pending, found->second) == nullptr) {
        delayFetches(state, now);
    }
}

auto apply(AdoptionState &state, const AdoptionTick & /*event*/, TimePoint now, AdoptionActions &actions) -> void
{
    if (!state.started || now < state.nextCheck) {
        return;
    }
    state.nextCheck = now + state.options.checkInterval;
    if (!state.current) {
        askEverySource(state, actions);
    } else if (!state.watching || !state.platformAnswers) {
        askForManifest(state, Source(), actions);
    }
}

} // namespace

auto handle(AdoptionState &state, const AdoptionEvent &event, TimePoint now) -> AdoptionActions
{
    auto actions = AdoptionActions();
    std::visit([&](const auto &concrete) { apply(state, concrete, now, actions); }, event);
    advance(state, now, actions);
    return actions;
}

auto readinessOf(const AdoptionState &state) -> Readiness
{
    if (state.ready) {
        return { .ready = true, .text = {} };
    }
    if (!state.fetchingManifests.empty()) {
        return { .ready = false, .text = "waiting for " + std::to_string(state.fetchingManifests.size()) + " sources to say which version they hold" };
    }
    if (state.pending) {
        const auto version = std::to_string(state.pending->manifest.version);
        return { .ready = false, .text = "fetching " + std::to_string(state.pending->missing.size()) + " parts of version " + version };
    }
    if (state.rejectedVersion > 0) {
        return { .ready = false, .text = "version " + std::to_string(state.rejectedVersion) + " was rejected: " + state.rejection };
    }
    return { .ready = false, .text = "no source holds a configuration" };
}

auto partOf(const AdoptionState &state, const std::string &digest) -> PartContent
{
    const auto found = state.parts.find(digest);
    return found == state.parts.end() ? nullptr : found->second;
}

auto isWatcher(const std::string &self, const std::vector<std::string> &members, std::size_t count) -> bool
{
    const auto rank = [](const std::string &name) { return std::pair(XXH64(name.data(), name.size(), 0), name); };
    const auto before = std::ranges::count_if(members, [&](const std::string &member) { return rank(member) < rank(self); });
    return static_cast<std::size_t>(before) < count;
}

} // namespace auburnspread::configuration
