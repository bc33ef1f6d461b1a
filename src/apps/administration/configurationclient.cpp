#include "apps/administration/configurationclient.h"

#include <openssl/rand.h>

#include <array>
#include <deque>
#include <stdexcept>
#include <utility>

namespace auburnspread::administration
{

namespace
{

using configuration::CallFailed;
using configuration::Manifest;
using configuration::ManifestError;
using configuration::PartContents;
using platform::ReadResult;
using platform::Snapshot;
using platform::Verdict;
using platform::WriteResult;

constexpr std::size_t ConcurrentReads = 8;
constexpr std::size_t NonceBytes = 16;
constexpr Duration TickInterval = std::chrono::milliseconds(50);

constexpr auto ManifestKey = configuration::ManifestKey;
constexpr auto PartKeyPrefix = configuration::PartKeyPrefix;

/// \throws ManifestError if the value is not a manifest
auto readStored(const Snapshot &snapshot) -> configuration::StoredManifest
{
    if (snapshot.entries.empty()) {
        return {};
    }
    const auto &entry = snapshot.entries.front();
    return { .manifest = configuration::parseManifest(entry.value), .index = entry.modifyIndex };
}

auto contentOf(const ReadResult &result, const std::string &digest) -> std::optional<std::string>
{
    const auto *const snapshot = std::get_if<Snapshot>(&result);
    if (snapshot == nullptr || snapshot->entries.empty()) {
        return std::nullopt;
    }
    return configuration::decodePart(snapshot->entries.front().value, digest);
}

auto failureText(const ReadResult &result, const std::string &otherwise) -> std::string
{
    const auto *const failure = std::get_if<platform::Failure>(&result);
    return failure == nullptr ? otherwise : failure->text;
}

} // namespace

/// One reading of manifest and parts. Lives as long as calls of it are under way.
class ConfigurationClient::Reading : public std::enable_shared_from_this<Reading>
{
public:
    Reading(platform::Store &store, std::shared_ptr<PartContents> known, OnInForce onInForce)
        : store_(store)
        , known_(std::move(known))
        , onInForce_(std::move(onInForce))
    {
    }

    auto start() -> void
    {
        store_.get(std::string(ManifestKey), [self = shared_from_this()](const ReadResult &result) { self->handleManifest(result); });
    }

private:
    auto handleManifest(const ReadResult &result) -> void
    {
        const auto *const snapshot = std::get_if<Snapshot>(&result);
        if (snapshot == nullptr) {
            finish(ReadFailure{ .text = "read of the manifest: " + failureText(result, {}) });
            return;
        }
        try {
            const auto stored = readStored(*snapshot);
            if (!stored.manifest) {
                finish(InForce());
                return;
            }
            manifest_ = *stored.manifest;
        } catch (const ManifestError &error) {
            finish(ReadFailure{ .text = error.what() });
            return;
        }
        for (const auto &part : manifest_.parts) {
            const auto found = known_->find(part.digest);
            if (found != known_->end()) {
                contents_.insert(*found);
            } else {
                waiting_.push_back(part.digest);
            }
        }
        readParts();
    }

    auto readParts() -> void
    {
        if (waiting_.empty() && inFlight_ == 0) {
            assemble();
            return;
        }
        while (!waiting_.empty() && inFlight_ < ConcurrentReads) {
            const auto digest = waiting_.front();
            waiting_.pop_front();
            ++inFlight_;
            const auto onRead = [self = shared_from_this(), digest](const ReadResult &result) { self->handlePart(digest, result); };
            store_.get(configuration::partKey(digest), onRead);
        }
    }

    auto handlePart(const std::string &digest, const ReadResult &result) -> void
    {
        --inFlight_;
        if (!onInForce_) {
            return;
        }
        auto content = contentOf(result, digest);
        if (!content) {
            finish(ReadFailure{ .text = "read of part " + digest + ": " + failureText(result, "absent or damaged") });
            return;
        }
        contents_[digest] = std::make_shared<const std::string>(*std::move(content));
        readParts();
    }

