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

/// Part of a server's places that are taken where the service has enough of them.
constexpr double TargetUse = 0.6;
/// Prompts that wait are read within this time where the service has enough servers.
constexpr double TargetReadingMs = 150;
/// Preemptible servers that cost more than this part of the others are not worth the streams that they cut.
constexpr double MostPreemptiblePrice = 0.6;
/// After none were to be had.
constexpr Duration UnavailablePause = std::chrono::seconds(2);
/// Between two orders of one kind in one failure domain.
constexpr Duration OrderPause = std::chrono::milliseconds(1500);
/// Besides the start of a server until what was ordered must be seen: its registration, and the drain of one that leaves.
constexpr Duration SettleTime = std::chrono::seconds(5);
/// Servers that fill a gap are kept for this long after it was seen last: the gap may come back.
constexpr Duration GapMemory = std::chrono::seconds(4);

constexpr auto Kinds = std::to_array<NamedValue<Kind>>({
    { Kind::OnDemand, "on-demand" },
    { Kind::Preemptible, "preemptible" },
});

struct Counted {
    std::uint32_t live = 0;    ///< neither leaving nor gone
    std::uint32_t present = 0; ///< leaving ones too
};

auto countServers(const std::vector<Server> &servers, const std::string &domain, Kind kind) -> Counted
{
    Counted counted;
    for (const auto &server : servers) {
        const auto isCounted = server.failureDomain == domain && server.isPreemptible == (kind == Kind::Preemptible);
        counted.present += isCounted ? 1 : 0;
        counted.live += isCounted && !server.isLeaving ? 1 : 0;
    }
    return counted;
}

/// Cheapest first.
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

/// The orders of one service.
class Planner
{
public:
    Planner(State &state, const Situation &situation, TimePoint now)
        : state_(state)
        , situation_(situation)
        , now_(now)
    {
    }

    auto plan() -> std::vector<Order>
    {
        const auto domains = domainsByPrice(situation_.scaling);
        for (const auto &domain : domains) {
            noteFound(domain);
        }
        auto extra = extraServers(domains);
        for (const auto &domain : domains) {
            planDomain(domain, extra);
        }
        return std::move(orders_);
    }

private:
    [[nodiscard]] auto count(const std::string &domain, Kind kind) const -> Counted
    {
        return countServers(situation_.servers, domain, kind);
    }

    [[nodiscard]] auto lastOrder(const std::string &domain, Kind kind) const -> const State::Ordered *
    {
        const auto found = state_.ordered.find({ situation_.service, domain, kind });
        return found == state_.ordered.end() ? nullptr : &found->second;
    }

    [[nodiscard]] auto usesPreemptible() const -> bool
    {
        return situation_.scaling.preemptiblePrice <= MostPreemptiblePrice;
    }

    /// What stands there before the first order counts as asked for by operators; servers register one after the other.
    auto noteFound(const std::string &domain) -> void
    {
        if (lastOrder(domain, Kind::OnDemand) == nullptr) {
            auto &found = state_.found[{ situation_.service, domain }];
            found = std::max(found, count(domain, Kind::OnDemand).live);
        }
    }

    /// Servers on demand that stay until preemptible ones take their place.
    [[nodiscard]] auto baseOf(const std::string &domain) const -> std::uint32_t
    {
        const auto found = state_.found.at({ situation_.service, domain });
        return usesPreemptible() ? found - std::min(found, count(domain, Kind::Preemptible).live) : found;
    }

    /// Servers that the load needs beside the preemptible ones and those that stay. What fills the gap is no part of this sum, so that it
    /// does not close the gap in which it is needed.
    auto extraServers(const std::vector<std::string> &domains) -> std::uint32_t
    {
        std::uint32_t standing = 0;
        for (const auto &domain : domains) {
            standing += count(domain, Kind::Preemptible).live + baseOf(domain);
        }
        const auto needed = static_cast<std::uint32_t>(std::ceil(situation_.neededServers));
        auto &extra = state_.extra[situation_.service];
        if (needed > standing) {
            extra.servers = std::max(extra.servers, needed - standing);
            extra.neededAt = now_;
        } else if (now_ - extra.neededAt >= GapMemory) {
            extra.servers = 0;
        }
        return extra.servers;
    }

    auto planDomain(const std::string &domain, std::uint32_t &extra) -> void
    {
        const auto most = situation_.scaling.most;
        const auto onDemand = count(domain, Kind::OnDemand);
        const auto preemptible = count(domain, Kind::Preemptible);
        const auto base = std::min(baseOf(domain), most);
        const auto roomForExtra = most - std::min(most, base + preemptible.present);
        const auto added = std::min(extra, roomForExtra);
        extra -= added;
        orderOnDemand(domain, base + added, onDemand.live);
        if (usesPreemptible()) {
            orderPreemptible(domain, preemptible.live, most - std::min(most, onDemand.present));
        }
    }

    auto orderOnDemand(const std::string &domain, std::uint32_t wanted, std::uint32_t live) -> void
    {
        const auto *last = lastOrder(domain, Kind::OnDemand);
        const auto known = last == nullptr ? live : last->count;
        const auto isMissing = last != nullptr && live != wanted && now_ - last->at >= situation_.scaling.startTime + SettleTime;
        const auto isPaused = last != nullptr && now_ - last->at < OrderPause;
        if ((wanted != known && !isPaused) || isMissing) {
            order({ .service = situation_.service, .failureDomain = domain, .kind = Kind::OnDemand, .count = wanted }, wanted);
        }
    }

    /// The bound is ordered at once, and again when servers of the other kind have made room.
    auto orderPreemptible(const std::string &domain, std::uint32_t live, std::uint32_t room) -> void
    {
        const auto unavailable = state_.unavailableUntil.find({ situation_.service, domain, Kind::Preemptible });
        const auto isAvailable = unavailable == state_.unavailableUntil.end() || now_ >= unavailable->second;
        const auto most = situation_.scaling.most;
        if (live >= most || room == 0 || !isAvailable) {
            return;
        }
        const auto *last = lastOrder(domain, Kind::Preemptible);
        const auto hasMoreRoom = last != nullptr && room > last->room && now_ - last->at >= OrderPause;
        const auto isMissing = last != nullptr && live < room && now_ - last->at >= situation_.scaling.startTime + SettleTime;
        if (last == nullptr || hasMoreRoom || isMissing) {
            order({ .service = situation_.service, .failureDomain = domain, .kind = Kind::Preemptible, .count = room }, room);
        }
    }

    auto order(const Order &order, std::uint32_t room) -> void
    {
        state_.ordered[{ order.service, order.failureDomain, order.kind }] = { .count = order.count, .room = room, .at = now_ };
        orders_.push_back(order);
    }

    State &state_;
    const Situation &situation_;
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
    const auto byPlaces = load.requests / (slotsEach * TargetUse);
    const auto byReading = static_cast<double>(load.unreadTokens) / (load.tokensPerMs * TargetReadingMs);
    return std::max(byPlaces, byReading);
}

auto plan(State &state, const Situation &situation, TimePoint now) -> std::vector<Order>
{
    return Planner(state, situation, now).plan();
}

auto noteOutcome(State &state, const Order &order, OrderOutcome outcome, TimePoint now) -> void
{
    if (outcome == OrderOutcome::Unavailable) {
        const auto key = State::Key(order.service, order.failureDomain, order.kind);
        state.ordered.erase(key);
        state.unavailableUntil[key] = now + UnavailablePause;
    }
}

} // namespace auburnspread::ordering
