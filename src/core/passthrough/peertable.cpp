#include "core/passthrough/peertable.h"

#include <algorithm>
#include <utility>

namespace auburnspread::passthrough
{

namespace
{

/// Time until a peer that could not serve is tried again, which costs one request a short detour. It grows, because servers that are down
/// for all entries would otherwise make each of them ask all others again and again.
constexpr Duration MinAvoidance = std::chrono::seconds(1);
constexpr Duration MaxAvoidance = std::chrono::seconds(8);

auto isCandidate(const Peer &peer, const std::string &service, const std::vector<std::string> &tried, TimePoint now) -> bool
{
    const auto refusal = peer.refusals.find(service);
    const auto hasRefused = refusal != peer.refusals.end() && now < refusal->second.avoidedUntil;
    return now >= peer.avoidedUntil && !hasRefused && std::find(tried.begin(), tried.end(), peer.address) == tried.end();
}

} // namespace

auto setPeers(PeerTable &table, const std::vector<std::string> &addresses) -> void
{
    std::vector<Peer> peers;
    for (const auto &address : addresses) {
        auto *known = findPeer(table, address);
        peers.push_back(known == nullptr ? Peer{ .address = address } : std::move(*known));
    }
    table.peers = std::move(peers);
}

auto choosePeer(PeerTable &table, const std::string &service, const std::vector<std::string> &tried, std::uint64_t draw, TimePoint now) -> Peer *
{
    std::vector<Peer *> candidates;
    for (auto &peer : table.peers) {
        if (isCandidate(peer, service, tried, now)) {
            candidates.push_back(&peer);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const auto count = candidates.size();
    auto *first = candidates[draw % count];
    auto *second = candidates[draw / count % count];
    auto *chosen = second->inFlight < first->inFlight ? second : first;
    const auto refusal = chosen->refusals.find(service);
    if (refusal != chosen->refusals.end()) {
        refusal->second.avoidedUntil = now + refusal->second.avoidance;
    }
    return chosen;
}

auto findPeer(PeerTable &table, const std::string &address) -> Peer *
{
    const auto found = std::find_if(table.peers.begin(), table.peers.end(), [&address](const Peer &peer) { return peer.address == address; });
    return found == table.peers.end() ? nullptr : &*found;
}

auto avoidPeer(PeerTable &table, const std::string &address, TimePoint now) -> void
{
    if (auto *peer = findPeer(table, address)) {
        peer->avoidedUntil = now + MinAvoidance;
    }
}

auto recordUnable(PeerTable &table, const std::string &address, const std::string &service, TimePoint now) -> void
{
    if (auto *peer = findPeer(table, address)) {
        auto &refusal = peer->refusals[service];
        refusal.avoidance = std::clamp(2 * refusal.avoidance, MinAvoidance, MaxAvoidance);
        refusal.avoidedUntil = now + refusal.avoidance;
    }
}

auto recordAble(PeerTable &table, const std::string &address, const std::string &service) -> void
{
    if (auto *peer = findPeer(table, address)) {
        peer->refusals.erase(service);
    }
}

} // namespace auburnspread::passthrough
