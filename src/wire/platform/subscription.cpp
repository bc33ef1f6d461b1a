#include "wire/platform/subscription.h"

namespace auburnspread::platform
{

namespace
{

auto subscribe(task::EventLoop &loop,
               Store &store,
               const std::string &key,
               bool isPrefix,
               const SubscriptionOptions &options,
               Subscription<Snapshot>::OnState onState) -> KeySubscription
{
    auto ask = [&store, key, isPrefix](const Waiting &waiting, OnRead onAnswer) { return store.wait(key, isPrefix, waiting, std::move(onAnswer)); };
    return std::make_unique<Subscription<Snapshot>>(loop, store, options, std::move(ask), std::move(onState));
}

} // namespace

auto subscribeToKey(task::EventLoop &loop, Store &store, const std::string &key, const SubscriptionOptions &options, Subscription<Snapshot>::OnState onState)
    -> KeySubscription
{
    return subscribe(loop, store, key, false, options, std::move(onState));
}

auto subscribeToPrefix(task::EventLoop &loop,
                       Store &store,
                       const std::string &prefix,
                       const SubscriptionOptions &options,
                       Subscription<Snapshot>::OnState onState) -> KeySubscription
{
    return subscribe(loop, store, prefix, true, options, std::move(onState));
}

auto subscribeToVms(task::EventLoop &loop, Store &store, const SubscriptionOptions &options, Subscription<VmList>::OnState onState) -> VmSubscription
{
    auto ask = [&store](const Waiting &waiting, OnVms onAnswer) { return store.listVms(waiting, std::move(onAnswer)); };
    return std::make_unique<Subscription<VmList>>(loop, store, options, std::move(ask), std::move(onState));
}

} // namespace auburnspread::platform
