// Submitters and nodes together, under a schedule that RapidCheck draws: messages are delivered in any order, late
// or not at all, replies are lost, nodes restart, the platform's service and links are cut.

#include "core/configuration/adoption.h"
#include "core/configuration/submission.h"
#include "core/configuration/tests/documents.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

namespace auburnspread::configuration
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t NodeCount = 4;

/// A message on its way: it arrives, or the waiting side learns that no answer comes.
struct Delivery {
    std::function<void()> arrive;
    std::function<void()> fail;
};

struct Node {
    AdoptionState state;
    std::uint64_t incarnation = 0;
    std::uint64_t served = 0;        ///< highest version that any incarnation served
    std::uint64_t highestAnswer = 0; ///< highest version that this incarnation was told at its start
    bool platformAnswered = false;   ///< in this incarnation, before it served
    bool cutFromPlatform = false;
};

struct Submitter {
    SubmissionState state;
    std::optional<SubmissionFinished> result;
};

class World
{
public:
    World()
        : nodes_(NodeCount)
    {
        for (std::size_t index = 0; index < NodeCount; ++index) {
            startNode(index);
        }
    }

    auto step(std::uint32_t choice) -> void
    {
        constexpr std::uint32_t Kinds = 32;
        const auto argument = choice / Kinds;
        switch (choice % Kinds) {
        case 0:
        case 1:
            submit(argument);
            break;
        case 2:
        case 3:
            restartNode(argument % NodeCount);
            break;
        case 4:
            nodes_[argument % NodeCount].cutFromPlatform ^= true;
            break;
        case 5:
            cutLinks_[argument % NodeCount][(argument / NodeCount) % NodeCount] ^= true;
            break;
        case 6:
            platformDown_ = argument % 4 == 0;
            break;
        case 7:
        case 8:
            failOne(argument);
            break;
        case 9:
        case 10:
            tick(300ms);
            break;
        default:
            deliverSome(argument);
            break;
        }
        checkNodes();
    }

    /// Everything works again; runs until nothing is left to do.
    auto heal() -> void
    {
        platformDown_ = false;
        cutLinks_ = {};
        for (auto &node : nodes_) {
            node.cutFromPlatform = false;
        }
        constexpr auto Rounds = 40;
        for (auto round = 0; round < Rounds; ++round) {
            while (!deliveries_.empty()) {
                deliverOne(0);
                checkNodes();
            }
            tick(61s);
        }
    }

    auto checkEnd() -> void
    {
        checkSubmissions();
        if (committed_.empty()) {
            return;
        }
        for (const auto &node : nodes_) {
            RC_ASSERT(readinessOf(node.state).ready);
            RC_ASSERT(node.state.current->version == committed_.rbegin()->first);
            RC_ASSERT(node.state.current->digest == committed_.rbegin()->second.digest);
        }
    }

private:
    auto nameOf(std::size_t index) const -> std::string
    {
        return "node-" + std::to_string(index);
    }

    auto send(std::function<void()> arrive, std::function<void()> fail) -> void
    {
        deliveries_.push_back({ .arrive = std::move(arrive), .fail = std::move(fail) });
    }

    auto take(std::uint32_t argument) -> std::optional<Delivery>
    {
        if (deliveries_.empty()) {
            return std::nullopt;
        }
        const auto position = deliveries_.begin() + static_cast<std::ptrdiff_t>(argument % deliveries_.size());
        auto delivery = std::move(*position);
        deliveries_.erase(position);
        return delivery;
    }

    auto deliverOne(std::uint32_t argument) -> void
    {
        if (const auto delivery = take(argument)) {
            delivery->arrive();
        }
    }

    auto deliverSome(std::uint32_t argument) -> void
    {
        constexpr auto Count = 5;
        for (auto index = 0; index < Count; ++index) {
            deliverOne(argument);
        }
    }

    auto failOne(std::uint32_t argument) -> void
    {
        if (const auto delivery = take(argument)) {
            delivery->fail();
        }
    }

    auto tick(Duration step) -> void
    {
        now_ += step;
        for (std::size_t index = 0; index < NodeCount; ++index) {
            tell(index, nodes_[index].incarnation, AdoptionTick());
        }
        for (std::size_t index = 0; index < submitters_.size(); ++index) {
            tell(index, SubmissionTick());
        }
    }

    // Nodes.

    auto startNode(std::size_t index) -> void
    {
        auto names = std::vector<std::string>();
        for (std::size_t other = 0; other < NodeCount; ++other) {
            names.push_back(nameOf(other));
        }
        const auto incarnation = nodes_[index].incarnation;
        tell(index, incarnation, AdoptionStarted{ .self = nameOf(index), .peers = names });
        tell(index, incarnation, CellKnown{ .members = names });
    }