    auto assemble() -> void
    {
        try {
            auto adopted = std::make_shared<const configuration::AdoptedDocument>(configuration::assemble(manifest_, contents_));
            *known_ = contents_;
            finish(InForce{ .manifest = manifest_, .configuration = std::move(adopted) });
        } catch (const ManifestError &error) {
            finish(ReadFailure{ .text = error.what() });
        }
    }

    auto finish(const InForceResult &result) -> void
    {
        std::exchange(onInForce_, nullptr)(result);
    }

    platform::Store &store_;
    std::shared_ptr<PartContents> known_;
    OnInForce onInForce_;
    Manifest manifest_;
    PartContents contents_;
    std::deque<std::string> waiting_;
    std::size_t inFlight_ = 0;
};

/// Carries the actions of one submission out and reports back.
class ConfigurationClient::Submitting : public std::enable_shared_from_this<Submitting>
{
public:
    Submitting(task::EventLoop &loop, platform::Store &store, const configuration::SubmissionRequest &request, OnSubmitted onSubmitted)
        : loop_(loop)
        , store_(store)
        , state_{ .request = request }
        , onSubmitted_(std::move(onSubmitted))
    {
    }

    auto start() -> void
    {
        // The watch keeps this object alive until the submission is finished, also while no call is under way.
        ticks_ = loop_.every(TickInterval, [self = shared_from_this()] { self->tell(configuration::SubmissionTick()); });
        tell(configuration::SubmissionStarted());
    }

private:
    auto tell(const configuration::SubmissionEvent &event) -> void
    {
        for (const auto &action : handle(state_, event, task::monotonicNow())) {
            std::visit([this](const auto &concrete) { carryOut(concrete); }, action);
        }
    }

    auto fail(CallFailed::Call call, const std::string &digest = {}) -> void
    {
        tell(CallFailed{ .call = call, .digest = digest });
    }

    auto carryOut(const configuration::ReadManifest & /*action*/) -> void
    {
        store_.get(std::string(ManifestKey), [self = shared_from_this()](const ReadResult &result) { self->handleManifest(result); });
    }

    auto handleManifest(const ReadResult &result) -> void
    {
        const auto *const snapshot = std::get_if<Snapshot>(&result);
        auto stored = std::optional<configuration::StoredManifest>();
        try {
            stored = snapshot == nullptr ? std::nullopt : std::optional(readStored(*snapshot));
        } catch (const ManifestError &) {
            stored.reset();
        }
        if (stored) {
            tell(configuration::ManifestRead{ .stored = *std::move(stored) });
        } else {
            fail(CallFailed::Call::ReadManifest);
        }
    }

    auto carryOut(const configuration::WritePart &action) -> void
    {
        const auto onWrite = [self = shared_from_this(), digest = action.digest](const WriteResult &result) {
            if (result.verdict == Verdict::Applied) {
                self->tell(configuration::PartWritten{ .digest = digest });
            } else {
                self->fail(CallFailed::Call::WritePart, digest);
            }
        };
        store_.put({ .key = configuration::partKey(action.digest), .value = action.value }, onWrite);
    }

    auto carryOut(const configuration::WriteManifest &action) -> void
    {
        const auto onWrite = [self = shared_from_this()](const WriteResult &result) {
            if (result.verdict == Verdict::Applied || result.verdict == Verdict::Conflict) {
                self->tell(configuration::ManifestWritten{ .swapped = result.verdict == Verdict::Applied });
            } else {
                self->fail(CallFailed::Call::WriteManifest);
            }
        };
        store_.put({ .key = std::string(ManifestKey), .value = action.value, .index = action.index }, onWrite);
    }

    auto carryOut(const configuration::ReadPart &action) -> void
    {
        const auto onRead = [self = shared_from_this(), digest = action.digest](const ReadResult &result) {
            if (auto content = contentOf(result, digest)) {
                self->tell(configuration::PartRead{ .digest = digest, .content = *std::move(content) });
            } else {
                self->fail(CallFailed::Call::ReadPart, digest);
            }
        };
        store_.get(configuration::partKey(action.digest), onRead);
    }

    auto carryOut(const configuration::SubmissionFinished &action) -> void
    {
        // Later, because the watch that ends here may be the caller.
        finished_ = loop_.after(Duration::zero(), [self = shared_from_this(), action] {
            self->ticks_ = {};
            const auto onSubmitted = std::exchange(self->onSubmitted_, nullptr);
            onSubmitted(action);
            self->finished_ = {};
        });
    }

