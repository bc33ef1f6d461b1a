#include "soak/proxy.h"

#include "runtime/net/endpoint.h"
#include "soak/socketowner.h"
#include "standins/testing/relayparts.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>

namespace auburnspread::soak
{

namespace
{

/// Closing then sends a reset in place of an orderly end.
auto makeReset(bufferevent *end) -> void
{
    const linger immediately{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
}

auto peerPortOf(bufferevent *end) -> std::uint16_t
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getpeername(bufferevent_getfd(end), reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

class Proxy::Impl
{
public:
    Impl(task::EventLoop &eventLoop, const std::string &targetAddress);

    /// One connection, from its caller to the target.
    struct Pair {
        Impl *proxy = nullptr;
        std::uint64_t number = 0;
        standins::BuffereventPointer caller;
        standins::BuffereventPointer target;
        PathFault ownFault = PathFault::None; ///< of the process that opened it
        bool forgotten = false;               ///< silent for good
        std::deque<task::Watch> delayed;      ///< bytes that are held up, in the order of their arrival
        bool ending = false;                  ///< one end has closed; the pair ends when the other has got everything
    };

    auto accept(evutil_socket_t descriptor) -> void;
    auto pass(Pair &pair, bufferevent *from) -> void;
    auto deliver(std::uint64_t number, bool goesToTarget, const std::string &bytes) -> void;
    static auto write(Pair &pair, bool goesToTarget, const std::string &bytes) -> void;
    auto endIfDone(Pair &pair) -> void;
    auto end(Pair &pair, bufferevent *ended, bool isReset) -> void;
    template <typename Condition>
    auto resetIf(Condition isWanted) -> void;
    auto listen(Pair &pair) const -> void;
    [[nodiscard]] auto faultOf(const Pair &pair) const -> PathFault;
    auto findOwnFaults(const std::vector<Pair *> &wanted) const -> void;

    task::EventLoop &loop;
    net::SocketAddress target;
    standins::LoopbackListener listener;
    PathFault fault = PathFault::None;
    std::map<pid_t, PathFault> processFaults;
    std::uint64_t lastPair = 0;
    std::map<std::uint64_t, std::unique_ptr<Pair>> pairs;
};

Proxy::Impl::Impl(task::EventLoop &eventLoop, const std::string &targetAddress)
    : loop(eventLoop)
    , target(net::toSocketAddress(net::parseEndpoint(targetAddress).value()))
    , listener(eventLoop, [this](evutil_socket_t descriptor) { accept(descriptor); })
{
}

auto Proxy::Impl::accept(evutil_socket_t descriptor) -> void
{
    auto pair = std::make_unique<Pair>();
    pair->proxy = this;
    pair->number = ++lastPair;
    pair->caller.reset(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    findOwnFaults({ pair.get() });
    if (faultOf(*pair) == PathFault::Reset) {
        makeReset(pair->caller.get());
        return;
    }
    pair->target.reset(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    const auto onBytes = [](bufferevent *end, void *context) {
        auto &each = *static_cast<Pair *>(context);
        each.proxy->pass(each, end);
    };
    const auto onWritten = [](bufferevent * /*end*/, void *context) {
        auto &each = *static_cast<Pair *>(context);
        each.proxy->endIfDone(each);
    };
    const auto onEvent = [](bufferevent *end, short what, void *context) {
        auto &each = *static_cast<Pair *>(context);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            each.proxy->end(each, end, (what & BEV_EVENT_ERROR) != 0);
        }
    };
    bufferevent_setcb(pair->caller.get(), onBytes, onWritten, onEvent, pair.get());
    bufferevent_setcb(pair->target.get(), onBytes, onWritten, onEvent, pair.get());
    listen(*pair);
    auto &kept = *pairs.emplace(pair->number, std::move(pair)).first->second;
    bufferevent_socket_connect(kept.target.get(), target.get(), static_cast<int>(target.size));
}

/// Reads from an end only if its bytes may pass; what is not read waits in the kernel as it would behind a partition.
auto Proxy::Impl::listen(Pair &pair) const -> void
{
    const auto set
        = [&pair](bufferevent *end, bool passes) { passes && !pair.forgotten ? bufferevent_enable(end, EV_READ) : bufferevent_disable(end, EV_READ); };
    const auto current = faultOf(pair);
    set(pair.caller.get(), current != PathFault::Cut && current != PathFault::CutThere);
    set(pair.target.get(), current != PathFault::Cut && current != PathFault::CutBack);
}

auto Proxy::Impl::faultOf(const Pair &pair) const -> PathFault
{
    return fault == PathFault::None ? pair.ownFault : fault;
}

auto Proxy::Impl::findOwnFaults(const std::vector<Pair *> &wanted) const -> void
{
    for (auto *pair : wanted) {
        pair->ownFault = PathFault::None;
    }
    for (const auto &[process, ownFault] : processFaults) {
        const auto ports = localPortsOf(process);
        for (auto *pair : wanted) {
            pair->ownFault = ports.contains(peerPortOf(pair->caller.get())) ? ownFault : pair->ownFault;
        }
    }
}

auto Proxy::Impl::pass(Pair &pair, bufferevent *from) -> void
{
    auto *input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const auto goesToTarget = from == pair.caller.get();
    if (fault != PathFault::Delayed && pair.delayed.empty()) {
        write(pair, goesToTarget, bytes);
        return;
    }
    // timers of one length end in the order in which they began, so the bytes keep theirs
    pair.delayed.push_back(loop.after(PathDelay, [this, number = pair.number, goesToTarget, bytes]() { deliver(number, goesToTarget, bytes); }));
}

auto Proxy::Impl::deliver(std::uint64_t number, bool goesToTarget, const std::string &bytes) -> void
{
    const auto found = pairs.find(number);
    if (found == pairs.end()) {
        return;
    }
    auto &pair = *found->second;
    pair.delayed.pop_front();
    write(pair, goesToTarget, bytes);
    endIfDone(pair);
}

auto Proxy::Impl::write(Pair &pair, bool goesToTarget, const std::string &bytes) -> void
{
    bufferevent_write(goesToTarget ? pair.target.get() : pair.caller.get(), bytes.data(), bytes.size());
}

auto Proxy::Impl::end(Pair &pair, bufferevent *ended, bool isReset) -> void
{
    if (isReset) {
        makeReset(ended == pair.caller.get() ? pair.target.get() : pair.caller.get());
        pairs.erase(pair.number);
        return;
    }
    bufferevent_disable(ended, EV_READ);
    pair.ending = true;
    endIfDone(pair);
}

auto Proxy::Impl::endIfDone(Pair &pair) -> void
{
    const auto isEmpty = [](const standins::BuffereventPointer &each) { return evbuffer_get_length(bufferevent_get_output(each.get())) == 0; };
    if (pair.ending && pair.delayed.empty() && isEmpty(pair.caller) && isEmpty(pair.target)) {
        pairs.erase(pair.number);
    }
}

template <typename Condition>
auto Proxy::Impl::resetIf(Condition isWanted) -> void
{
    std::erase_if(pairs, [&](const auto &item) {
        const auto &pair = *item.second;
        if (isWanted(pair)) {
            makeReset(pair.caller.get());
            makeReset(pair.target.get());
        }
        return isWanted(pair);
    });
}

Proxy::Proxy(task::EventLoop &loop, const std::string &target)
    : impl_(std::make_unique<Impl>(loop, target))
{
}

Proxy::~Proxy() = default;

auto Proxy::address() const -> const std::string &
{
    return impl_->listener.address();
}

auto Proxy::setFault(PathFault fault) -> void
{
    impl_->fault = fault;
    if (fault == PathFault::Reset) {
        impl_->resetIf([](const Impl::Pair & /*pair*/) { return true; });
    }
    for (const auto &[number, pair] : impl_->pairs) {
        pair->forgotten = pair->forgotten || fault == PathFault::Silenced;
        impl_->listen(*pair);
    }
}

auto Proxy::setFaultOf(pid_t process, PathFault fault) -> void
{
    if (fault == PathFault::None) {
        impl_->processFaults.erase(process);
    } else {
        impl_->processFaults[process] = fault;
    }
    std::vector<Impl::Pair *> all;
    std::transform(impl_->pairs.begin(), impl_->pairs.end(), std::back_inserter(all), [](const auto &item) { return item.second.get(); });
    impl_->findOwnFaults(all);
    for (auto *pair : all) {
        impl_->listen(*pair);
    }
    if (fault == PathFault::Reset) {
        impl_->resetIf([](const Impl::Pair &pair) { return pair.ownFault == PathFault::Reset; });
    }
}

} // namespace auburnspread::soak
