#include "entry/control/internal/configurationkeeper.h"

#include "wire/peer/links.h"
#include "wire/platform/subscription.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace auburnspread::entry
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration TransferTimeout = std::chrono::seconds(3); // of one piece, with the link still to be made
constexpr std::size_t MostTransferBytes = std::size_t{ 8 } * 1024 * 1024;

} // namespace

ConfigurationKeeper::ConfigurationKeeper(ConfigurationKeeperOptions options, task::EventLoop &loop, peer::Links &links, platform::Store &store)
    : options_(std::move(options))
    , loop_(loop)
    , links_(links)
    , store_(store)
{
}

auto ConfigurationKeeper::start() -> void
{
    ticker_ = loop_.every(TickInterval, [this]() {
        expireTransfers();
        feed(configuration::AdoptionTick{});
    });
    feed(configuration::AdoptionStarted{ .self = options_.entry, .peers = options_.peers });
}

auto ConfigurationKeeper::feed(const configuration::AdoptionEvent &event) -> void
{
    for (const auto &action : configuration::handle(state_, event, task::monotonicNow())) {
        perform(action);
    }
}

auto ConfigurationKeeper::state() const -> const configuration::AdoptionState &
{
    return state_;
}

auto ConfigurationKeeper::perform(const configuration::AdoptionAction &action) -> void
{
    if (const auto *manifest = std::get_if<configuration::FetchManifest>(&action)) {
        fetchManifest(manifest->source);
    } else if (const auto *part = std::get_if<configuration::FetchPart>(&action)) {
        fetchPart(*part);
    } else if (const auto *adopt = std::get_if<configuration::Adopt>(&action)) {
        servedManifest_ = configuration::serializeManifest(state_.manifest);
        options_.adopted(adopt->configuration);
    } else if (const auto *rejected = std::get_if<configuration::RejectManifest>(&action)) {
        options_.rejected(rejected->version, rejected->text);
    } else if (const auto *announced = std::get_if<configuration::AnnounceVersion>(&action)) {
        links_.broadcast(peer::Configuration{ .version = announced->version, .digest = state_.manifest.digest });
    } else if (const auto *watched = std::get_if<configuration::WatchManifest>(&action)) {
        watch(watched->active);
    }
}

auto ConfigurationKeeper::noteLink(const std::string &name, const std::string &dialledAddress) -> void
{
    if (!dialledAddress.empty()) {
        names_[dialledAddress] = name;
    }
    for (const auto &[key, transfer] : transfers_) {
        if (nameOf(key.first) == name) {
            links_.send(name, peer::ConfigurationRequest{ .digest = key.second, .offset = static_cast<std::uint32_t>(transfer.bytes.size()) });
        }
    }
    if (state_.current) {
        links_.send(name, peer::Configuration{ .version = state_.current->version, .digest = state_.current->digest });
    }
}

auto ConfigurationKeeper::receive(const std::string &from, const peer::Message &message) -> void
{
    if (const auto *announced = std::get_if<peer::Configuration>(&message)) {
        feed(configuration::VersionAnnounced{ .peer = from, .version = announced->version });
    } else if (const auto *request = std::get_if<peer::ConfigurationRequest>(&message)) {
        answerPeer(from, *request);
    } else if (const auto *piece = std::get_if<peer::ConfigurationPart>(&message)) {
        takePiece(from, *piece);
    }
}

auto ConfigurationKeeper::fetchManifest(const configuration::Source &source) -> void
{
    if (!source.isPlatform()) {
        askPeer(source.peer, {});
        return;
    }
    store_.get(std::string(configuration::ManifestKey), [this](const platform::ReadResult &result) {
        const auto *snapshot = std::get_if<platform::Snapshot>(&result);
        if (snapshot == nullptr) {
            feed(configuration::ManifestFailed{});
            return;
        }
        takeManifest({}, snapshot->entries.empty() ? std::string() : snapshot->entries.front().value);
    });
}

auto ConfigurationKeeper::fetchPart(const configuration::FetchPart &wanted) -> void
{
    if (!wanted.source.isPlatform()) {
        askPeer(wanted.source.peer, wanted.digest);
        return;
    }
    store_.get(configuration::partKey(wanted.digest), [this, digest = wanted.digest](const platform::ReadResult &result) {
        const auto *snapshot = std::get_if<platform::Snapshot>(&result);
        const auto found = snapshot != nullptr && !snapshot->entries.empty();
        const auto content = found ? configuration::decodePart(snapshot->entries.front().value, digest) : std::nullopt;
        if (content) {
            feed(configuration::PartFetched{ .digest = digest, .content = *content });
        } else {
            feed(configuration::PartFailed{ .digest = digest });
        }
    });
}

