/// \file
/// A lease on the platform's service: a session that is kept renewed, with our own knowledge of how long it is surely held.

#pragma once

#include "wire/platform/backoff.h"
#include "wire/platform/store.h"

#include <functional>
#include <optional>
#include <string>

namespace auburnspread::platform
{

struct LeaseOptions {
    std::string name;                             ///< shown in the service
    Duration lifetime = std::chrono::seconds(10); ///< that the service grants from each renewal
    Duration margin = std::chrono::seconds(1);    ///< we stop this much earlier than the service may
    int renewalsPerLifetime = 3;
    BackoffOptions backoff;
};

struct LeaseCallbacks {
    std::function<void()> onHeld;   ///< held, for the first time or again; session() may be a new one
    std::function<void()> onLapsed; ///< the time ran out without a renewal; others may or may not have taken over
    std::function<void()> onLost;   ///< the service ended the session: the keys it held are free
};

/// The holder may be paused at any moment, also between a check and what follows it. So the time until which the lease is held
/// counts from before each renewal was sent, on our monotonic clock, and isHeld() is asked with the time read just before
/// each use. A renewal that succeeds after a lapse proves that the session never ended, so it holds its keys still.
class Lease
{
public:
    Lease(task::EventLoop &loop, Store &store, LeaseOptions options, LeaseCallbacks callbacks);
    /// Leaves the session to expire. \p store must still live. Not to be called from within a callback.
    ~Lease();
    Lease(const Lease &) = delete;
    auto operator=(const Lease &) -> Lease & = delete;

    [[nodiscard]] auto isHeld(TimePoint now) const -> bool;
    /// End of the time for which isHeld() is true.
    [[nodiscard]] auto heldUntil() const -> TimePoint;
    /// Id of the session; "" before the first one and after a loss.
    [[nodiscard]] auto session() const -> const std::string &;

    /// Ends the session at the service, and with it the keys that it holds. The lease is not renewed any more.
    auto release(OnWritten onReleased) -> void;

private:
    auto renew() -> void;
    auto renewAfter(Duration pause) -> void;
    auto takeAnswer(TimePoint sentAt, const SessionResult &result) -> void;
    auto hold(TimePoint until) -> void;
    auto lapse() -> void;
    auto lose() -> void;

    task::EventLoop &loop_;
    Store &store_;
    LeaseOptions options_;
    LeaseCallbacks callbacks_;
    Backoff backoff_;
    std::string session_;
    TimePoint heldUntil_;
    bool wasHeld_ = false; ///< as last told to the callbacks
    bool isReleased_ = false;
    std::optional<Call> call_;
    task::Watch renewal_;
    task::Watch expiry_;
};

} // namespace auburnspread::platform
