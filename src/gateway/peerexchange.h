/// \file
/// Datagrams between entries: heartbeats, load reports, crash reports, usage reports, and where streams began. Each report replaces the previous one, so
/// the next one makes up for a lost datagram, and nothing is acknowledged or retransmitted.

#pragma once

#include "core/fleet/membership.h"
#include "core/passthrough/events.h"
#include "core/usage/tally.h"
#include "runtime/task/eventloop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::gateway
{

/// Asks the receiver where a stream began, and which versions the service has had.
struct OriginQuestion {
    passthrough::StreamId stream{};
    std::string service;
    std::string peerAddress; ///< of the sender
};

using PeerMessage = std::variant<passthrough::PeerReported,
                                 passthrough::CrashesReported,
                                 fleet::Heartbeat,
                                 usage::Report,
                                 passthrough::OriginReported,
                                 passthrough::OriginUnknown,
                                 OriginQuestion>;

/// Splits a load report: the first message holds as many prompt parts as fit into a datagram, further messages hold the rest.
auto splitIntoDatagrams(const PeerMessage &message) -> std::vector<PeerMessage>;
auto encodePeerMessage(const PeerMessage &message) -> std::string;
/// Throws std::runtime_error if the bytes are not a valid message.
auto decodePeerMessage(std::string_view bytes) -> PeerMessage;

class PeerExchange
{
public:
    using OnMessage = std::function<void(const PeerMessage &message)>;
    using OnInvalid = std::function<void(const std::string &detail)>;

    /// Throws std::system_error if the address cannot be bound.
    PeerExchange(task::EventLoop &loop, const std::string &address, OnMessage onMessage, OnInvalid onInvalid);
    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    auto operator=(const PeerExchange &) -> PeerExchange & = delete;

    /// Sets the peer addresses of the other entries.
    auto setPeers(std::vector<std::string> addresses) -> void;
    /// Sends to all other entries.
    auto send(const PeerMessage &message) -> void;
    /// Sends to every \p parts th of the other entries, beginning with index \p part.
    auto sendToSubset(int part, int parts, const PeerMessage &message) -> void;
    auto sendTo(const std::vector<std::string> &addresses, const PeerMessage &message) -> void;

    [[nodiscard]] auto peerCount() const -> std::size_t;

private:
    auto sendDatagram(const std::vector<std::string> &addresses, const PeerMessage &message) -> void;
    auto receive() -> void;

    OnMessage onMessage_;
    OnInvalid onInvalid_;
    int descriptor_ = -1;
    std::vector<std::string> peers_;
    task::Watch readable_;
};

} // namespace auburnspread::gateway
