#include "wire/peer/internal/link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>
#include <utility>
#include <variant>

namespace auburnspread::peer::detail
{

namespace
{

constexpr std::size_t HandshakeMessageBytes = 1024; ///< a stranger's messages are held no larger than this
constexpr std::size_t SocketBufferBytes = 128UL * 1024;
constexpr std::size_t ReadBytes = 16UL * 1024;

/// Messages are small and wait for answers; Nagle's algorithm would hold them back.
auto sendAtOnce(int descriptor) -> void
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

auto BuffereventDeleter::operator()(bufferevent *socket) const -> void
{
    bufferevent_free(socket);
}

Link::Link(const LinksOptions &options, LinkCounters &counters, LinkCallbacks callbacks)
    : options_(options)
    , counters_(counters)
    , callbacks_(std::move(callbacks))
    , queue_(options.queueBytes)
    , openedAt_(task::monotonicNow())
{
}

Link::~Link() = default;

auto Link::accept(task::EventLoop &loop, int descriptor) -> void
{
    open(loop, descriptor, WebSocketRole::Server);
    sendAtOnce(descriptor);
    phase_ = Phase::AwaitingHello;
    webSocket_->start();
}

auto Link::dial(task::EventLoop &loop, const std::string &address) -> bool
{
    address_ = address;
    side_ = Side::Dialling;
    sockaddr_storage target{};
    int size = sizeof target;
    auto *generic = reinterpret_cast<sockaddr *>(&target);
    if (evutil_parse_sockaddr_port(address.c_str(), generic, &size) != 0) {
        return false;
    }
    open(loop, -1, WebSocketRole::Client);
    return bufferevent_socket_connect(socket_.get(), generic, size) == 0;
}

auto Link::open(task::EventLoop &loop, int descriptor, WebSocketRole role) -> void
{
    socket_.reset(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    if (!socket_) {
        throw std::runtime_error("peer link: bufferevent_socket_new failed");
    }
    bufferevent_setcb(socket_.get(), handleRead, handleDrained, handleEvent, this);
    bufferevent_setwatermark(socket_.get(), EV_READ, 0, SocketBufferBytes);
    bufferevent_setwatermark(socket_.get(), EV_WRITE, SocketBufferBytes / 2, 0);
    webSocket_ = std::make_unique<WebSocket>(role,
                                             HandshakeMessageBytes,
                                             WebSocketCallbacks{
                                                 .write =
                                                     [this](const char *bytes, std::size_t count) {
                                                         if (socket_) {
                                                             bufferevent_write(socket_.get(), bytes, count);
                                                         }
                                                     },
                                                 .opened = [this]() { handleOpened(); },
                                                 .received = [this](const std::string &bytes) { handleMessage(bytes); },
                                             });
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
}

auto Link::handleRead(bufferevent * /*socket*/, void *context) -> void
{
    static_cast<Link *>(context)->read();
}

auto Link::handleDrained(bufferevent * /*socket*/, void *context) -> void
{
    static_cast<Link *>(context)->pump();
}

auto Link::handleEvent(bufferevent *socket, short what, void *context) -> void
{
    auto &link = *static_cast<Link *>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        sendAtOnce(bufferevent_getfd(socket));
        link.phase_ = Phase::AwaitingChallenge;
        link.webSocket_->start();
    } else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        link.end(LinkFailure::Closed);
    }
}

auto Link::read() -> void
{
    std::array<char, ReadBytes> bytes{};
    while (socket_) {
        const auto count = bufferevent_read(socket_.get(), bytes.data(), bytes.size());
        if (count == 0) {
            return;
        }
        const auto status = webSocket_->feed(bytes.data(), count);
        if (status == WebSocketStatus::Ended) {
            end(LinkFailure::Closed);
        } else if (status == WebSocketStatus::Broken) {
            end(LinkFailure::Malformed);
        }
    }
}

auto Link::isSocketFull() const -> bool
{
    return evbuffer_get_length(bufferevent_get_output(socket_.get())) >= SocketBufferBytes;
}

auto Link::pump() -> void
{
    while (socket_ && phase_ == Phase::Authenticated && !queue_.isEmpty() && !isSocketFull()) {
        write(queue_.pop());
    }
}

auto Link::handleOpened() -> void
{
    if (side_ != Side::Dialling) {
        return;
    }
    transcript_.dialling = ownIdentity();
    transcript_.dialNonce = makeNonce();
    sendNow(Hello{ transcript_.dialNonce });
}

auto Link::handleMessage(const std::string &bytes) -> void
{
    if (phase_ == Phase::Ended) {
        return;
    }
    try {
        const auto envelope = decode(bytes);
        if (const auto type = typeOf(envelope.message)) {
            auto &traffic = counters_.in.at(static_cast<std::size_t>(*type));
            ++traffic.messages;
            traffic.bytes += bytes.size();
        }
        handleEnvelope(envelope);
    } catch (const DecodeError &) {
        end(LinkFailure::Malformed);
    }
}

auto Link::handleEnvelope(const Envelope &envelope) -> void
{
    const auto *hello = std::get_if<Hello>(&envelope.message);
    const auto *challenge = std::get_if<Challenge>(&envelope.message);
    const auto *proof = std::get_if<Proof>(&envelope.message);
    if (phase_ == Phase::AwaitingHello && hello != nullptr) {
        answerHello(envelope, *hello);
    } else if (phase_ == Phase::AwaitingChallenge && challenge != nullptr) {
        answerChallenge(envelope, *challenge);
    } else if (phase_ == Phase::AwaitingProof && proof != nullptr) {
        checkProof(*proof);
    } else if (phase_ == Phase::Authenticated && hello == nullptr && challenge == nullptr && proof == nullptr) {
        deliver(envelope);
    } else if (phase_ == Phase::Authenticated) {
        end(LinkFailure::Malformed);
    } else {
        // A stranger that skips the proof; nothing of its message was looked at.
        failAuthentication();
    }
}

auto Link::answerHello(const Envelope &envelope, const Hello &hello) -> void
{
    transcript_.dialling = { .name = envelope.from, .incarnation = envelope.incarnation };
    transcript_.accepting = ownIdentity();
    transcript_.dialNonce = hello.nonce;
    transcript_.acceptNonce = makeNonce();
    phase_ = Phase::AwaitingProof;
    sendNow(Challenge{ .nonce = transcript_.acceptNonce, .proof = makeProof(options_.secret, Side::Accepting, transcript_) });
}

auto Link::answerChallenge(const Envelope &envelope, const Challenge &challenge) -> void
{
    transcript_.accepting = { .name = envelope.from, .incarnation = envelope.incarnation };
    transcript_.acceptNonce = challenge.nonce;
    if (!isProof(challenge.proof, options_.secret, Side::Accepting, transcript_)) {
        failAuthentication();
        return;
    }
    peer_ = transcript_.accepting;
    sendNow(Proof{ makeProof(options_.secret, Side::Dialling, transcript_) });
    becomeAuthenticated();
}

auto Link::checkProof(const Proof &proof) -> void
{
    if (!isProof(proof.proof, options_.secret, Side::Dialling, transcript_)) {
        failAuthentication();
        return;
    }
    peer_ = transcript_.dialling;
    becomeAuthenticated();
}

auto Link::becomeAuthenticated() -> void
{
    phase_ = Phase::Authenticated;
    webSocket_->setMessageBytes(options_.messageBytes);
    authenticatedAt_ = task::monotonicNow();
    lastHeard_ = authenticatedAt_;
    lastPong_ = lastHeard_;
    nextPing_ = lastHeard_ + options_.pingInterval;
    callbacks_.authenticated(*this);
}

auto Link::failAuthentication() -> void
{
    ++counters_.authenticationFailures;
    end(LinkFailure::Unauthentic);
}

auto Link::deliver(const Envelope &envelope) -> void
{
    if (envelope.from != peer_.name || envelope.incarnation < peer_.incarnation) {
        end(LinkFailure::Malformed);
        return;
    }
    lastHeard_ = task::monotonicNow();
    if (const auto *ping = std::get_if<Ping>(&envelope.message)) {
        sendNow(Pong{ ping->number });
    } else if (std::holds_alternative<Pong>(envelope.message)) {
        lastPong_ = lastHeard_;
    } else if (std::holds_alternative<Unknown>(envelope.message)) {
        ++counters_.unknown;
    } else {
        callbacks_.received(*this, envelope);
    }
}

auto Link::ownIdentity() const -> Identity
{
    return { .name = options_.name, .incarnation = options_.incarnation };
}

auto Link::sendNow(const Message &message) -> void
{
    const auto bytes = encode({ .from = options_.name, .incarnation = options_.incarnation, .message = message });
    send({ .type = *typeOf(message), .bytes = std::make_shared<const std::string>(bytes) });
}

auto Link::send(OutgoingMessage message) -> void
{
    if (!socket_) {
        return;
    }
    if (phase_ != Phase::Authenticated || (queue_.isEmpty() && !isSocketFull())) {
        write(message);
        return;
    }
    for (const auto &dropped : queue_.push(std::move(message))) {
        ++counters_.dropped.at(static_cast<std::size_t>(dropped.type));
    }
    if (queue_.isOverfull()) {
        end(LinkFailure::Overfull);
    }
}

auto Link::write(const OutgoingMessage &message) -> void
{
    auto &traffic = counters_.out.at(static_cast<std::size_t>(message.type));
    ++traffic.messages;
    traffic.bytes += message.bytes->size();
    webSocket_->send(*message.bytes);
}

auto Link::tick(TimePoint now) -> void
{
    if (phase_ == Phase::Ended) {
        return;
    }
    if (phase_ != Phase::Authenticated) {
        if (now - openedAt_ > options_.handshakeTimeout) {
            end(LinkFailure::Unreachable);
        }
        return;
    }
    // The dialling side judges by pongs: a link that still brings messages but loses what is sent must end too.
    const auto heard = side_ == Side::Dialling ? lastPong_ : lastHeard_;
    if (now - heard > options_.silence) {
        end(LinkFailure::Silent);
        return;
    }
    if (side_ == Side::Dialling && now >= nextPing_) {
        nextPing_ = now + options_.pingInterval;
        sendNow(Ping{ ++pingNumber_ });
    }
}

auto Link::forgivePause(TimePoint now) -> void
{
    openedAt_ = now;
    lastHeard_ = now;
    lastPong_ = now;
}

auto Link::end(LinkFailure failure) -> void
{
    if (phase_ == Phase::Ended) {
        return;
    }
    phase_ = Phase::Ended;
    socket_.reset();
    callbacks_.ended(*this, failure);
}

auto Link::isAuthenticated() const -> bool
{
    return phase_ == Phase::Authenticated;
}

auto Link::isDialled() const -> bool
{
    return side_ == Side::Dialling;
}

auto Link::dialledAddress() const -> const std::string &
{
    return address_;
}

auto Link::peer() const -> const Identity &
{
    return peer_;
}

auto Link::peerNames() -> std::vector<std::string> &
{
    return peerNames_;
}

auto Link::lastHeard() const -> TimePoint
{
    return lastHeard_;
}

auto Link::hasLived() const -> bool
{
    return authenticatedAt_ != TimePoint() && task::monotonicNow() - authenticatedAt_ > options_.silence;
}

} // namespace auburnspread::peer::detail
