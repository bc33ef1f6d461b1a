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
/// A change of the key ends the wait, so a long one costs little.
constexpr Duration WatchTime = std::chrono::seconds(10);

auto toFailure(StoreOutcome outcome) -> CallFailure
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
    , store_(std::move(store))
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

auto Election::noteTokenRefused(std::uint64_t token) -> void
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
        std::visit([this](const auto &each) { run(each); }, action);
    }
}

auto Election::run(const leadership::ReadClaim &action) -> void
{
    fetch(action.call, adapter::makeRange(store_, LeaderKey, ""), [this, call = action.call](const http::Response &response) { takeClaim(call, response); });
}

auto Election::run(const leadership::WatchClaim &action) -> void
{
    const auto request = adapter::makeWatch(store_, LeaderKey, action.revision, WatchTime);
    fetch(action.call, request, [this, call = action.call](const http::Response &response) { takeClaimChange(call, response); });
}

auto Election::run(const leadership::AcquireLease &action) -> void
{
    fetch(action.call, adapter::makeLease(store_, action.lifetime), [this, call = action.call](const http::Response &response) {
        if (const auto lease = adapter::decodeLease(response)) {
            apply(leadership::LeaseAcquired{ .call = call, .lease = lease->id, .lifetime = lease->lifetime });
        } else {
            fail(call, CallFailure::Unknown);
        }
    });
}

auto Election::run(const leadership::WriteClaim &action) -> void
{
    const auto key = std::string(LeaderKey);
    const auto request = adapter::makeConditionalPut(store_, { { .key = key, .revision = 0 } }, key, encodeClaim(action.claim), action.lease);
    fetch(action.call, request, [this, call = action.call](const http::Response &response) {
        if (const auto revision = adapter::decodeRevision(response)) {
            apply(leadership::ClaimWritten{ .call = call, .revision = *revision });
        } else {
            fail(call, CallFailure::Unknown);
        }
    });
}

auto Election::run(const leadership::RenewLease &action) -> void
{
    fetch(action.call, adapter::makeRenewal(store_, action.lease), [this, call = action.call](const http::Response & /*response*/) {
        apply(leadership::LeaseRenewed{ .call = call });
    });
}

auto Election::run(const leadership::EndLease &action) -> void
{
    // a failure needs no repeat: the lease ends by itself within seconds
    calls_ += 1;
    client_.fetch(adapter::makeLeaseEnd(store_, action.lease), [](const http::Result &) {});
}

auto Election::run(const leadership::TermBegun &action) -> void
{
    callbacks_.onTermBegun(action.token);
}

auto Election::run(const leadership::TermEnded &action) -> void
{
    callbacks_.onTermEnded(action.token, action.reason);
}

auto Election::fetch(std::uint64_t call, const http::Request &request, OnAnswer onAnswer) -> void
{
    calls_ += 1;
    client_.fetch(request, [this, call, onAnswer = std::move(onAnswer)](const http::Result &result) {
        const auto outcome = adapter::outcomeOf(result);
        if (outcome == StoreOutcome::Done) {
            onAnswer(std::get<http::Response>(result));
        } else {
            fail(call, toFailure(outcome));
        }
    });
}

auto Election::fail(std::uint64_t call, CallFailure failure) -> void
{
    apply(leadership::CallFailed{ .call = call, .failure = failure });
}

auto Election::takeClaim(std::uint64_t call, const http::Response &response) -> void
{
    const auto items = adapter::decodeItems(response);
    if (!items) {
        callbacks_.onInvalid("leader", "answer of the store can't be read");
        fail(call, CallFailure::Unknown);
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
            fail(call, CallFailure::Unknown);
            return;
        }
    }
    auto read = lastRead_;
    read.call = call;
    apply(read);
}

/// Whatever changed, the key is read anew; nothing changed: the last reading holds on.
auto Election::takeClaimChange(std::uint64_t call, const http::Response &response) -> void
{
    const auto items = adapter::decodeItems(response);
    if (!items || !items->items.empty()) {
        run(leadership::ReadClaim{ .call = call });
        return;
    }
    lastRead_.storeRevision = items->revision;
    auto read = lastRead_;
    read.call = call;
    apply(read);
}

} // namespace auburnspread::gateway
