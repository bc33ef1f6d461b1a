#include "gateway/election.h"

#include "gateway/clock.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

using adapter::StoreOutcome;
using leadership::CallFailure;
using nlohmann::json;

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// A change of the key ends the watch at once, so a long timeout delays nothing and saves calls.
constexpr Duration WatchTimeout = std::chrono::seconds(10);

auto callFailureFor(StoreOutcome outcome) -> CallFailure
{
    switch (outcome) {
    case StoreOutcome::Absent:
    case StoreOutcome::Conflict:
    case StoreOutcome::HistoryGone:
        return CallFailure::Lost;
    case StoreOutcome::Refused:
        return CallFailure::Refused;
    default:
        return CallFailure::Unknown;
    }
}

auto encodeClaim(const leadership::Claim &claim) -> std::string
{
    return json{ { "entry", claim.entry }, { "incarnation", claim.incarnation }, { "attempt", claim.attempt } }.dump();
}

auto decodeClaim(const std::string &text) -> leadership::Claim
{
    const auto document = json::parse(text);
    return {
        .entry = document.at("entry").get<std::string>(),
        .incarnation = document.at("incarnation").get<std::uint64_t>(),
        .attempt = document.at("attempt").get<std::uint64_t>(),
    };
}

} // namespace

Election::Election(task::EventLoop &loop, std::string store, leadership::Options options, ElectionCallbacks callbacks)
    : loop_(loop)
    , storeAddress_(std::move(store))
    , callbacks_(std::move(callbacks))
    , client_(loop)
    , state_(leadership::makeState(std::move(options)))
{
}

auto Election::start() -> void
{
    timer_ = loop_.every(TickInterval, [this]() { apply(leadership::Tick{}); });
}

auto Election::setEligible(bool isEligible) -> void
{
    apply(leadership::EligibilityChanged{ .isEligible = isEligible });
}

auto Election::observeEra(std::uint64_t era) -> void
{
    apply(leadership::EraObserved{ .era = era });
}

auto Election::handleTokenRefused(std::uint64_t token) -> void
{
    apply(leadership::TokenRefused{ .token = token });
}

auto Election::token() const -> std::optional<std::uint64_t>
{
    return leadership::currentToken(state_, now());
}

auto Election::calls() const -> std::uint64_t
{
    return calls_;
}

auto Election::apply(const leadership::Event &event) -> void
{
    for (const auto &action : leadership::step(state_, event, now())) {
        std::visit([this](const auto &each) { execute(each); }, action);
    }
}

auto Election::execute(const leadership::ReadClaim &action) -> void
{
    callStore(action.call, adapter::makeRange(storeAddress_, LeaderKey, ""), [this, call = action.call](const http::Response &response) {
        handleClaim(call, response);
    });
}

auto Election::execute(const leadership::WatchClaim &action) -> void
{
    const auto request = adapter::makeWatch(storeAddress_, LeaderKey, action.revision, WatchTimeout);
    callStore(action.call, request, [this, call = action.call](const http::Response &response) { handleClaimChange(call, response); });
}

auto Election::execute(const leadership::AcquireLease &action) -> void
{
    callStore(action.call, adapter::makeLease(storeAddress_, action.lifetime), [this, call = action.call](const http::Response &response) {
        if (const auto lease = adapter::decodeLease(response)) {
            apply(leadership::LeaseAcquired{ .call = call, .lease = lease->id, .lifetime = lease->lifetime });
        } else {
            handleFailure(call, CallFailure::Unknown);
        }
    });
}

auto Election::execute(const leadership::WriteClaim &action) -> void
{
    const auto key = std::string(LeaderKey);
    const auto request = adapter::makeConditionalPut(storeAddress_, { { .key = key, .revision = 0 } }, key, encodeClaim(action.claim), action.lease);
    callStore(action.call, request, [this, call = action.call](const http::Response &response) {
        if (const auto revision = adapter::decodeRevision(response)) {
            apply(leadership::ClaimWritten{ .call = call, .revision = *revision });
        } else {
            handleFailure(call, CallFailure::Unknown);
        }
    });
}

auto Election::execute(const leadership::RenewLease &action) -> void
{
    callStore(action.call, adapter::makeRenewal(storeAddress_, action.lease), [this, call = action.call](const http::Response & /*response*/) {
        apply(leadership::LeaseRenewed{ .call = call });
    });
}

auto Election::execute(const leadership::EndLease &action) -> void
{
    // A failed call is not retried: the lease expires within seconds.
    calls_ += 1;
    client_.fetch(adapter::makeLeaseEnd(storeAddress_, action.lease), [](const http::Result &) {});
}

auto Election::execute(const leadership::TermBegun &action) -> void
{
    callbacks_.onTermBegun(action.token);
}

auto Election::execute(const leadership::TermEnded &action) -> void
{
    callbacks_.onTermEnded(action.token, action.reason);
}

auto Election::callStore(std::uint64_t call, const http::Request &request, OnResponse onResponse) -> void
{
    calls_ += 1;
    client_.fetch(request, [this, call, onResponse = std::move(onResponse)](const http::Result &result) {
        if (const auto era = adapter::eraOf(result); era > state_.era) {
            apply(leadership::EraObserved{ .era = era });
        }
        const auto outcome = adapter::outcomeOf(result);
        if (outcome == StoreOutcome::Done) {
            onResponse(std::get<http::Response>(result));
        } else {
            handleFailure(call, callFailureFor(outcome));
        }
    });
}

auto Election::handleFailure(std::uint64_t call, CallFailure failure) -> void
{
    apply(leadership::CallFailed{ .call = call, .failure = failure });
}

auto Election::handleClaim(std::uint64_t call, const http::Response &response) -> void
{
    const auto items = adapter::decodeItems(response);
    if (!items) {
        callbacks_.onInvalid("leader", "response of the store cannot be decoded");
        handleFailure(call, CallFailure::Unknown);
        return;
    }
    lastRead_ = { .storeRevision = items->revision };
    for (const auto &item : items->items) {
        if (item.key != LeaderKey) {
            continue;
        }
        try {
            lastRead_.claim = decodeClaim(item.value);
            lastRead_.claimRevision = item.revision;
        } catch (const json::exception &error) {
            callbacks_.onInvalid("leader", error.what());
            handleFailure(call, CallFailure::Unknown);
            return;
        }
    }
    auto read = lastRead_;
    read.call = call;
    apply(read);
}

/// After any change, or a restore of the store, the key is read again. A watch that ends without changes confirms the last claim read.
auto Election::handleClaimChange(std::uint64_t call, const http::Response &response) -> void
{
    const auto items = adapter::decodeItems(response);
    if (!items || !items->items.empty() || !items->unreadable.empty() || items->revision.era != lastRead_.storeRevision.era) {
        execute(leadership::ReadClaim{ .call = call });
        return;
    }
    lastRead_.storeRevision = items->revision;
    auto read = lastRead_;
    read.call = call;
    apply(read);
}

} // namespace auburnspread::gateway
