/// \file
/// What waits for a slow peer.

#pragma once

#include "wire/peer/messagetype.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::peer::detail
{

/// An encoded message, shared by the queues of all links that it goes to.
struct OutgoingMessage {
    MessageType type{};
    std::shared_ptr<const std::string> bytes;
};

/// Whether a message may be lost to a slow peer: a later one replaces it or the peer asks again.
auto isDroppable(MessageType type) -> bool;

/// First in, first out, bounded in bytes. Beyond the bound the oldest reports go first, then the oldest other
/// droppable messages; quarantine and leaving notices stay, since nothing repeats them, and so do the names that later
/// reports refer to.
class SendQueue
{
public:
    explicit SendQueue(std::size_t maxBytes);

    /// The messages dropped to make room, possibly this one.
    auto push(OutgoingMessage message) -> std::vector<OutgoingMessage>;
    auto pop() -> OutgoingMessage;

    [[nodiscard]] auto begin() const
    {
        return messages_.begin();
    }
    [[nodiscard]] auto end() const
    {
        return messages_.end();
    }
    [[nodiscard]] auto isEmpty() const -> bool;
    /// Over the bound with nothing left to drop.
    [[nodiscard]] auto isOverfull() const -> bool;

private:
    template <typename Matches>
    auto dropOldest(std::vector<OutgoingMessage> &dropped, Matches matches) -> void;

    std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    std::deque<OutgoingMessage> messages_;
};

} // namespace auburnspread::peer::detail
