/// \file
/// How many backend servers of each kind a service is to have in each failure domain: `(state, situation, now) -> orders`. Pure.
///
/// The load that this answers: bursts that come sooner than a server starts, so that their servers have to stand ready before. Preemptible
/// servers cost a part of the others, and all of a failure domain may be taken away at once; they are kept in every domain, so that the
/// others bear the load meanwhile. Servers on demand fill a gap that preemptible ones can't.

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

/// One service as the leader knows it.
struct Situation {
    std::string service;
    passthrough::Scaling scaling;
    std::vector<passthrough::Server> servers;
    double neededServers = 0; ///< by what runs and waits at this moment
};

enum class OrderOutcome {
    Accepted,
    Unavailable, ///< none of this kind are to be had there for now
    Unknown,     ///< it may be carried out, now or later
};

struct State {
    using Key = std::tuple<std::string, std::string, Kind>; ///< service, failure domain
    struct Ordered {
        std::uint32_t count = 0;
        std::uint32_t room = 0; ///< what the bound left for this kind then
        TimePoint at;
    };
    std::map<Key, Ordered> ordered;
    std::map<Key, TimePoint> unavailableUntil;
    /// Servers on demand that were found in a failure domain, by service and domain: they go as preemptible ones replace them.
    std::map<std::pair<std::string, std::string>, std::uint32_t> found;
    struct Extra {
        std::uint32_t servers = 0; ///< on demand, that fill a gap
        TimePoint neededAt;        ///< last
    };
    std::map<std::string, Extra> extra; ///< by service
};

/// Servers that what runs and waits would keep as busy as they should be.
auto neededServers(const passthrough::ServiceLoad &load) -> double;

/// Orders that are due. Each is to be answered by noteOutcome().
auto plan(State &state, const Situation &situation, TimePoint now) -> std::vector<Order>;
auto noteOutcome(State &state, const Order &order, OrderOutcome outcome, TimePoint now) -> void;

} // namespace auburnspread::ordering
