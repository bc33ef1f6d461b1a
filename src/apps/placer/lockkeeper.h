/// \file
/// Holds the placer's lock key in the platform's service through a session, and reads fencing numbers from it.

#pragma once

#include "core/placement/events.h"
#include "runtime/task/eventloop.h"
#include "wire/platform/settledwrite.h"
#include "wire/platform/store.h"

#include <cstdint>
#include <functional>
#include <string>

namespace auburnspread::placer
{

constexpr auto LockKey = "auburnspread/placer";

struct LockKeeperOptions {
    std::string name;
    Duration sessionLifetime{};
    Duration callTime{}; ///< of one write with its repeats
};

class LockKeeper
{
public:
    using OnEvent = std::function<void(const placement::Event &event)>;

    /// \p onEvent gets LeaseGranted, LeaseRenewed and LeaseFailed, later and on the loop.
    LockKeeper(task::EventLoop &loop, platform::Store &store, LockKeeperOptions options, OnEvent onEvent);

    /// Takes the lock key, or writes it again if it is held, for a new fencing number.
    auto acquire(placement::CallId call) -> void;
    auto renew(placement::CallId call) -> void;
    /// Ends the session; \p onDone is called when the service answered or failed.
    auto release(std::function<void()> onDone) -> void;

private:
    auto lookFirst(placement::CallId call) -> void;
    auto createSession(placement::CallId call) -> void;
    auto renewThenWrite(placement::CallId call) -> void;
    auto writeKey(placement::CallId call) -> void;
    auto checkHolder(placement::CallId call) -> void;
    auto fail(placement::CallId call, placement::LeaseFailure failure) -> void;

    platform::Store &store_;
    platform::Settler settler_;
    LockKeeperOptions options_;
    OnEvent onEvent_;
    std::string session_;
    std::uint64_t writes_ = 0;
};

} // namespace auburnspread::placer
