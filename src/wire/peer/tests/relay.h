/// \file
/// A TCP relay between two ends that can lose track of its open connections, as a stateful network device does.

#pragma once

#include "runtime/task/eventloop.h"

#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace auburnspread::peer::testing
{

enum class Direction {
    ToTarget,
    FromTarget,
};

class Relay
{
public:
    Relay(task::EventLoop &loop, std::string target);
    ~Relay();
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    [[nodiscard]] auto address() const -> std::string;

    /// Connections open now silently lose everything sent in this direction, ends included; new ones work.
    auto freezeOpenConnections(Direction direction) -> void;

private:
    struct Connection;

    auto accept(int descriptor) -> void;

    task::EventLoop &loop_;
    std::string target_;
    evconnlistener *listener_;
    std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace auburnspread::peer::testing
