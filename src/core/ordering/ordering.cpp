#include "core/ordering/ordering.h"

#include "core/base/nametable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace auburnspread::ordering
{

namespace
{

using passthrough::Scaling;
using passthrough::Server;

/// Target utilisation: fraction of the servers' slots that are in use when the service has enough servers.
constexpr double TargetUtilization = 0.6;
/// Time in which the waiting prompts are read when the service has enough servers.
constexpr double TargetPrefillMs = 150;
/// Greatest price of a preemptible server, relative to an on-demand one, at which it is worth the streams that its preemption breaks.
constexpr double MaxPreemptiblePrice = 0.6;
/// Backoff after an order failed because no servers were available.
constexpr Duration UnavailableBackoff = std::chrono::seconds(2);
/// Shortest time between two orders of one kind in one failure domain.
constexpr Duration MinOrderInterval = std::chrono::milliseconds(1500);
/// Time after which ordered changes must be visible, in addition to the start time of a server: covers its registration, and the draining of
/// a server that leaves.
constexpr Duration SettleTime = std::chrono::seconds(5);
/// Time for which gap-filling servers are kept after the gap was last seen, since it may reappear.
constexpr Duration GapRetention = std::chrono::seconds(4);

constexpr auto Kinds = std::to_array<NamedValue<Kind>>({
    { Kind::OnDemand, "on-demand" },
    { Kind::Preemptible, "preemptible" },
});

struct ServerCount {
    std::uint32_t live = 0;    ///< neither leaving nor gone
    std::uint32_t present = 0; ///< including servers that are leaving
};

auto countServers(const std::vector<Server> &servers, const std::string &domain, Kind kind) -> ServerCount
{
    ServerCount counted;
    for (const auto &server : servers) {
        const auto isCounted = server.failureDomain == domain && server.isPreemptible == (kind == Kind::Preemptible);
        counted.present += isCounted ? 1 : 0;
        counted.live += isCounted && !server.isLeaving ? 1 : 0;
    }
    return counted;
}

/// Failure domains by price, the cheapest first.
auto domainsByPrice(const Scaling &scaling) -> std::vector<std::string>
{
    std::vector<std::pair<double, std::string>> priced;
    for (const auto &[domain, price] : scaling.prices) {
        priced.emplace_back(price, domain);
    }
    std::sort(priced.begin(), priced.end());
    std::vector<std::string> domains;
    domains.reserve(priced.size());
    for (auto &[price, domain] : priced) {
        domains.push_back(std::move(domain));
    }
    return domains;
}

/// Computes the orders of one service.
class Planner
{
public:
    Planner(State &state, const ServiceSituation &situation, TimePoint now)
        : state_(state)
        , situation_(situation)
        , now_(now)
    {
    }

    auto plan() -> std::vector<Order>
    {
        const auto domains = domainsByPrice(situation_.scaling);
        for (const auto &domain : domains) {
            recordInitialServers(domain);
        }
        auto gapServers = neededGapServers(domains);
        for (const auto &domain : domains) {
            planDomain(domain, gapServers);
        }
        return std::move(orders_);
    }

private:
    [[nodiscard]] auto count(const std::string &domain, Kind kind) const -> ServerCount
    {
        return countServers(situation_.servers, domain, kind);
    }

    [[nodiscard]] auto lastOrder(const std::string &domain, Kind kind) const -> const State::LastOrder *
    {
        const auto found = state_.lastOrders.find({ situation_.service, domain, kind });
        return found == state_.lastOrders.end() ? nullptr : &found->second;
    }

    [[nodiscard]] auto usesPreemptible() const -> bool
    {
        return situation_.scaling.preemptiblePrice <= MaxPreemptiblePrice;
    }

    /// Records the on-demand servers that exist before the first order, which count as requested by operators. They register one after another,
    /// so the maximum is kept.
    auto recordInitialServers(const std::string &domain) -> void
    {
        if (lastOrder(domain, Kind::OnDemand) == nullptr) {
            auto &found = state_.initialServers[{ situation_.service, domain }];
            found = std::max(found, count(domain, Kind::OnDemand).live);
        }
    }

    /// Initial on-demand servers that preemptible ones have not replaced yet.
    [[nodiscard]] auto baseServers(const std::string &domain) const -> std::uint32_t
    {
        const auto found = state_.initialServers.at({ situation_.service, domain });
        return usesPreemptible() ? found - std::min(found, count(domain, Kind::Preemptible).live) : found;
    }

    /// On-demand servers that the load needs in addition to the preemptible and the base servers. The gap-filling servers themselves are not
    /// counted, or they would close the gap that requires them.
    auto neededGapServers(const std::vector<std::string> &domains) -> std::uint32_t
    {
        std::uint32_t existing = 0;
        for (const auto &domain : domains) {
            existing += count(domain, Kind::Preemptible).live + baseServers(domain);
        }
        const auto needed = static_cast<std::uint32_t>(std::ceil(situation_.neededServers));
        auto &gapServers = state_.gapServers[situation_.service];
        if (needed > existing) {
            gapServers.servers = std::max(gapServers.servers, needed - existing);
            gapServers.neededAt = now_;
        } else if (now_ - gapServers.neededAt >= GapRetention) {
            gapServers.servers = 0;
        }
        return gapServers.servers;
    }

    auto planDomain(const std::string &domain, std::uint32_t &gapServers) -> void
    {
        const auto maxServers = situation_.scaling.maxServers;
        const auto onDemand = count(domain, Kind::OnDemand);
        const auto preemptible = count(domain, Kind::Preemptible);
        const auto base = std::min(baseServers(domain), maxServers);
        const auto roomForGapServers = maxServers - std::min(maxServers, base + preemptible.present);
        const auto added = std::min(gapServers, roomForGapServers);
        gapServers -= added;
        orderOnDemand(domain, base + added, onDemand.live);
        if (usesPreemptible()) {
            orderPreemptible(domain, preemptible.live, maxServers - std::min(maxServers, onDemand.present));
        }
    }

    auto orderOnDemand(const std::string &domain, std::uint32_t target, std::uint32_t live) -> void
    {
        const auto *last = lastOrder(domain, Kind::OnDemand);
        const auto ordered = last == nullptr ? live : last->count;
        const auto isOverdue = last != nullptr && live != target && now_ - last->at >= situation_.scaling.startTime + SettleTime;
        const auto isTooSoon = last != nullptr && now_ - last->at < MinOrderInterval;
        if ((target != ordered && !isTooSoon) || isOverdue) {
            order({ .service = situation_.service, .failureDomain = domain, .kind = Kind::OnDemand, .count = target }, target);
        }
    }

    /// Orders as many servers as the bound allows, and orders again when servers of the other kind have left capacity.
    auto orderPreemptible(const std::string &domain, std::uint32_t live, std::uint32_t capacity) -> void
    {
        const auto unavailable = state_.unavailableUntil.find({ situation_.service, domain, Kind::Preemptible });
        const auto isAvailable = unavailable == state_.unavailableUntil.end() || now_ >= unavailable->second;
        const auto maxServers = situation_.scaling.maxServers;
        if (live >= maxServers || capacity == 0 || !isAvailable) {
            return;
        }
        const auto *last = lastOrder(domain, Kind::Preemptible);
        const auto hasMoreCapacity = last != nullptr && capacity > last->capacity && now_ - last->at >= MinOrderInterval;
        const auto isOverdue = last != nullptr && live < capacity && now_ - last->at >= situation_.scaling.startTime + SettleTime;
        if (last == nullptr || hasMoreCapacity || isOverdue) {
            order({ .service = situation_.service, .failureDomain = domain, .kind = Kind::Preemptible, .count = capacity }, capacity);
        }
    }

    auto order(const Order &order, std::uint32_t capacity) -> void
    {
        state_.lastOrders[{ order.service, order.failureDomain, order.kind }] = { .count = order.count, .capacity = capacity, .at = now_ };
        orders_.push_back(order);
    }

    State &state_;
    const ServiceSituation &situation_;
    TimePoint now_;
    std::vector<Order> orders_;
};

} // namespace

auto kindName(Kind kind) -> std::string_view
{
    return findName(Kinds, kind);
}

auto neededServers(const passthrough::ServiceLoad &load) -> double
{
    if (load.servers == 0 || load.slots == 0) {
        return 0;
    }
    const auto slotsEach = static_cast<double>(load.slots) / load.servers;
    const auto neededForSlots = load.requests / (slotsEach * TargetUtilization);
    const auto neededForPrefill = static_cast<double>(load.unreadTokens) / (load.tokensPerMs * TargetPrefillMs);
    return std::max(neededForSlots, neededForPrefill);
}

auto plan(State &state, const ServiceSituation &situation, TimePoint now) -> std::vector<Order>
{
    return Planner(state, situation, now).plan();
}

auto recordOutcome(State &state, const Order &order, OrderOutcome outcome, TimePoint now) -> void
{
    if (outcome == OrderOutcome::Unavailable) {
        const auto key = State::Key(order.service, order.failureDomain, order.kind);
        state.lastOrders.erase(key);
        state.unavailableUntil[key] = now + UnavailableBackoff;
    }
}

} // namespace auburnspread::ordering
