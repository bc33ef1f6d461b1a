/// \file
/// Decides how many backend servers of each kind a service should have in each failure domain: `(state, situation, now) -> orders`.
/// The functions are pure.
///
/// Bursts arrive faster than a server starts, so servers for them must be running beforehand. Preemptible servers cost a fraction of
/// the price of on-demand servers, but all of a failure domain may be taken away at once; they are kept in every failure domain, so that
/// the other domains can carry the load meanwhile. On-demand servers fill the gap where preemptible ones do not suffice.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "core/passthrough/router.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnspread::ordering
{

enum class Kind {
    OnDemand,
    Preemptible, ///< may be taken away at short notice
};
auto kindName(Kind kind) -> std::string_view;

struct Order {
    std::string service;
    std::string failureDomain;
    Kind kind = Kind::OnDemand;
    std::uint32_t count = 0;

    auto operator==(const Order &) const -> bool = default;
};

/// A service, its servers and its load as known to the leader.
struct ServiceSituation {
    std::string service;
    passthrough::Scaling scaling;
    std::vector<passthrough::Server> servers;
    double neededServers = 0; ///< servers that the current load needs; see neededServers()
};

enum class OrderOutcome {
    Accepted,
    Unavailable, ///< no servers of this kind are available in the failure domain for now
    Unknown,     ///< the order may have been carried out, or may still be
};

/// Orders and observations that later decisions depend on.
struct State {
    using Key = std::tuple<std::string, std::string, Kind>; ///< service, failure domain
    struct LastOrder {
        std::uint32_t count = 0;
        std::uint32_t capacity = 0; ///< servers of this kind that the bound allowed at the time of the order
        TimePoint at;               ///< time of the order
    };
    std::map<Key, LastOrder> lastOrders;       ///< the last order of each kind in each failure domain
    std::map<Key, TimePoint> unavailableUntil; ///< time before which no servers are ordered again, after an unavailable order
    /// On-demand servers that existed before the first order, by service and failure domain. They are released as preemptible ones replace them.
    std::map<std::pair<std::string, std::string>, std::uint32_t> initialServers;
    struct GapServers {
        std::uint32_t servers = 0; ///< on-demand servers that fill the gap
        TimePoint neededAt;        ///< when they were last needed
    };
    std::map<std::string, GapServers> gapServers; ///< gap-filling servers by service
};

/// Number of servers at which the load would result in the target utilisation.
auto neededServers(const passthrough::ServiceLoad &load) -> double;

/// \return the orders that are due; the caller reports the outcome of each with recordOutcome()
auto plan(State &state, const ServiceSituation &situation, TimePoint now) -> std::vector<Order>;
auto recordOutcome(State &state, const Order &order, OrderOutcome outcome, TimePoint now) -> void;

} // namespace auburnspread::ordering
