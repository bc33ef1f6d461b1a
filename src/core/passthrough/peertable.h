/// \file
/// The other entries as targets of requests that this entry forwards, because it can't reach the backend servers itself.

#pragma once

#include "core/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

struct Peer {
    /// The peer said that it can't reach the servers of a service either.
    struct Refusal {
        TimePoint avoidedUntil;
        Duration avoidance{}; ///< grows with each further refusal
    };
    std::string address; ///< where the entry takes callers' requests
    std::uint32_t inFlight = 0;
    TimePoint avoidedUntil;                  ///< connections to it failed, or it is leaving
    std::map<std::string, Refusal> refusals; ///< by service, since it last served a request for it
};

struct PeerTable {
    std::vector<Peer> peers;
};

/// Peers that remain keep their state.
auto setPeers(PeerTable &table, const std::vector<std::string> &addresses) -> void;
/// \return a peer that may serve a request for the service and is not among \p tried; null if there is none
///
/// Of two peers that are drawn by \p draw, the one with fewer requests of this entry in flight is taken, so that the requests of an entry
/// that is cut off are spread over all others. A peer that has refused gets a single request when its avoidance ends, until it serves one.
auto choosePeer(PeerTable &table, const std::string &service, const std::vector<std::string> &tried, std::uint64_t draw, TimePoint now) -> Peer *;
/// \return the peer, or null if it is not listed any more
auto findPeer(PeerTable &table, const std::string &address) -> Peer *;
/// The peer does not take requests at all.
auto avoidPeer(PeerTable &table, const std::string &address, TimePoint now) -> void;
/// The peer can't serve requests for this service.
auto recordUnable(PeerTable &table, const std::string &address, const std::string &service, TimePoint now) -> void;
/// The peer serves requests for this service.
auto recordAble(PeerTable &table, const std::string &address, const std::string &service) -> void;

} // namespace auburnspread::passthrough
