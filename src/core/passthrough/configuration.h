/// \file
/// What the pass-through face is told about routes, plain services, engines and workspaces, as plain data.
/// One configuration replaces the one before as a whole; versions only grow.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::passthrough
{

/// What may be done with a request of a route after it may have run.
enum class Repeatability {
    Idempotent, ///< may run more than once
    AtMostOnce, ///< may run once
    Stream,     ///< an answer of numbered events; runs once unless the route allows it to be resumed
};

/// A part of a route's traffic.
struct Share {
    std::string service;
    std::uint32_t weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::AtMostOnce;
    Duration timeout = std::chrono::seconds(30); ///< longest time from arrival to the end of the answer
    Duration target = std::chrono::seconds(1);   ///< answer, or first event of a stream, for full value
    Duration longestPause{};                     ///< between events of a stream, for full value; 0: not given
    int tier = 0;                                ///< 0 is the highest
    std::uint32_t attempts = 1;                  ///< backend servers that one request may be sent to
    bool needsKey = true;
    bool hasPrompt = false;   ///< requests name the parts of their prompt: goes to engines
    bool isResumable = false; ///< a stream may go on at another backend server after its last event
    std::vector<Share> shares;
};

/// Bounds and prices of the backend servers of a service that may be ordered; the bounds hold in each failure domain.
struct Scaling {
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    Duration startTime{};                 ///< of a server, from its order until it serves
    double preemptiblePrice = 1;          ///< part of the price of other servers
    std::map<std::string, double> prices; ///< of a second of a server, by failure domain
};

/// The group of backend servers behind routes.
struct Service {
    std::string name;
    std::uint32_t connections = 100;         ///< that one backend server takes from all entries together
    std::optional<std::uint32_t> batchSlots; ///< of an engine: requests that it runs at once
    std::uint64_t cacheTokens = 0;           ///< of an engine: memory
    std::uint32_t tokensPerEvent = 1;        ///< of an engine: that one event of a stream holds
    double fetchTokensPerMs = 0;             ///< of an engine: KV cache that it can copy from another one; 0: it can't
    std::optional<Scaling> scaling;          ///< not set: its servers can't be ordered
};

struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> tier; ///< among requests of one route's tier; see Send::rank
};

/// Bounds of what a caller may send.
struct CallerLimits {
    std::size_t headerBytes = std::size_t{ 16 } * 1024;
    std::size_t bodyBytes = std::size_t{ 4 } * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    bool checksKeys = false; ///< false: the document has no workspaces and any caller may use any route
    CallerLimits limits;
};

/// A backend server as it registered itself. It may start again under its id: then \c startedAt differs.
struct Server {
    std::string id;
    std::string service;
    std::string address; ///< IP number and port
    std::string failureDomain;
    std::uint32_t slots = 1; ///< requests that it works on at once
    bool isLeaving = false;
    bool isPreemptible = false; ///< may be taken away at short notice
    Duration coldFor{};         ///< how much longer it stays slow after its start
    std::int64_t startedAt = 0; ///< Unix time of its start in ms, told by itself; 0: not told

    auto operator==(const Server &) const -> bool = default;
};

} // namespace auburnspread::passthrough