    task::EventLoop &loop_;
    platform::Store &store_;
    configuration::SubmissionState state_;
    OnSubmitted onSubmitted_;
    task::Watch ticks_;
    task::Watch finished_;
};

/// One look of the collector.
class ConfigurationClient::Collecting : public std::enable_shared_from_this<Collecting>
{
public:
    Collecting(platform::Store &store, std::shared_ptr<configuration::CollectionState> state, OnCollected onCollected)
        : store_(store)
        , state_(std::move(state))
        , onCollected_(std::move(onCollected))
    {
    }

    auto start() -> void
    {
        store_.list(std::string(PartKeyPrefix), [self = shared_from_this()](const ReadResult &result) { self->handleParts(result); });
    }

private:
    auto handleParts(const ReadResult &result) -> void
    {
        const auto *const snapshot = std::get_if<Snapshot>(&result);
        if (snapshot == nullptr || snapshot->entries.empty()) {
            onCollected_(0);
            return;
        }
        for (const auto &entry : snapshot->entries) {
            indexes_[entry.key.substr(PartKeyPrefix.size())] = entry.modifyIndex;
        }
        store_.get(std::string(ManifestKey), [self = shared_from_this()](const ReadResult &manifest) { self->handleManifest(manifest); });
    }

    auto handleManifest(const ReadResult &result) -> void
    {
        const auto *const snapshot = std::get_if<Snapshot>(&result);
        if (snapshot == nullptr || snapshot->entries.empty()) {
            onCollected_(0);
            return;
        }
        auto event = configuration::PartsListed();
        try {
            event.manifest = *readStored(*snapshot).manifest;
        } catch (const ManifestError &) {
            onCollected_(0);
            return;
        }
        for (const auto &[digest, index] : indexes_) {
            event.digests.push_back(digest);
        }
        tell(event);
        onCollected_(removed_);
    }

    auto tell(const configuration::CollectionEvent &event) -> void
    {
        for (const auto &action : handle(*state_, event, task::monotonicNow())) {
            std::visit([this](const auto &concrete) { carryOut(concrete); }, action);
        }
    }

    auto carryOut(const configuration::ReadPartIndex &action) -> void
    {
        tell(configuration::PartIndexRead{ .digest = action.digest, .index = indexes_.at(action.digest) });
    }

    auto carryOut(const configuration::DeletePart &action) -> void
    {
        ++removed_;
        store_.remove(configuration::partKey(action.digest), action.index, [](const WriteResult &) {});
    }

    platform::Store &store_;
    std::shared_ptr<configuration::CollectionState> state_;
    OnCollected onCollected_;
    std::map<std::string, std::uint64_t> indexes_;
    std::size_t removed_ = 0;
};

ConfigurationClient::ConfigurationClient(task::EventLoop &loop, platform::Store &store)
    : loop_(loop)
    , store_(store)
    , known_(std::make_shared<PartContents>())
    , collection_(std::make_shared<configuration::CollectionState>())
{
}

ConfigurationClient::~ConfigurationClient() = default;

auto ConfigurationClient::readInForce(OnInForce onInForce) -> void
{
    std::make_shared<Reading>(store_, known_, std::move(onInForce))->start();
}

auto ConfigurationClient::submit(const configuration::SubmissionRequest &request, OnSubmitted onSubmitted) -> void
{
    std::make_shared<Submitting>(loop_, store_, request, std::move(onSubmitted))->start();
}

auto ConfigurationClient::collect(OnCollected onCollected) -> void
{
    std::make_shared<Collecting>(store_, collection_, std::move(onCollected))->start();
}

auto makeNonce() -> std::string
{
    constexpr auto Digits = std::string_view("0123456789abcdef");
    constexpr unsigned LowHalf = 0x0f;
    auto bytes = std::array<unsigned char, NonceBytes>();
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("no random bytes");
    }
    auto hex = std::string();
    for (const unsigned byte : bytes) {
        hex += Digits[byte >> 4U];
        hex += Digits[byte & LowHalf];
    }
    return hex;
}

} // namespace auburnspread::administration
