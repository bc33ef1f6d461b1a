#include "wire/peer/links.h"

#include "wire/peer/internal/link.h"
#include "wire/peer/internal/nameindex.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <random>
#include <set>
#include <system_error>
#include <utility>

namespace auburnspread::peer
{

namespace
{

using detail::Link;
using detail::LinkFailure;
using detail::OutgoingMessage;

constexpr int ListenBacklog = 128;

struct ListenerDeleter {
    auto operator()(evconnlistener *listener) const -> void
    {
        evconnlistener_free(listener);
    }
};

/// An address that is to be linked.
struct Target {
    std::string name; ///< of the entry that answered there last; empty: not known
    Duration backoff{};
    bool isSelf = false;
    Link *link = nullptr;
    task::Watch timer;
};

/// The library's parser takes "host" but not "host:0".
auto withoutPortZero(const std::string &address) -> std::string
{
    constexpr std::string_view PortZero = ":0";
    return address.ends_with(PortZero) ? address.substr(0, address.size() - PortZero.size()) : address;
}

auto toText(const sockaddr_storage &address) -> std::string
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET6) {
        const auto &inet = reinterpret_cast<const sockaddr_in6 &>(address);
        evutil_inet_ntop(AF_INET6, &inet.sin6_addr, text.data(), text.size());
        return '[' + std::string(text.data()) + "]:" + std::to_string(ntohs(inet.sin6_port));
    }
    const auto &inet = reinterpret_cast<const sockaddr_in &>(address);
    evutil_inet_ntop(AF_INET, &inet.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ':' + std::to_string(ntohs(inet.sin_port));
}

} // namespace

class Links::Implementation
{
public:
    Implementation(task::EventLoop &loop, LinksOptions options, LinksCallbacks callbacks);

    auto connect(const std::string &address) -> void;
    auto disconnect(const std::string &address) -> void;
    auto send(const std::string &name, const Message &message) -> bool;
    auto broadcast(const Message &message) -> void;
    auto setIncarnation(std::uint64_t incarnation) -> void;
    [[nodiscard]] auto listenAddress() const -> const std::string &;
    [[nodiscard]] auto linkedNames() const -> std::vector<std::string>;
    [[nodiscard]] auto counters() const -> const LinkCounters &;

private:
    auto listen() -> void;
    static auto handleAccepted(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address, int size, void *context) -> void;
    auto accept(int descriptor) -> void;
    auto addLink() -> Link &;

    auto dial(const std::string &address) -> void;
    auto scheduleDial(const std::string &address, Duration delay) -> void;
    auto dialAgain(const Link &ended) -> void;

    auto handleAuthenticated(Link &link) -> void;
    [[nodiscard]] auto isPreferred(const Link &link, const Link &existing) const -> bool;
    auto adopt(Link &link) -> void;
    auto handleReceived(Link &link, const Envelope &envelope) -> void;
    auto handleEnded(Link &link, LinkFailure failure) -> void;
    auto settleTarget(Link &link, LinkFailure failure, bool wasAdopted) -> void;

    auto tick() -> void;
    auto bury() -> void;
    auto jitter(Duration mean) -> Duration;
    auto encodeMessage(const Message &message) const -> OutgoingMessage;
    auto prepare(const Message &message) -> OutgoingMessage;
    auto sendToAll(const OutgoingMessage &outgoing) -> void;

    task::EventLoop &loop_;
    LinksOptions options_;
    LinksCallbacks callbacks_;
    LinkCounters counters_;
    std::string listenAddress_;
    std::mt19937_64 random_;
    TimePoint lastTick_;

    std::map<std::string, Link *> byName_; ///< authenticated and kept
    std::set<std::string> seen_;           ///< names that had a link before
    std::map<std::string, Target> targets_;
    detail::NameIndex nameIndex_;
    std::vector<std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<Link>> ended_; ///< destroyed once no callback of theirs runs
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
    task::Watch ticker_;
    task::Watch burial_;
};

Links::Implementation::Implementation(task::EventLoop &loop, LinksOptions options, LinksCallbacks callbacks)
    : loop_(loop)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , random_(options_.seed)
    , lastTick_(task::monotonicNow())
{
    listen();
    ticker_ = loop_.every(options_.pingInterval / 2, [this]() { tick(); });
}

