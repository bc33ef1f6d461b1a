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

/// Preemptible servers that cost more than this part of the others are not worth the streams that they cut.
constexpr double MostPreemptiblePrice = 0.6;
/// After none were to be had.
constexpr Duration UnavailablePause = std::chrono::seconds(2);
/// Besides the start of a server until what was ordered must be seen: its registration, and the drain of one that leaves.
constexpr Duration SettleTime = std::chrono::seconds(5);
/// Servers that filled a gap are kept for this long after it was seen last: the gap may come back.
constexpr Duration GapMemory = std::chrono::seconds(6);

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

auto countLive(const std::vector<Server> &servers) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(servers.begin(), servers.end(), [](const Server &server) { return !server.isLeaving; }));
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
    for (auto &[price, domain] : priced) {
        domains.push_back(std::move(domain));
    }
    return domains;
}

class Planner
{
public:
    Planner(State &state, const Situation &situation, TimePoint now)
        : state_(state)
        , situation_(situation)
        , now_(now)
        , gap_(findGap())
    {
    }

    auto plan() -> std::vector<Order>
    {
        for (const auto &domain : domainsByPrice(situation_.scaling)) {
            planDomain(domain);
        }
        return std::move(orders_);
    }

private:
    /// Servers that are missing now, or were until lately.
    auto findGap() -> std::uint32_t
    {
        const auto needed = static_cast<std::uint32_t>(std::ceil(situation_.neededServers));
        const auto live = countLive(situation_.servers);
        if (live < needed) {
            state_.gapSeenAt[situation_.service] = now_;
            return needed - live;
        }
        return 0;
    }

    [[nodiscard]] auto hadGapLately() const -> bool
    {
        const auto found = state_.gapSeenAt.find(situation_.service);
        return found != state_.gapSeenAt.end() && now_ - found->second < GapMemory;
    }

    [[nodiscard]] auto isAvailable(const std::string &domain) const -> bool
    {
        const auto found = state_.unavailableUntil.find({ situation_.service, domain, Kind::Preemptible });
        return found == state_.unavailableUntil.end() || now_ >= found->second;
    }

    auto planDomain(const std::string &domain) -> void
    {
        const auto onDemand = countServers(situation_.servers, domain, Kind::OnDemand);
        const auto preemptible = countServers(situation_.servers, domain, Kind::Preemptible);
        const auto wantedOnDemand = std::min(onDemandFor(onDemand, preemptible), situation_.scaling.most);
        const auto room = situation_.scaling.most - std::min(situation_.scaling.most, std::max(onDemand.present, wantedOnDemand));
        if (situation_.scaling.preemptiblePrice <= MostPreemptiblePrice && isAvailable(domain)) {
            order({ .service = situation_.service, .failureDomain = domain, .kind = Kind::Preemptible, .count = room }, preemptible.live);
        }
        order({ .service = situation_.service, .failureDomain = domain, .kind = Kind::OnDemand, .count = wantedOnDemand }, onDemand.live);
    }

    /// Servers on demand go when as many preemptible ones run beside them.
    auto onDemandFor(const Counted &onDemand, const Counted &preemptible) -> std::uint32_t
    {
        const auto room = situation_.scaling.most - std::min(situation_.scaling.most, onDemand.present + preemptible.present);
        const auto added = std::min(gap_, room);
        gap_ -= added;
        const auto isReplaced = preemptible.live >= std::max(onDemand.live, std::max(situation_.scaling.least, 1U));
        return isReplaced && !hadGapLately() ? 0 : onDemand.live + added;
    }

    auto order(const Order &order, std::uint32_t live) -> void
    {
        const auto key = State::Key(order.service, order.failureDomain, order.kind);
        const auto found = state_.ordered.find(key);
        const auto isNew = found == state_.ordered.end() ? order.count != live : found->second.count != order.count;
        // an order whose answer was lost may be carried out after a later one, and servers get lost: what is not seen is ordered anew
        const auto isMissing = found != state_.ordered.end() && order.count != live && now_ - found->second.at > situation_.scaling.startTime + SettleTime;
        if (isNew || isMissing) {
            state_.ordered[key] = { .count = order.count, .at = now_ };
            orders_.push_back(order);
        }
    }

    State &state_;
    const Situation &situation_;
    TimePoint now_;
    std::uint32_t gap_ = 0;
    std::vector<Order> orders_;
};

} // namespace

auto kindName(Kind kind) -> std::string_view
{
    return findName(Kinds, kind);
}

auto plan(State &state, const Situation &situation, TimePoint now) -> std::vector<Order>
{
    return Planner(state, situation, now).plan();
}

auto noteOutcome(State &state, const Order &order, Outcome outcome, TimePoint now) -> void
{
    if (outcome == Outcome::Unavailable) {
        const auto key = State::Key(order.service, order.failureDomain, order.kind);
        state.ordered.erase(key);
        state.unavailableUntil[key] = now + UnavailablePause;
    }
}

} // namespace auburnspread::ordering
