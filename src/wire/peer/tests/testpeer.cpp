#include "wire/peer/tests/testpeer.h"

#include <algorithm>

namespace auburnspread::peer::testing
{

namespace
{

constexpr Duration CheckInterval = std::chrono::milliseconds(2);
constexpr Duration GenerousBound = std::chrono::seconds(30);

} // namespace

auto runUntil(task::EventLoop &loop, const std::function<bool()> &condition) -> bool
{
    bool held = false;
    const auto check = loop.every(CheckInterval, [&]() {
        held = held || condition();
        if (held) {
            loop.stop();
        }
    });
    const auto bound = loop.after(GenerousBound, [&]() { loop.stop(); });
    loop.run();
    return held;
}

auto runRounds(task::EventLoop &loop, int count) -> void
{
    int rounds = 0;
    runUntil(loop, [&]() { return ++rounds >= count; });
}

auto makeOptions(const std::string &name) -> LinksOptions
{
    return {
        .name = name,
        .incarnation = 1,
        .listenAddress = "127.0.0.1:0",
        .secret = "a secret of all entries",
        .pingInterval = std::chrono::milliseconds(50),
        .silence = std::chrono::milliseconds(400),
        .handshakeTimeout = std::chrono::seconds(5),
        .firstBackoff = std::chrono::milliseconds(10),
        .longestBackoff = std::chrono::milliseconds(100),
    };
}

TestPeer::TestPeer(task::EventLoop &loop, LinksOptions options)
    : links(loop,
            std::move(options),
            {
                .opened = [this](const std::string &name, std::uint64_t /*incarnation*/, const std::string & /*address*/) { ++opened[name]; },
                .closed = [this](const std::string &name, membership::LinkEnd end) { closed[name].push_back(end); },
                .dialFailed = [this](const std::string &address) { failedDials.push_back(address); },
                .received = [this](const std::string &from, std::uint64_t /*incarnation*/, const Message &message) { received.emplace_back(from, message); },
            })
{
}

auto TestPeer::isLinkedTo(const std::string &name) const -> bool
{
    const auto names = links.linkedNames();
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto TestPeer::countReceived(const std::string &name, MessageType type) const -> std::size_t
{
    const auto count = std::count_if(received.begin(), received.end(), [&](const auto &item) { return item.first == name && typeOf(item.second) == type; });
    return static_cast<std::size_t>(count);
}

auto makeNotice(std::uint64_t number) -> Message
{
    return Quarantine{ { .fingerprint = Fingerprint(number), .mark = routing::QuarantineHeard::Mark::Quarantined } };
}

} // namespace auburnspread::peer::testing
