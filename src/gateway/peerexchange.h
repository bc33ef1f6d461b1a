/// \file
/// Tells the other entries that this one is there and what it has in flight, by datagrams. A report replaces the one before and a
/// lost one is made good by the next, so nothing is acknowledged or sent again.

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

using PeerMessage = std::variant<passthrough::PeerReported, passthrough::CrashesHeard, fleet::Heartbeat, usage::Report>;

/// The message with as many parts of prompts as one datagram takes, and the rest in further ones.
auto splitParts(const PeerMessage &message) -> std::vector<PeerMessage>;
auto encodePeerMessage(const PeerMessage &message) -> std::string;
/// Throws std::runtime_error for bytes that are no message.
auto decodePeerMessage(std::string_view bytes) -> PeerMessage;

class PeerExchange
{
public:
    using OnMessage = std::function<void(const PeerMessage &message)>;
    using OnInvalid = std::function<void(const std::string &detail)>;

    /// Throws std::system_error if the address can't be bound.
    PeerExchange(task::EventLoop &loop, const std::string &address, OnMessage onMessage, OnInvalid onInvalid);
    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    auto operator=(const PeerExchange &) -> PeerExchange & = delete;

    /// Addresses of the other entries.
    auto setPeers(std::vector<std::string> addresses) -> void;
    /// To all of them.
    auto send(const PeerMessage &message) -> void;
    /// To every \p parts th of them, beginning with number \p part.
    auto sendToPart(int part, int parts, const PeerMessage &message) -> void;
    auto sendTo(const std::vector<std::string> &addresses, const PeerMessage &message) -> void;

    [[nodiscard]] auto peers() const -> std::size_t;

private:
    auto sendOne(const std::vector<std::string> &addresses, const PeerMessage &message) -> void;
    auto receive() -> void;

    OnMessage onMessage_;
    OnInvalid onInvalid_;
    int descriptor_ = -1;
    std::vector<std::string> peers_;
    task::Watch readable_;
};

} // namespace auburnspread::gateway
