/// \file
/// One connection to a peer: socket, WebSocket, authentication, pings and what waits to be sent.

#pragma once

#include "runtime/task/eventloop.h"
#include "wire/peer/internal/authentication.h"
#include "wire/peer/internal/sendqueue.h"
#include "wire/peer/links.h"
#include "wire/peer/websocket.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;

namespace auburnspread::peer::detail
{

enum class LinkFailure {
    Closed,      ///< by the peer or the network
    Silent,      ///< nothing heard for the silence time
    Unreachable, ///< not connected and authenticated in time
    Unauthentic, ///< the peer did not prove the secret
    Malformed,   ///< the peer broke the protocol
    Overfull,    ///< the peer is too slow even for what may not be dropped
    Replaced,    ///< another link to the same peer is kept
    Unwanted,    ///< this entry dials the address no more
};

struct BuffereventDeleter {
    auto operator()(bufferevent *socket) const -> void;
};

class Link;

/// A link calls \c ended once; it must not be destroyed within a callback.
struct LinkCallbacks {
    std::function<void(Link &link)> authenticated;
    std::function<void(Link &link, const Envelope &envelope)> received;
    std::function<void(Link &link, LinkFailure failure)> ended;
};

class Link
{
public:
    Link(const LinksOptions &options, LinkCounters &counters, LinkCallbacks callbacks);
    ~Link();
    Link(const Link &) = delete;
    auto operator=(const Link &) -> Link & = delete;

    auto accept(task::EventLoop &loop, int descriptor) -> void;
    /// False if the address can't be read or dialled at all.
    auto dial(task::EventLoop &loop, const std::string &address) -> bool;

    auto send(OutgoingMessage message) -> void;
    /// Sends pings, and ends the link if the handshake took too long or nothing was heard.
    auto tick(TimePoint now) -> void;
    /// This process was paused: what it did not hear meanwhile doesn't count.
    auto forgivePause(TimePoint now) -> void;
    auto end(LinkFailure failure) -> void;

    [[nodiscard]] auto isAuthenticated() const -> bool;
    [[nodiscard]] auto isDialled() const -> bool;
    [[nodiscard]] auto dialledAddress() const -> const std::string &;
    [[nodiscard]] auto peer() const -> const Identity &;
    /// What the peer's indexed reports refer to.
    [[nodiscard]] auto peerNames() -> std::vector<std::string> &;
    [[nodiscard]] auto lastHeard() const -> TimePoint;
    /// Whether it stayed authenticated for longer than the silence time.
    [[nodiscard]] auto hasLived() const -> bool;

private:
    enum class Phase {
        Connecting,
        AwaitingHello,
        AwaitingChallenge,
        AwaitingProof,
        Authenticated,
        Ended,
    };

    auto open(task::EventLoop &loop, int descriptor, WebSocketRole role) -> void;
    static auto handleRead(bufferevent *socket, void *context) -> void;
    static auto handleDrained(bufferevent *socket, void *context) -> void;
    static auto handleEvent(bufferevent *socket, short what, void *context) -> void;
    auto read() -> void;
    auto pump() -> void;
    [[nodiscard]] auto isSocketFull() const -> bool;

    auto handleOpened() -> void;
    auto handleMessage(const std::string &bytes) -> void;
    auto handleEnvelope(const Envelope &envelope) -> void;
    auto answerHello(const Envelope &envelope, const Hello &hello) -> void;
    auto answerChallenge(const Envelope &envelope, const Challenge &challenge) -> void;
    auto checkProof(const Proof &proof) -> void;
    auto deliver(const Envelope &envelope) -> void;
    auto becomeAuthenticated() -> void;
    auto failAuthentication() -> void;

    [[nodiscard]] auto ownIdentity() const -> Identity;
    auto sendNow(const Message &message) -> void;
    auto write(const OutgoingMessage &message) -> void;

    const LinksOptions &options_;
    LinkCounters &counters_;
    LinkCallbacks callbacks_;
    std::unique_ptr<bufferevent, BuffereventDeleter> socket_;
    std::unique_ptr<WebSocket> webSocket_;
    Phase phase_ = Phase::Connecting;
    Side side_ = Side::Accepting;
    std::string address_;
    Identity peer_;
    Transcript transcript_;
    SendQueue queue_;
    std::vector<std::string> peerNames_;
    TimePoint openedAt_;
    TimePoint authenticatedAt_;
    TimePoint lastHeard_;
    TimePoint lastPong_;
    TimePoint nextPing_;
    std::uint32_t pingNumber_ = 0;
};

} // namespace auburnspread::peer::detail
