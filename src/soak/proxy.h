/// \file
/// A loopback proxy between two processes, which harms the connections that pass through it on command.

#pragma once

#include "core/base/nametable.h"
#include "core/base/time.h"
#include "runtime/task/eventloop.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>

struct evconnlistener;

namespace auburnspread::soak
{

enum class PathFault {
    None,
    Delayed,  ///< every byte arrives later
    Reset,    ///< open connections are reset, new ones as soon as they stand
    Silenced, ///< open connections go silent for good; new ones work
    Cut,      ///< nothing passes; what was held up arrives when the fault ends
    CutThere, ///< as Cut, on the way to the target alone
    CutBack,  ///< as Cut, on the way back alone
};

constexpr auto PathFaults = std::to_array<NamedValue<PathFault>>({
    { PathFault::None, "none" },
    { PathFault::Delayed, "delayed" },
    { PathFault::Reset, "reset" },
    { PathFault::Silenced, "silenced" },
    { PathFault::Cut, "cut" },
    { PathFault::CutThere, "cut-there" },
    { PathFault::CutBack, "cut-back" },
});

/// Time by which PathFault::Delayed holds bytes up: some hundred times a normal way, below every timeout.
constexpr Duration PathDelay = std::chrono::milliseconds(150);

class Proxy
{
public:
    /// Passes connections on to \p target. \throws std::runtime_error if it finds no address to listen at.
    Proxy(task::EventLoop &loop, const std::string &target);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    auto operator=(const Proxy &) -> Proxy & = delete;

    [[nodiscard]] auto address() const -> const std::string &;
    auto setFault(PathFault fault) -> void;
    /// Harms only the connections that \p process has opened, unless all are harmed. Only Reset, Cut and its variants.
    auto setFaultOf(pid_t process, PathFault fault) -> void;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace auburnspread::soak
