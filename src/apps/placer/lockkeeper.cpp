#include "apps/placer/lockkeeper.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace auburnspread::placer
{

namespace
{

using placement::CallId;
using placement::LeaseFailure;
using platform::SessionState;

/// Session that holds the lock key; "" if none; nothing if the service did not answer.
auto holderIn(const platform::ReadResult &result) -> std::optional<std::string>
{
    const auto *snapshot = std::get_if<platform::Snapshot>(&result);
    if (snapshot == nullptr) {
        return std::nullopt;
    }
    return snapshot->entries.empty() ? std::string() : snapshot->entries.front().session;
}

} // namespace

LockKeeper::LockKeeper(task::EventLoop &loop, platform::Store &store, LockKeeperOptions options, OnEvent onEvent)
    : store_(store)
    , settler_(loop, store, { .limit = options.callTime })
    , options_(std::move(options))
    , onEvent_(std::move(onEvent))
{
}

auto LockKeeper::acquire(CallId call) -> void
{
    if (session_.empty()) {
        lookFirst(call);
    } else {
        renewThenWrite(call);
    }
}

// Many processes stand by. Reading the key first spares the service a session and a write for each of their tries.
auto LockKeeper::lookFirst(CallId call) -> void
{
    store_.get(LockKey, [this, call](const platform::ReadResult &result) {
        const auto holder = holderIn(result);
        if (!holder) {
            fail(call, LeaseFailure::Unknown);
        } else if (!holder->empty()) {
            fail(call, LeaseFailure::HeldElsewhere);
        } else {
            createSession(call);
        }
    });
}

auto LockKeeper::createSession(CallId call) -> void
{
    store_.createSession(options_.name, options_.sessionLifetime, [this, call](const platform::SessionResult &result) {
        if (result.state != SessionState::Live) {
            fail(call, LeaseFailure::Unknown);
            return;
        }
        session_ = result.id;
        writeKey(call);
    });
}

auto LockKeeper::renewThenWrite(CallId call) -> void
{
    store_.renewSession(session_, [this, call](const platform::SessionResult &result) {
        if (result.state == SessionState::Live) {
            writeKey(call);
        } else {
            fail(call, result.state == SessionState::Gone ? LeaseFailure::SessionGone : LeaseFailure::Unknown);
        }
    });
}

// The value differs each time: a write that changes nothing may leave the key's ModifyIndex, the fencing number, as it was.
auto LockKeeper::writeKey(CallId call) -> void
{
    const nlohmann::json value{ { "holder", options_.name }, { "session", session_ }, { "write", ++writes_ } };
    settler_.acquire(LockKey, value.dump(), session_, [this, call](const platform::SettledResult &result) {
        if (result.verdict == platform::Verdict::Applied && result.entry) {
            onEvent_(placement::LeaseGranted{ .call = call, .fence = result.entry->modifyIndex });
        } else if (result.verdict == platform::Verdict::Conflict) {
            fail(call, LeaseFailure::HeldElsewhere);
        } else {
            fail(call, LeaseFailure::Unknown);
        }
    });
}

auto LockKeeper::renew(CallId call) -> void
{
    store_.renewSession(session_, [this, call](const platform::SessionResult &result) {
        if (result.state == SessionState::Live) {
            checkHolder(call);
        } else {
            fail(call, result.state == SessionState::Gone ? LeaseFailure::SessionGone : LeaseFailure::Unknown);
        }
    });
}

// The session may live on while the key was deleted or given to another, by an operator's hand. Renewing alone would let
// two processes believe that they hold the lease.
auto LockKeeper::checkHolder(CallId call) -> void
{
    store_.get(LockKey, [this, call](const platform::ReadResult &result) {
        const auto holder = holderIn(result);
        if (!holder) {
            fail(call, LeaseFailure::Unknown);
        } else if (*holder != session_) {
            fail(call, LeaseFailure::HeldElsewhere);
        } else {
            onEvent_(placement::LeaseRenewed{ .call = call });
        }
    });
}

auto LockKeeper::release(std::function<void()> onDone) -> void
{
    store_.destroySession(session_, [onDone = std::move(onDone)](const platform::WriteResult & /*result*/) { onDone(); });
}

auto LockKeeper::fail(CallId call, LeaseFailure failure) -> void
{
    if (failure == LeaseFailure::SessionGone) {
        session_.clear();
    }
    onEvent_(placement::LeaseFailed{ .call = call, .failure = failure });
}

} // namespace auburnspread::placer