auto Links::Implementation::listen() -> void
{
    sockaddr_storage address{};
    int size = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (evutil_parse_sockaddr_port(withoutPortZero(options_.listenAddress).c_str(), generic, &size) != 0) {
        throw std::system_error(EINVAL, std::generic_category(), "peer links: listen on " + options_.listenAddress);
    }
    constexpr unsigned Flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;
    listener_.reset(evconnlistener_new_bind(loop_.base(), handleAccepted, this, Flags, ListenBacklog, generic, size));
    if (!listener_) {
        throw std::system_error(errno, std::generic_category(), "peer links: listen on " + options_.listenAddress);
    }
    socklen_t length = sizeof address;
    ::getsockname(evconnlistener_get_fd(listener_.get()), generic, &length);
    listenAddress_ = toText(address);
}

auto Links::Implementation::handleAccepted(evconnlistener * /*listener*/, evutil_socket_t descriptor, sockaddr * /*address*/, int /*size*/, void *context)
    -> void
{
    static_cast<Implementation *>(context)->accept(descriptor);
}

/// A stranger could open connections and prove nothing; beyond the limit they are closed, and the handshake timeout
/// frees the places again, so they can't use up descriptors or memory.
auto Links::Implementation::accept(int descriptor) -> void
{
    const auto strangers = std::count_if(links_.begin(), links_.end(), [](const auto &link) { return !link->isAuthenticated() && !link->isDialled(); });
    if (static_cast<std::size_t>(strangers) >= options_.unauthenticated) {
        ++counters_.refused;
        evutil_closesocket(descriptor);
        return;
    }
    addLink().accept(loop_, descriptor);
}

auto Links::Implementation::addLink() -> Link &
{
    detail::LinkCallbacks callbacks{
        .authenticated = [this](Link &link) { handleAuthenticated(link); },
        .received = [this](Link &link, const Envelope &envelope) { handleReceived(link, envelope); },
        .ended = [this](Link &link, LinkFailure failure) { handleEnded(link, failure); },
    };
    links_.push_back(std::make_unique<Link>(options_, counters_, std::move(callbacks)));
    return *links_.back();
}

auto Links::Implementation::connect(const std::string &address) -> void
{
    const auto [target, isNew] = targets_.try_emplace(address);
    if (isNew) {
        target->second.backoff = options_.firstBackoff;
        scheduleDial(address, Duration::zero());
    }
}

auto Links::Implementation::disconnect(const std::string &address) -> void
{
    const auto target = targets_.find(address);
    if (target == targets_.end()) {
        return;
    }
    auto *link = target->second.link;
    targets_.erase(target);
    if (link != nullptr) {
        link->end(LinkFailure::Unwanted);
    }
}

auto Links::Implementation::scheduleDial(const std::string &address, Duration delay) -> void
{
    targets_.at(address).timer = loop_.after(delay, [this, address]() { dial(address); });
}

auto Links::Implementation::dial(const std::string &address) -> void
{
    const auto found = targets_.find(address);
    if (found == targets_.end() || found->second.link != nullptr || byName_.contains(found->second.name)) {
        return;
    }
    ++counters_.dialled;
    auto &link = addLink();
    found->second.link = &link;
    if (!link.dial(loop_, address)) {
        link.end(LinkFailure::Unreachable);
    }
}

/// Dials the targets of a peer whose link has ended.
auto Links::Implementation::dialAgain(const Link &ended) -> void
{
    for (auto &[address, target] : targets_) {
        if (target.name != ended.peer().name || target.link != nullptr) {
            continue;
        }
        target.backoff = ended.hasLived() ? options_.firstBackoff : std::min(target.backoff * 2, options_.longestBackoff);
        scheduleDial(address, jitter(target.backoff));
    }
}

