/// \file
/// Configuration of the pass-through router: routes, plain services, engines and workspaces, as plain data.
/// A new configuration replaces the previous one as a whole. Versions increase monotonically.

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

/// Whether a request of a route may be sent again after it may have run.
enum class Repeatability {
    Idempotent, ///< may run more than once
    AtMostOnce, ///< may run once
    Stream,     ///< the response is a stream of numbered events; runs once unless the route allows it to be resumed
};

/// A service behind a route and the weight of its part of the route's traffic.
struct Share {
    std::string service;
    std::uint32_t weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    Repeatability repeatability = Repeatability::AtMostOnce;
    Duration timeout = std::chrono::seconds(30); ///< longest time from arrival to the end of the response
    Duration target = std::chrono::seconds(1);   ///< latency target of the response, or of the first event of a stream
    Duration maxEventGap{};                      ///< target for the longest gap between events of a stream; 0: none
    int tier = 0;                                ///< priority; 0 is the highest
    std::uint32_t attempts = 1;                  ///< number of backend servers that one request may be sent to
    bool needsKey = true;
    bool hasPrompt = false;   ///< requests list the parts of their prompt and go to engines
    bool isResumable = false; ///< an interrupted stream may continue on another backend server after its last event
    std::vector<Share> shares;
};

/// Limits and prices for ordering backend servers of a service. The limits apply to each failure domain.
struct Scaling {
    std::uint32_t minServers = 0;
    std::uint32_t maxServers = 0;
    Duration startTime{};                 ///< time from the order of a server until it serves requests
    double preemptiblePrice = 1;          ///< fraction of the on-demand price
    std::map<std::string, double> prices; ///< price of one server for one second, by failure domain
};

/// A group of backend servers that routes send requests to.
struct Service {
    std::string name;
    std::uint32_t connections = 100;         ///< connections that one backend server accepts from all entries together
    std::optional<std::uint32_t> batchSlots; ///< requests that an engine runs concurrently
    std::uint64_t cacheTokens = 0;           ///< cache memory of an engine
    std::uint32_t tokensPerEvent = 1;        ///< tokens in one event of an engine's stream
    double fetchTokensPerMs = 0;             ///< rate at which an engine can copy KV cache from another one; 0: it can't
    std::optional<Scaling> scaling;          ///< not set: servers of this service can't be ordered
};

struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> tier; ///< priority among requests of one route's tier; see Send::rank
};

/// Size and time limits for a caller's request.
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
    bool checksKeys = false; ///< false: the configuration has no workspaces and any caller may use any route
    CallerLimits limits;
};

/// Version of a backend server's software, as its operators name it. Versions have no order.
struct SoftwareVersion {
    std::string name; ///< empty: not given

    auto operator==(const SoftwareVersion &) const -> bool = default;
};

/// A backend server as it registered itself. It may restart under the same id with another \c startedAt.
struct Server {
    std::string id;
    std::string service;
    std::string address; ///< IP number and port
    std::string failureDomain;
    std::uint32_t slots = 1; ///< requests that the server processes concurrently
    bool isLeaving = false;
    bool isPreemptible = false; ///< may be preempted at short notice
    Duration warmupRemaining{}; ///< remaining time in which the server is slow after its start
    std::int64_t startedAt = 0; ///< Unix time of the server's start in ms, as registered; 0: not given
    SoftwareVersion version{};

    auto operator==(const Server &) const -> bool = default;
};

} // namespace auburnspread::passthrough
