#include "standins/testing/narrowlink.h"

#include "runtime/net/endpoint.h"
#include "standins/testing/relayparts.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <map>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace auburnspread::standins
{

namespace
{

/// What passes in pieces must not wait for the other end's acknowledgements.
auto sendAtOnce(evutil_socket_t descriptor) -> void
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

class NarrowLink::Impl
{
public:
    Impl(task::EventLoop &eventLoop, const std::string &targetAddress, LinkOptions linkOptions);

    struct Pair {
        Impl *link = nullptr;
        std::uint64_t number = 0;
        BuffereventPointer asker;
        BuffereventPointer target;
        std::size_t room = 0; ///< bytes of the current answer that may pass now
        task::Watch refill;
    };

    auto accept(evutil_socket_t descriptor) -> void;
    auto passQuestion(Pair &pair) const -> void;
    auto passAnswer(Pair &pair) -> void;
    auto end(std::uint64_t number) -> void;

    task::EventLoop &loop;
    net::SocketAddress target;
    LinkOptions options;
    LoopbackListener listener;
    std::size_t cutOff = 0;
    std::size_t passed = 0;
    std::uint64_t lastPair = 0;
    std::map<std::uint64_t, std::unique_ptr<Pair>> pairs;
};

NarrowLink::Impl::Impl(task::EventLoop &eventLoop, const std::string &targetAddress, LinkOptions linkOptions)
    : loop(eventLoop)
    , target(net::toSocketAddress(net::parseEndpoint(targetAddress).value()))
    , options(linkOptions)
    , listener(eventLoop, [this](evutil_socket_t descriptor) { accept(descriptor); })
{
}

auto NarrowLink::Impl::accept(evutil_socket_t descriptor) -> void
{
    sendAtOnce(descriptor);
    auto pair = std::make_unique<Pair>();
    pair->link = this;
    pair->number = ++lastPair;
    pair->asker.reset(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    pair->target.reset(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    const auto onQuestion = [](bufferevent * /*end*/, void *context) {
        const auto &each = *static_cast<Pair *>(context);
        each.link->passQuestion(*static_cast<Pair *>(context));
    };
    const auto onAnswer = [](bufferevent * /*end*/, void *context) {
        auto &each = *static_cast<Pair *>(context);
        each.link->passAnswer(each);
    };
    const auto onEvent = [](bufferevent * /*end*/, short what, void *context) {
        const auto &each = *static_cast<Pair *>(context);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            each.link->end(each.number);
        }
    };
    bufferevent_setcb(pair->asker.get(), onQuestion, nullptr, onEvent, pair.get());
    bufferevent_setcb(pair->target.get(), onAnswer, nullptr, onEvent, pair.get());
    bufferevent_enable(pair->asker.get(), EV_READ);
    bufferevent_enable(pair->target.get(), EV_READ);
    bufferevent_socket_connect(pair->target.get(), target.get(), static_cast<int>(target.size));
    pairs.emplace(pair->number, std::move(pair));
}

auto NarrowLink::Impl::passQuestion(Pair &pair) const -> void
{
    pair.room = options.bytes;
    bufferevent_write_buffer(pair.target.get(), bufferevent_get_input(pair.asker.get()));
}

auto NarrowLink::Impl::passAnswer(Pair &pair) -> void
{
    auto *waiting = bufferevent_get_input(pair.target.get());
    const auto now = std::min(pair.room, evbuffer_get_length(waiting));
    evbuffer_remove_buffer(waiting, bufferevent_get_output(pair.asker.get()), now);
    pair.room -= now;
    passed += now;
    if (options.pause && evbuffer_get_length(waiting) > 0) {
        pair.refill = loop.after(*options.pause, [this, &pair]() {
            pair.room = options.bytes;
            passAnswer(pair);
        });
    }
}

auto NarrowLink::Impl::end(std::uint64_t number) -> void
{
    const auto pair = pairs.extract(number);
    const auto isWhole = evbuffer_get_length(bufferevent_get_input(pair.mapped()->target.get())) == 0;
    cutOff += isWhole ? 0 : 1;
}

NarrowLink::NarrowLink(task::EventLoop &loop, const std::string &target, LinkOptions options)
    : impl_(std::make_unique<Impl>(loop, target, options))
{
}

NarrowLink::~NarrowLink() = default;

auto NarrowLink::address() const -> const std::string &
{
    return impl_->listener.address();
}

auto NarrowLink::cutOff() const -> std::size_t
{
    return impl_->cutOff;
}

auto NarrowLink::passed() const -> std::size_t
{
    return impl_->passed;
}

} // namespace auburnspread::standins