auto Links::Implementation::handleAuthenticated(Link &link) -> void
{
    if (link.peer().name.empty()) {
        link.end(LinkFailure::Malformed); // an empty name stands for a target whose entry is not known
        return;
    }
    const auto target = targets_.find(link.dialledAddress());
    if (link.isDialled() && target != targets_.end()) {
        target->second.name = link.peer().name;
    }
    if (link.peer().name == options_.name) {
        if (target != targets_.end()) {
            target->second.isSelf = true;
        }
        link.end(LinkFailure::Replaced);
        return;
    }
    const auto existing = byName_.find(link.peer().name);
    if (existing == byName_.end()) {
        adopt(link);
        return;
    }
    auto &old = *existing->second;
    if (!isPreferred(link, old)) {
        link.end(LinkFailure::Replaced);
        return;
    }
    adopt(link);
    old.end(LinkFailure::Replaced);
}

/// Both sides of a pair may dial at the same time; both must keep the same connection, or each would end the other's.
auto Links::Implementation::isPreferred(const Link &link, const Link &existing) const -> bool
{
    if (link.peer().incarnation != existing.peer().incarnation) {
        return link.peer().incarnation > existing.peer().incarnation;
    }
    // The same side dials again only when its old connection is lost to it.
    const bool quiet = task::monotonicNow() - existing.lastHeard() > options_.pingInterval + options_.pingInterval / 2;
    if (quiet || link.isDialled() == existing.isDialled()) {
        return true;
    }
    const bool ownIsFirst = options_.name < link.peer().name;
    return link.isDialled() == ownIsFirst;
}

auto Links::Implementation::adopt(Link &link) -> void
{
    const auto &peer = link.peer();
    byName_[peer.name] = &link;
    if (!seen_.insert(peer.name).second) {
        ++counters_.reconnects;
    }
    for (const auto &names : nameIndex_.listAll()) {
        link.send(encodeMessage(names));
    }
    callbacks_.opened(peer.name, peer.incarnation, link.dialledAddress());
}

auto Links::Implementation::handleReceived(Link &link, const Envelope &envelope) -> void
{
    if (const auto *names = std::get_if<Names>(&envelope.message)) {
        if (!detail::learnNames(link.peerNames(), *names)) {
            link.end(LinkFailure::Malformed);
        }
        return;
    }
    const auto kept = byName_.find(link.peer().name);
    if (kept == byName_.end() || kept->second != &link) {
        return;
    }
    if (const auto *indexed = std::get_if<IndexedReport>(&envelope.message)) {
        auto report = detail::toNamed(*indexed, link.peerNames());
        report.report.entry = envelope.from;
        callbacks_.received(envelope.from, envelope.incarnation, report);
        return;
    }
    callbacks_.received(envelope.from, envelope.incarnation, envelope.message);
}

auto Links::Implementation::handleEnded(Link &link, LinkFailure failure) -> void
{
    const auto place = std::find_if(links_.begin(), links_.end(), [&](const auto &item) { return item.get() == &link; });
    ended_.push_back(std::move(*place));
    links_.erase(place);
    burial_ = loop_.after(Duration::zero(), [this]() { bury(); });

    counters_.malformed += failure == LinkFailure::Malformed ? 1 : 0;
    counters_.silent += failure == LinkFailure::Silent ? 1 : 0;
    const auto kept = byName_.find(link.peer().name);
    const bool wasAdopted = kept != byName_.end() && kept->second == &link;
    if (wasAdopted) {
        byName_.erase(kept);
    }
    settleTarget(link, failure, wasAdopted);
    if (wasAdopted) {
        dialAgain(link);
        callbacks_.closed(link.peer().name, failure == LinkFailure::Silent ? membership::LinkEnd::Silent : membership::LinkEnd::Closed);
    }
}

auto Links::Implementation::settleTarget(Link &link, LinkFailure failure, bool wasAdopted) -> void
{
    const auto found = targets_.find(link.dialledAddress());
    if (!link.isDialled() || found == targets_.end() || found->second.link != &link) {
        return;
    }
    auto &target = found->second;
    target.link = nullptr;
    if (wasAdopted || target.isSelf || failure == LinkFailure::Replaced) {
        return;
    }
    ++counters_.dialFailures;
    target.backoff = std::min(target.backoff * 2, options_.longestBackoff);
    const auto address = found->first;
    scheduleDial(address, jitter(target.backoff));
    callbacks_.dialFailed(address);
}

