#include "wire/http/acceptpause.h"

#include <event2/listener.h>

#include <unordered_map>
#include <utility>

namespace auburnspread::http
{

namespace
{

constexpr Duration PauseLength = std::chrono::milliseconds(50);

/// The library passes its own context to the error callback, so the pause is found by the listener.
auto pauses() -> std::unordered_map<evconnlistener *, AcceptPause *> &
{
    thread_local std::unordered_map<evconnlistener *, AcceptPause *> all;
    return all;
}

} // namespace

AcceptPause::AcceptPause(task::EventLoop &loop, std::function<bool()> makeRoom)
    : loop_(loop)
    , makeRoom_(std::move(makeRoom))
{
}

AcceptPause::~AcceptPause()
{
    watch(nullptr);
}

auto AcceptPause::watch(evconnlistener *listener) -> void
{
    end_ = {};
    isPaused_ = false;
    pauses().erase(std::exchange(listener_, listener));
    if (listener != nullptr) {
        pauses()[listener] = this;
        evconnlistener_set_error_cb(listener, handleError);
    }
}

auto AcceptPause::handleError(evconnlistener *listener, void * /*context*/) -> void
{
    const auto found = pauses().find(listener);
    if (found != pauses().end() && !found->second->makeRoom_()) {
        found->second->pause();
    }
}

auto AcceptPause::pause() -> void
{
    if (listener_ == nullptr || std::exchange(isPaused_, true)) {
        return;
    }
    ++count_;
    evconnlistener_disable(listener_);
    end_ = loop_.after(PauseLength, [this]() {
        isPaused_ = false;
        evconnlistener_enable(listener_);
    });
}

auto AcceptPause::count() const -> std::uint64_t
{
    return count_;
}

} // namespace auburnspread::http