auto ConfigurationKeeper::watch(bool active) -> void
{
    if (!active) {
        watch_.reset();
        return;
    }
    watch_ = platform::subscribeToKey(loop_, store_, std::string(configuration::ManifestKey), {}, [this](const platform::Snapshot &snapshot) {
        takeManifest({}, snapshot.entries.empty() ? std::string() : snapshot.entries.front().value);
    });
}

auto ConfigurationKeeper::nameOf(const std::string &peer) const -> std::string
{
    const auto known = names_.find(peer);
    return known == names_.end() ? peer : known->second;
}

auto ConfigurationKeeper::askPeer(const std::string &peer, const std::string &digest) -> void
{
    transfers_[{ peer, digest }] = { .bytes = {}, .deadline = task::monotonicNow() + TransferTimeout };
    //! NOTE if the link does not stand yet, noteLink() asks once it does
    links_.send(nameOf(peer), peer::ConfigurationRequest{ .digest = digest, .offset = 0 });
}

auto ConfigurationKeeper::answerPeer(const std::string &peer, const peer::ConfigurationRequest &request) -> void
{
    peer::ConfigurationPart piece{ .digest = request.digest, .version = state_.current ? state_.current->version : 0, .offset = request.offset };
    const auto part = request.digest.empty() ? std::make_shared<const std::string>(servedManifest_) : configuration::partOf(state_, request.digest);
    if (part && request.offset < part->size()) {
        piece.total = static_cast<std::uint32_t>(part->size());
        piece.bytes = part->substr(request.offset, peer::MaxPartBytes);
    }
    links_.send(peer, piece);
}

auto ConfigurationKeeper::takePiece(const std::string &peer, const peer::ConfigurationPart &piece) -> void
{
    const auto found = std::find_if(
        transfers_.begin(), transfers_.end(), [&](const auto &known) { return known.first.second == piece.digest && nameOf(known.first.first) == peer; });
    if (found == transfers_.end() || piece.offset != found->second.bytes.size()) {
        return;
    }
    const auto key = found->first;
    auto &transfer = found->second;
    const auto isUsable = piece.total <= MostTransferBytes && piece.offset + piece.bytes.size() <= piece.total;
    if (piece.total > 0 && (!isUsable || piece.bytes.empty())) {
        failTransfer(key);
        return;
    }
    transfer.bytes += piece.bytes;
    if (transfer.bytes.size() >= piece.total) {
        finishTransfer(key, std::exchange(transfer.bytes, {}));
        return;
    }
    transfer.deadline = task::monotonicNow() + TransferTimeout;
    links_.send(peer, peer::ConfigurationRequest{ .digest = piece.digest, .offset = static_cast<std::uint32_t>(transfer.bytes.size()) });
}

auto ConfigurationKeeper::finishTransfer(const TransferKey &key, const std::string &bytes) -> void
{
    const auto source = configuration::Source{ .peer = key.first };
    const auto digest = key.second;
    transfers_.erase(key);
    if (digest.empty()) {
        takeManifest(source, bytes);
    } else if (bytes.empty()) {
        feed(configuration::PartFailed{ .source = source, .digest = digest });
    } else {
        feed(configuration::PartFetched{ .digest = digest, .content = bytes });
    }
}

auto ConfigurationKeeper::takeManifest(const configuration::Source &source, const std::string &bytes) -> void
{
    if (bytes.empty()) {
        feed(configuration::ManifestFetched{ .source = source, .manifest = std::nullopt });
        return;
    }
    try {
        feed(configuration::ManifestFetched{ .source = source, .manifest = configuration::parseManifest(bytes) });
    } catch (const configuration::ManifestError &) {
        feed(configuration::ManifestFailed{ .source = source });
    }
}

auto ConfigurationKeeper::failTransfer(const TransferKey &key) -> void
{
    const auto source = configuration::Source{ .peer = key.first };
    const auto digest = key.second;
    transfers_.erase(key);
    if (digest.empty()) {
        feed(configuration::ManifestFailed{ .source = source });
    } else {
        feed(configuration::PartFailed{ .source = source, .digest = digest });
    }
}

auto ConfigurationKeeper::expireTransfers() -> void
{
    const auto now = task::monotonicNow();
    std::vector<TransferKey> late;
    for (const auto &[key, transfer] : transfers_) {
        if (now >= transfer.deadline) {
            late.push_back(key);
        }
    }
    for (const auto &key : late) {
        failTransfer(key);
    }
}

} // namespace auburnspread::entry