auto Links::Implementation::tick() -> void
{
    const auto now = task::monotonicNow();
    const bool paused = now - std::exchange(lastTick_, now) > options_.silence / 2;
    std::vector<Link *> links;
    links.reserve(links_.size());
    for (const auto &link : links_) {
        links.push_back(link.get());
    }
    for (auto *link : links) {
        if (paused) {
            link->forgivePause(now);
        }
        link->tick(now);
    }
}

auto Links::Implementation::bury() -> void
{
    ended_.clear();
}

auto Links::Implementation::jitter(Duration mean) -> Duration
{
    std::uniform_int_distribution<Duration::rep> distribution(mean.count() / 2, mean.count() + mean.count() / 2);
    return Duration(distribution(random_));
}

auto Links::Implementation::encodeMessage(const Message &message) const -> OutgoingMessage
{
    const auto type = typeOf(message);
    if (!type) {
        throw std::invalid_argument("peer links: send of an unknown message");
    }
    auto bytes = encode({ .from = options_.name, .incarnation = options_.incarnation, .message = message });
    return { .type = *type, .bytes = std::make_shared<const std::string>(std::move(bytes)) };
}

/// Encodes what is to be sent; a report goes with numbers for its names, which every peer is told first.
auto Links::Implementation::prepare(const Message &message) -> OutgoingMessage
{
    const auto *report = std::get_if<Report>(&message);
    if (report == nullptr) {
        return encodeMessage(message);
    }
    const auto indexed = nameIndex_.toIndexed(report->report);
    for (const auto &names : nameIndex_.takeNew()) {
        sendToAll(encodeMessage(names));
    }
    return indexed ? encodeMessage(*indexed) : encodeMessage(message);
}

auto Links::Implementation::send(const std::string &name, const Message &message) -> bool
{
    if (!byName_.contains(name)) {
        return false;
    }
    const auto outgoing = prepare(message);
    const auto found = byName_.find(name); // announcing names may have ended the link
    if (found == byName_.end()) {
        return false;
    }
    found->second->send(outgoing);
    return true;
}

auto Links::Implementation::broadcast(const Message &message) -> void
{
    sendToAll(prepare(message));
}

auto Links::Implementation::sendToAll(const OutgoingMessage &outgoing) -> void
{
    for (const auto &name : linkedNames()) {
        const auto found = byName_.find(name);
        if (found != byName_.end()) {
            found->second->send(outgoing);
        }
    }
}

auto Links::Implementation::setIncarnation(std::uint64_t incarnation) -> void
{
    options_.incarnation = incarnation;
}

auto Links::Implementation::listenAddress() const -> const std::string &
{
    return listenAddress_;
}

auto Links::Implementation::linkedNames() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    names.reserve(byName_.size());
    for (const auto &[name, link] : byName_) {
        names.push_back(name);
    }
    return names;
}

auto Links::Implementation::counters() const -> const LinkCounters &
{
    return counters_;
}

Links::Links(task::EventLoop &loop, LinksOptions options, LinksCallbacks callbacks)
    : implementation_(std::make_unique<Implementation>(loop, std::move(options), std::move(callbacks)))
{
}

Links::~Links() = default;

auto Links::listenAddress() const -> const std::string &
{
    return implementation_->listenAddress();
}

auto Links::connect(const std::string &address) -> void
{
    implementation_->connect(address);
}

auto Links::disconnect(const std::string &address) -> void
{
    implementation_->disconnect(address);
}

auto Links::send(const std::string &name, const Message &message) -> bool
{
    return implementation_->send(name, message);
}

auto Links::broadcast(const Message &message) -> void
{
    implementation_->broadcast(message);
}

auto Links::setIncarnation(std::uint64_t incarnation) -> void
{
    implementation_->setIncarnation(incarnation);
}

auto Links::linkedNames() const -> std::vector<std::string>
{
    return implementation_->linkedNames();
}

auto Links::counters() const -> const LinkCounters &
{
    return implementation_->counters();
}

} // namespace auburnspread::peer