    auto restartNode(std::size_t index) -> void
    {
        auto &node = nodes_[index];
        node.state = AdoptionState();
        ++node.incarnation;
        node.highestAnswer = 0;
        node.platformAnswered = false;
        startNode(index);
    }

    auto tell(std::size_t index, std::uint64_t incarnation, const AdoptionEvent &event) -> void
    {
        auto &node = nodes_[index];
        if (node.incarnation != incarnation) {
            return;
        }
        noteAnswer(node, event);
        for (const auto &action : handle(node.state, event, now_)) {
            std::visit([&](const auto &concrete) { carryOut(index, concrete); }, action);
        }
    }

    auto noteAnswer(Node &node, const AdoptionEvent &event) -> void
    {
        const auto *const answer = std::get_if<ManifestFetched>(&event);
        if (answer == nullptr || node.state.ready) {
            return;
        }
        node.platformAnswered |= answer->source.isPlatform();
        node.highestAnswer = std::max(node.highestAnswer, answer->manifest ? answer->manifest->version : 0);
    }

    auto carryOut(std::size_t index, const FetchManifest &action) -> void
    {
        const auto incarnation = nodes_[index].incarnation;
        const auto source = action.source;
        const auto fail = [this, index, incarnation, source] { tell(index, incarnation, ManifestFailed{ .source = source }); };
        const auto arrive = [this, index, incarnation, source, fail] {
            if (!isReachable(index, source)) {
                fail();
                return;
            }
            const auto manifest = source.isPlatform() ? platformManifest() : peerManifest(source);
            const auto answer
                = [this, index, incarnation, source, manifest] { tell(index, incarnation, ManifestFetched{ .source = source, .manifest = manifest }); };
            send(answer, fail);
        };
        send(arrive, fail);
    }

    auto carryOut(std::size_t index, const FetchPart &action) -> void
    {
        const auto incarnation = nodes_[index].incarnation;
        const auto fail = [this, index, incarnation, action] { tell(index, incarnation, PartFailed{ .source = action.source, .digest = action.digest }); };
        const auto arrive = [this, index, incarnation, action, fail] {
            const auto content = isReachable(index, action.source) ? partAt(action.source, action.digest) : std::nullopt;
            if (!content) {
                fail();
                return;
            }
            send([this, index, incarnation, action, content] { tell(index, incarnation, PartFetched{ .digest = action.digest, .content = *content }); }, fail);
        };
        send(arrive, fail);
    }

    auto carryOut(std::size_t index, const AnnounceVersion &action) -> void
    {
        for (std::size_t other = 0; other < NodeCount; ++other) {
            if (other == index) {
                continue;
            }
            const auto arrive = [this, index, other, action] {
                if (!cutLinks_[index][other]) {
                    tell(other, nodes_[other].incarnation, VersionAnnounced{ .peer = nameOf(index), .version = action.version });
                }
            };
            send(arrive, [] {});
        }
    }

    auto carryOut(std::size_t /*index*/, const Adopt & /*action*/) -> void {}

    auto carryOut(std::size_t /*index*/, const WatchManifest & /*action*/) -> void {}

    auto carryOut(std::size_t /*index*/, const RejectManifest & /*action*/) -> void
    {
        RC_FAIL("a node rejected a submitted document");
    }

    auto isReachable(std::size_t index, const Source &source) const -> bool
    {
        if (source.isPlatform()) {
            return !platformDown_ && !nodes_[index].cutFromPlatform;
        }
        return !cutLinks_[index][peerIndex(source)];
    }

    auto peerIndex(const Source &source) const -> std::size_t
    {
        return std::stoul(source.peer.substr(std::string_view("node-").size()));
    }

    auto peerManifest(const Source &source) const -> std::optional<Manifest>
    {
        const auto &state = nodes_[peerIndex(source)].state;
        return state.current ? std::optional(state.manifest) : std::nullopt;
    }

    auto partAt(const Source &source, const std::string &digest) const -> std::optional<std::string>
    {
        if (!source.isPlatform()) {
            const auto content = partOf(nodes_[peerIndex(source)].state, digest);
            return content ? std::optional(*content) : std::nullopt;
        }
        const auto found = parts_.find(digest);
        return found == parts_.end() ? std::nullopt : decodePart(found->second, digest);
    }

