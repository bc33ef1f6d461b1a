/// \file
/// Stops accepting connections while there is no room for them, or no descriptor.

#pragma once

#include "runtime/task/eventloop.h"

#include <cstdint>
#include <functional>

struct evconnlistener;

namespace auburnspread::http
{

/// A listener without a descriptor left would be readable all the time, and its loop would never wait.
class AcceptPause
{
public:
    /// \p makeRoom closes a connection that can be spared, and returns whether there was one.
    AcceptPause(task::EventLoop &loop, std::function<bool()> makeRoom);
    ~AcceptPause();
    AcceptPause(const AcceptPause &) = delete;
    auto operator=(const AcceptPause &) -> AcceptPause & = delete;

    /// \p listener must be released, by this call with nullptr, before it is freed.
    auto watch(evconnlistener *listener) -> void;
    /// Accepts nothing for a moment. Does nothing during a pause.
    auto pause() -> void;
    /// Number of pauses since the start.
    [[nodiscard]] auto count() const -> std::uint64_t;

private:
    static auto handleError(evconnlistener *listener, void *context) -> void;

    task::EventLoop &loop_;
    std::function<bool()> makeRoom_;
    evconnlistener *listener_ = nullptr;
    bool isPaused_ = false;
    std::uint64_t count_ = 0;
    task::Watch end_;
};

} // namespace auburnspread::http
