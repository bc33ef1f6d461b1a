#include "gateway/serverorders.h"

#include "gateway/clock.h"

#include <utility>

namespace auburnspread::gateway
{

using adapter::DutyOutcome;

ServerOrders::ServerOrders(task::EventLoop &loop, ServerOrdersOptions options, ServerOrdersCallbacks callbacks)
    : options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , client_(loop)
{
}

auto ServerOrders::beginTerm() -> void
{
    term_ += 1;
    state_ = {};
}

auto ServerOrders::update(const ordering::ServiceSituation &situation, std::uint64_t token) -> void
{
    for (const auto &order : ordering::plan(state_, situation, now())) {
        send(order, token, situation.neededServers);
    }
}

auto ServerOrders::calls() const -> std::uint64_t
{
    return calls_;
}

auto ServerOrders::send(const ordering::Order &order, std::uint64_t token, double neededServers) -> void
{
    const adapter::DutyCaller caller{ .api = options_.api, .entry = options_.entry, .token = token };
    calls_ += 1;
    client_.fetch(adapter::makeServerOrder(caller, order), [this, order, token, neededServers, term = term_](const http::Result &result) {
        const auto outcome = adapter::dutyOutcomeOf(result);
        callbacks_.onOrderOutcome(order, adapter::dutyOutcomeName(outcome), neededServers);
        if (term == term_) {
            handleOutcome(order, token, outcome);
        }
    });
}

/// The platform declines an order of preemptible servers if none are available for now. A declined order of on-demand servers means that
/// another entry has become the leader.
auto ServerOrders::handleOutcome(const ordering::Order &order, std::uint64_t token, DutyOutcome outcome) -> void
{
    switch (outcome) {
    case DutyOutcome::Done:
        ordering::recordOutcome(state_, order, ordering::OrderOutcome::Accepted, now());
        break;
    case DutyOutcome::Declined:
        ordering::recordOutcome(state_, order, ordering::OrderOutcome::Unavailable, now());
        if (order.kind == ordering::Kind::OnDemand) {
            callbacks_.onTokenRefused(token);
        }
        break;
    case DutyOutcome::Refused:
        ordering::recordOutcome(state_, order, ordering::OrderOutcome::Unavailable, now());
        break;
    case DutyOutcome::Unknown:
        ordering::recordOutcome(state_, order, ordering::OrderOutcome::Unknown, now());
        break;
    }
}

} // namespace auburnspread::gateway
