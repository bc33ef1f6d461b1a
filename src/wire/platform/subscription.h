/// \file
/// Follows a key, the keys under a prefix or the VM list by one waiting call at a time.

#pragma once

#include "wire/platform/backoff.h"
#include "wire/platform/store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace auburnspread::platform
{

struct SubscriptionOptions {
    Duration wait = std::chrono::seconds(30); ///< of one call while nothing changes
    BackoffOptions backoff;                   ///< its least pause also bounds how often changes are fetched
};

/// Follows a state that has an index: Snapshot or VmList.
template <typename State>
class Subscription
{
public:
    using Result = std::variant<State, Failure>;
    using Ask = std::function<Call(const Waiting &waiting, std::function<void(Result)> onAnswer)>;
    using OnState = std::function<void(const State &state)>;

    Subscription(task::EventLoop &loop, Store &store, SubscriptionOptions options, Ask ask, OnState onState)
        : loop_(loop)
        , store_(store)
        , options_(options)
        , backoff_(options.backoff)
        , ask_(std::move(ask))
        , onState_(std::move(onState))
    {
        askNow();
    }

    /// \p store must still live. Not to be called from within onState.
    ~Subscription()
    {
        if (call_) {
            store_.cancel(*call_);
        }
    }
    Subscription(const Subscription &) = delete;
    auto operator=(const Subscription &) -> Subscription & = delete;

    /// When the service last answered; nothing if it never did. Tells how old the state may be.
    [[nodiscard]] auto lastAnswer() const -> std::optional<TimePoint>
    {
        return lastAnswer_;
    }

    /// Why the last call failed; nothing while calls succeed.
    [[nodiscard]] auto lastFailure() const -> const std::optional<Failure> &
    {
        return lastFailure_;
    }

private:
    auto askNow() -> void
    {
        askedAt_ = task::monotonicNow();
        call_ = ask_({ .index = index_.value_or(0), .wait = options_.wait }, [this](const Result &result) { takeAnswer(result); });
    }

    auto takeAnswer(const Result &result) -> void
    {
        call_.reset();
        if (const auto *failure = std::get_if<Failure>(&result)) {
            lastFailure_ = *failure;
            askAfter(backoff_.next());
            return;
        }
        lastAnswer_ = task::monotonicNow();
        lastFailure_.reset();
        backoff_.reset();
        takeState(std::get<State>(result));
    }

    // An index that went back belongs to a service that lost its state: following it from there could wait forever.
    auto takeState(const State &state) -> void
    {
        const auto isChanged = !index_ || state.index != *index_ || state.index == 0;
        const auto wentBack = index_ && state.index < *index_;
        index_ = wentBack ? 0 : state.index;
        const auto earliest = askedAt_ + (state.index == 0 ? options_.wait : options_.backoff.least);
        askAfter(earliest - task::monotonicNow());
        if (isChanged) {
            onState_(state);
        }
    }

    auto askAfter(Duration pause) -> void
    {
        pause_ = loop_.after(std::max(pause, Duration(0)), [this]() { askNow(); });
    }

    task::EventLoop &loop_;
    Store &store_;
    SubscriptionOptions options_;
    Backoff backoff_;
    Ask ask_;
    OnState onState_;
    std::optional<std::uint64_t> index_;
    std::optional<Call> call_;
    std::optional<TimePoint> lastAnswer_;
    std::optional<Failure> lastFailure_;
    TimePoint askedAt_;
    task::Watch pause_;
};

using KeySubscription = std::unique_ptr<Subscription<Snapshot>>;
using VmSubscription = std::unique_ptr<Subscription<VmList>>;

/// Calls \p onState with the first state and after every change; changes in quick succession may be seen as one.
auto subscribeToKey(task::EventLoop &loop, Store &store, const std::string &key, const SubscriptionOptions &options, Subscription<Snapshot>::OnState onState)
    -> KeySubscription;
auto subscribeToPrefix(task::EventLoop &loop,
                       Store &store,
                       const std::string &prefix,
                       const SubscriptionOptions &options,
                       Subscription<Snapshot>::OnState onState) -> KeySubscription;
auto subscribeToVms(task::EventLoop &loop, Store &store, const SubscriptionOptions &options, Subscription<VmList>::OnState onState) -> VmSubscription;

} // namespace auburnspread::platform
