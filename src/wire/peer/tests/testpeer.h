/// \file
/// Entries reduced to their links, all on one loop, and a loop that runs until something holds.

#pragma once

#include "runtime/task/eventloop.h"
#include "wire/peer/links.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnspread::peer::testing
{

/// Runs \p loop until \p condition holds; false if it doesn't within a generous time.
auto runUntil(task::EventLoop &loop, const std::function<bool()> &condition) -> bool;

/// Runs \p loop until \p count rounds of timers have passed, for what must not happen.
auto runRounds(task::EventLoop &loop, int count) -> void;

/// Short times, so that tests end soon; none is asserted on.
auto makeOptions(const std::string &name) -> LinksOptions;

/// Links that note what they are told.
struct TestPeer {
    TestPeer(task::EventLoop &loop, LinksOptions options);

    [[nodiscard]] auto isLinkedTo(const std::string &name) const -> bool;
    /// How many messages of this type came from \p name.
    [[nodiscard]] auto countReceived(const std::string &name, MessageType type) const -> std::size_t;

    std::map<std::string, int> opened;
    std::map<std::string, std::vector<membership::LinkEnd>> closed;
    std::vector<std::string> failedDials;
    std::vector<std::pair<std::string, Message>> received;
    Links links;
};

/// A quarantine notice that tells itself apart by its number.
auto makeNotice(std::uint64_t number) -> Message;

} // namespace auburnspread::peer::testing
