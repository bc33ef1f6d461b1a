#include "wire/peer/internal/sendqueue.h"

#include <algorithm>
#include <utility>

namespace auburnspread::peer::detail
{

auto isDroppable(MessageType type) -> bool
{
    return type != MessageType::Quarantine && type != MessageType::Leaving && type != MessageType::Names;
}

SendQueue::SendQueue(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{
}

auto SendQueue::push(OutgoingMessage message) -> std::vector<OutgoingMessage>
{
    bytes_ += message.bytes->size();
    messages_.push_back(std::move(message));
    std::vector<OutgoingMessage> dropped;
    dropOldest(dropped, [](MessageType type) { return type == MessageType::Report || type == MessageType::IndexedReport; });
    dropOldest(dropped, isDroppable);
    return dropped;
}

auto SendQueue::pop() -> OutgoingMessage
{
    auto message = std::move(messages_.front());
    messages_.pop_front();
    bytes_ -= message.bytes->size();
    return message;
}

auto SendQueue::isEmpty() const -> bool
{
    return messages_.empty();
}

auto SendQueue::isOverfull() const -> bool
{
    return bytes_ > maxBytes_;
}

template <typename Matches>
auto SendQueue::dropOldest(std::vector<OutgoingMessage> &dropped, Matches matches) -> void
{
    auto oldest = messages_.begin();
    while (bytes_ > maxBytes_) {
        oldest = std::find_if(oldest, messages_.end(), [&](const OutgoingMessage &message) { return matches(message.type); });
        if (oldest == messages_.end()) {
            return;
        }
        bytes_ -= oldest->bytes->size();
        dropped.push_back(std::move(*oldest));
        oldest = messages_.erase(oldest);
    }
}

} // namespace auburnspread::peer::detail