    auto checkNodes() -> void
    {
        for (auto &node : nodes_) {
            if (!readinessOf(node.state).ready) {
                continue;
            }
            const auto version = node.state.current->version;
            RC_ASSERT(version >= node.highestAnswer);
            // Only a node that reached neither the platform's service nor a node that knows better may fall behind
            // its own past, which it has forgotten.
            if (node.platformAnswered) {
                RC_ASSERT(version >= node.served);
            }
            RC_ASSERT(committed_.at(version).digest == node.state.current->digest);
            node.highestAnswer = std::max(node.highestAnswer, version);
            node.served = std::max(node.served, version);
        }
    }

    // Submissions.

    auto submit(std::uint32_t argument) -> void
    {
        constexpr std::size_t MaximumSubmitters = 12;
        if (submitters_.size() == MaximumSubmitters) {
            return;
        }
        auto request = SubmissionRequest{ .document = tests::makeDocument(), .author = "operator" };
        request.nonce = "nonce-" + std::to_string(submitters_.size());
        if (!committed_.empty()) {
            // The newest document or the one before it: the latter conflicts.
            auto base = std::prev(committed_.end());
            if (argument % 3 == 0 && base != committed_.begin()) {
                --base;
            }
            request.editedVersion = base->first;
            request.edited = documents_.at(base->second.nonce);
            request.document = request.edited;
        }
        request.document.workspaces[argument % 3].concurrency = static_cast<std::uint32_t>(submitters_.size()) + 1;
        documents_[request.nonce] = request.document;
        submitters_.push_back({ .state = { .request = request }, .result = {} });
        tell(submitters_.size() - 1, SubmissionStarted());
    }

    auto tell(std::size_t index, const SubmissionEvent &event) -> void
    {
        for (const auto &action : handle(submitters_[index].state, event, now_)) {
            std::visit([&](const auto &concrete) { carryOut(index, concrete); }, action);
        }
    }

    /// One call of a submitter: \p run gives the answer's event. Its failure may lose the request or the reply.
    auto call(std::size_t index, const CallFailed &failure, const std::function<SubmissionEvent()> &run) -> void
    {
        const auto fail = [this, index, failure] { tell(index, failure); };
        const auto arrive = [this, index, run, fail] {
            if (platformDown_) {
                fail();
                return;
            }
            const auto event = run();
            send([this, index, event] { tell(index, event); }, fail);
        };
        // The submitter stops waiting while the request is still under way: it may take effect much later.
        const auto late = [this, run, fail] {
            send([run] { run(); }, [] {});
            fail();
        };
        send(arrive, late);
    }

    auto carryOut(std::size_t index, const ReadManifest & /*action*/) -> void
    {
        call(index, { .call = CallFailed::Call::ReadManifest }, [this] { return ManifestRead{ .stored = { platformManifest(), manifestIndex_ } }; });
    }

    auto carryOut(std::size_t index, const WritePart &action) -> void
    {
        call(index, { .call = CallFailed::Call::WritePart, .digest = action.digest }, [this, action] {
            parts_[action.digest] = action.value;
            return PartWritten{ .digest = action.digest };
        });
    }

    auto carryOut(std::size_t index, const WriteManifest &action) -> void
    {
        call(index, { .call = CallFailed::Call::WriteManifest }, [this, action] {
            const auto swapped = action.index == manifestIndex_;
            if (swapped) {
                manifest_ = action.value;
                ++manifestIndex_;
                const auto manifest = parseManifest(action.value);
                RC_ASSERT((committed_.empty() || manifest.version > committed_.rbegin()->first));
                committed_[manifest.version] = manifest;
            }
            return ManifestWritten{ .swapped = swapped };
        });
    }

    auto carryOut(std::size_t index, const ReadPart &action) -> void
    {
        call(index, { .call = CallFailed::Call::ReadPart, .digest = action.digest }, [this, action] {
            const auto content = decodePart(parts_.at(action.digest), action.digest);
            return PartRead{ .digest = action.digest, .content = content.value() };
        });
    }

    auto carryOut(std::size_t index, const SubmissionFinished &action) -> void
    {
        RC_ASSERT(!submitters_[index].result.has_value());
        submitters_[index].result = action;
    }

    auto platformManifest() const -> std::optional<Manifest>
    {
        return manifest_.empty() ? std::nullopt : std::optional(parseManifest(manifest_));
    }

    auto checkSubmissions() -> void
    {
        auto wins = std::map<std::uint64_t, int>();
        for (const auto &submitter : submitters_) {
            const auto &request = submitter.state.request;
            const auto committed = std::ranges::any_of(committed_, [&](const auto &entry) { return entry.second.nonce == request.nonce; });
            wins[request.editedVersion] += committed ? 1 : 0;
            RC_ASSERT(submitter.result.has_value());
            checkOutcome(*submitter.result, committed);
        }
        for (const auto &[version, count] : wins) {
            RC_ASSERT(count <= 1);
        }
    }

