#include "wire/platform/lease.h"

#include <utility>

namespace auburnspread::platform
{

namespace
{

auto callIfSet(const std::function<void()> &callback) -> void
{
    if (callback) {
        callback();
    }
}

} // namespace

Lease::Lease(task::EventLoop &loop, Store &store, LeaseOptions options, LeaseCallbacks callbacks)
    : loop_(loop)
    , store_(store)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , backoff_(options_.backoff)
{
    renew();
}

Lease::~Lease()
{
    if (call_) {
        store_.cancel(*call_);
    }
}

auto Lease::isHeld(TimePoint now) const -> bool
{
    return !session_.empty() && !isReleased_ && now < heldUntil_;
}

auto Lease::heldUntil() const -> TimePoint
{
    return heldUntil_;
}

auto Lease::session() const -> const std::string &
{
    return session_;
}

auto Lease::release(OnWritten onReleased) -> void
{
    isReleased_ = true;
    renewal_ = {};
    expiry_ = {};
    if (call_) {
        store_.cancel(*std::exchange(call_, std::nullopt));
    }
    if (session_.empty()) {
        renewal_ = loop_.after(Duration(0), [onReleased = std::move(onReleased)]() { onReleased({ .verdict = Verdict::Applied }); });
        return;
    }
    call_ = store_.destroySession(session_, [this, onReleased = std::move(onReleased)](const WriteResult &result) {
        call_.reset();
        onReleased(result);
    });
}

auto Lease::renew() -> void
{
    const auto sentAt = task::monotonicNow();
    auto onSession = [this, sentAt](const SessionResult &result) { takeAnswer(sentAt, result); };
    call_
        = session_.empty() ? store_.createSession(options_.name, options_.lifetime, std::move(onSession)) : store_.renewSession(session_, std::move(onSession));
}

auto Lease::renewAfter(Duration pause) -> void
{
    renewal_ = loop_.after(pause, [this]() { renew(); });
}

auto Lease::takeAnswer(TimePoint sentAt, const SessionResult &result) -> void
{
    call_.reset();
    switch (result.state) {
    case SessionState::Live:
        backoff_.reset();
        session_ = result.id;
        renewAfter(options_.lifetime / options_.renewalsPerLifetime);
        hold(sentAt + options_.lifetime - options_.margin);
        return;
    case SessionState::Gone:
        renewAfter(backoff_.next());
        lose();
        return;
    case SessionState::Unknown:
        renewAfter(backoff_.next());
        return;
    }
}

auto Lease::hold(TimePoint until) -> void
{
    heldUntil_ = until;
    const auto left = until - task::monotonicNow();
    if (left <= Duration(0)) {
        lapse(); // the answer came so late that it grants nothing
        return;
    }
    expiry_ = loop_.after(left, [this]() { lapse(); });
    if (!std::exchange(wasHeld_, true)) {
        callIfSet(callbacks_.onHeld);
    }
}

auto Lease::lapse() -> void
{
    if (std::exchange(wasHeld_, false)) {
        callIfSet(callbacks_.onLapsed);
    }
}

auto Lease::lose() -> void
{
    session_.clear();
    expiry_ = {};
    wasHeld_ = false;
    callIfSet(callbacks_.onLost);
}

} // namespace auburnspread::platform