    auto checkOutcome(const SubmissionFinished &result, bool committed) -> void
    {
        switch (result.outcome) {
        case SubmissionOutcome::Accepted:
            RC_ASSERT(committed);
            RC_ASSERT(committed_.at(result.version).digest == result.digest);
            break;
        case SubmissionOutcome::Conflict:
            RC_ASSERT(!committed);
            RC_ASSERT(!result.ours.empty());
            break;
        case SubmissionOutcome::Unchanged:
        case SubmissionOutcome::NotDone:
        case SubmissionOutcome::TooLarge:
            RC_ASSERT(!committed);
            break;
        case SubmissionOutcome::Unknown:
            break;
        }
    }

    TimePoint now_{};
    std::vector<Node> nodes_;
    std::vector<Submitter> submitters_;
    std::vector<Delivery> deliveries_;
    std::array<std::array<bool, NodeCount>, NodeCount> cutLinks_{};
    bool platformDown_ = false;
    std::string manifest_;
    std::uint64_t manifestIndex_ = 0;
    std::map<std::string, std::string> parts_;
    std::map<std::uint64_t, Manifest> committed_; ///< by version
    std::map<std::string, Document> documents_;   ///< by nonce
};

RC_GTEST_PROP(Distribution, NoVersionGoesBackAndEveryAcceptedDocumentIsInForce, ())
{
    const auto schedule = *rc::gen::scale(12.0, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
    auto world = World();
    for (const auto choice : schedule) {
        world.step(choice);
    }
    world.heal();
    world.checkEnd();
}

/// Answers the calls of one submission by hand.
struct Desk {
    SubmissionState state;
    SubmissionActions actions;
    TimePoint now{};

    auto tell(const SubmissionEvent &event) -> void
    {
        actions = handle(state, event, now);
    }

    auto passTime() -> void
    {
        now += state.options.retryDelay;
        tell(SubmissionTick());
    }

    /// Writes every part; leaves the manifest write in \c actions.
    auto writeParts() -> WriteManifest
    {
        while (!std::holds_alternative<WriteManifest>(actions.at(0))) {
            auto writes = actions;
            for (const auto &write : writes) {
                tell(PartWritten{ .digest = std::get<WritePart>(write).digest });
            }
        }
        return std::get<WriteManifest>(actions.at(0));
    }
};

auto requestOn(const Document &edited, std::uint64_t version, std::uint32_t concurrency) -> SubmissionRequest
{
    auto request = SubmissionRequest{ .document = edited, .edited = edited, .editedVersion = version, .author = "ana", .nonce = "nonce-ana" };
    request.document.workspaces[0].concurrency = concurrency;
    return request;
}

// The operator submits; the write takes effect but its reply is lost, and before the read-back another operator
// submits on top. The manifest now carries another nonce; the first submission must still be told as accepted,
// because its version was in force and the second one was made on it.
TEST(Submission, FindsItselfInThePastAfterALostReply)
{
    auto desk = Desk{ .state = { .request = requestOn(tests::makeDocument(), 0, 5) } };
    desk.tell(SubmissionStarted());
    desk.tell(ManifestRead{});
    const auto written = parseManifest(desk.writeParts().value);
    desk.tell(CallFailed{ .call = CallFailed::Call::WriteManifest });
    desk.passTime();
    ASSERT_TRUE(std::holds_alternative<ReadManifest>(desk.actions.at(0)));
    const auto follower = SubmissionRequest{ .document = tests::makeDocument(4), .editedVersion = 1, .author = "ivo", .nonce = "nonce-ivo" };
    desk.tell(ManifestRead{ .stored = { nextManifest(follower, split(follower.document), written), 2 } });
    const auto &result = std::get<SubmissionFinished>(desk.actions.at(0));
    EXPECT_EQ(result.outcome, SubmissionOutcome::Accepted);
    EXPECT_EQ(result.version, 1U);
}

// Two operators edit version 3; the other one's submission comes first. This one is told what both changed, and
// that nothing of its own is in force.
TEST(Submission, TellsBothChangesOfAConflict)
{
    const auto edited = tests::makeDocument();
    auto other = edited;
    other.workspaces[1].weight = 9;
    const auto otherParts = split(other);
    const auto manifest = nextManifest({ .document = other, .editedVersion = 3, .author = "ivo", .nonce = "nonce-ivo" }, otherParts, std::nullopt);
    auto desk = Desk{ .state = { .request = requestOn(edited, 3, 5) } };
    desk.tell(SubmissionStarted());
    desk.tell(ManifestRead{ .stored = { manifest, 40 } });
    while (!std::holds_alternative<SubmissionFinished>(desk.actions.at(0))) {
        const auto digest = std::get<ReadPart>(desk.actions.at(0)).digest;
        desk.tell(PartRead{ .digest = digest, .content = *otherParts.contents.at(digest) });
    }
    const auto &result = std::get<SubmissionFinished>(desk.actions.at(0));
    EXPECT_EQ(result.outcome, SubmissionOutcome::Conflict);
    EXPECT_EQ(result.otherAuthor, "ivo");
    ASSERT_EQ(result.theirs.size(), 1U);
    EXPECT_EQ(result.theirs[0].path, "/workspaces/workspace-1/weight");
    ASSERT_EQ(result.ours.size(), 1U);
    EXPECT_EQ(result.ours[0].path, "/workspaces/workspace-0/concurrency");
}

// The process is paused between writing the parts and the manifest, for longer than collectors wait. Its parts may
// be gone, so it must not name them.
TEST(Submission, GivesUpAfterALongPause)
{
    auto desk = Desk{ .state = { .request = requestOn(tests::makeDocument(), 0, 5) } };
    desk.tell(SubmissionStarted());
    desk.tell(ManifestRead{});
    desk.now += desk.state.options.timeLimit + 1s;
    while (!std::holds_alternative<SubmissionFinished>(desk.actions.at(0))) {
        const auto writes = desk.actions;
        for (const auto &write : writes) {
            desk.tell(PartWritten{ .digest = std::get<WritePart>(write).digest });
        }
    }
    EXPECT_EQ(std::get<SubmissionFinished>(desk.actions.at(0)).outcome, SubmissionOutcome::NotDone);
}

// The platform's service fails while an accepted version is known to one node only. The others must get manifest
// and parts from that node.
TEST(Adoption, FetchesFromPeersDuringAnOutage)
{
    const auto parts = split(tests::makeDocument());
    const auto manifest = nextManifest({ .editedVersion = 6, .nonce = "nonce" }, parts, std::nullopt);
    auto state = AdoptionState();
    auto now = TimePoint();
    handle(state, AdoptionStarted{ .self = "node-0", .peers = { "node-1" } }, now);
    handle(state, ManifestFailed{ .source = Source() }, now);
    EXPECT_FALSE(readinessOf(state).ready);
    auto actions = handle(state, ManifestFetched{ .source = { .peer = "node-1" }, .manifest = manifest }, now);
    ASSERT_EQ(actions.size(), manifest.parts.size());
    for (const auto &part : manifest.parts) {
        EXPECT_FALSE(readinessOf(state).ready);
        actions = handle(state, PartFetched{ .digest = part.digest, .content = *parts.contents.at(part.digest) }, now);
    }
    EXPECT_TRUE(readinessOf(state).ready);
    EXPECT_EQ(std::get<Adopt>(actions.at(0)).configuration->version, 7U);
    EXPECT_EQ(std::get<AnnounceVersion>(actions.at(1)).version, 7U);
}

// A restarted node hears version 6 from a lagging peer first. It served version 7 before; serving 6 now would take
// its callers back. It must wait for the other sources.
TEST(Adoption, WaitsForEverySourceBeforeItServes)
{
    const auto parts = split(tests::makeDocument());
    const auto manifest = nextManifest({ .editedVersion = 5, .nonce = "nonce" }, parts, std::nullopt);
    auto state = AdoptionState();
    const auto now = TimePoint();
    handle(state, AdoptionStarted{ .self = "node-0", .peers = { "node-1", "node-2" } }, now);
    handle(state, ManifestFailed{ .source = Source() }, now);
    handle(state, ManifestFetched{ .source = { .peer = "node-1" }, .manifest = manifest }, now);
    for (const auto &part : manifest.parts) {
        handle(state, PartFetched{ .digest = part.digest, .content = *parts.contents.at(part.digest) }, now);
    }
    EXPECT_NE(state.current, nullptr);
    EXPECT_FALSE(readinessOf(state).ready);
    auto newer = manifest;
    newer.version = 7;
    handle(state, ManifestFetched{ .source = { .peer = "node-2" }, .manifest = newer }, now);
    EXPECT_TRUE(readinessOf(state).ready);
    EXPECT_EQ(state.current->version, 7U);
    handle(state, ManifestFetched{ .source = { .peer = "node-1" }, .manifest = manifest }, now);
    EXPECT_EQ(state.current->version, 7U);
}

} // namespace

} // namespace auburnspread::configuration
