#include "standins/platform/watchlist.h"

#include <utility>
#include <vector>

namespace auburnspread::standins
{

namespace
{

auto covers(const WatchedKey &watched, std::string_view key) -> bool
{
    return watched.isPrefix ? key.starts_with(watched.key) : key == watched.key;
}

} // namespace

WatchList::WatchList(task::EventLoop &loop)
    : loop_(loop)
{
}

auto WatchList::add(const ExchangePointer &exchange, WatchedKey watched, Duration wait, std::function<void()> answer) -> void
{
    const auto id = ++lastId_;
    exchange->whenClosed([this, id]() { waiting_.erase(id); });
    auto timer = loop_.after(wait, [this, id]() { this->answer(id); });
    waiting_.emplace(id, Waiting{ .watched = std::move(watched), .answer = std::move(answer), .timer = std::move(timer) });
}

auto WatchList::wake(std::string_view key, std::uint64_t index) -> void
{
    std::vector<std::uint64_t> woken;
    for (const auto &[id, entry] : waiting_) {
        if (covers(entry.watched, key) && index > entry.watched.index) {
            woken.push_back(id);
        }
    }
    for (const auto id : woken) {
        answer(id);
    }
}

auto WatchList::size() const -> std::size_t
{
    return waiting_.size();
}

auto WatchList::answer(std::uint64_t id) -> void
{
    const auto entry = waiting_.extract(id);
    if (!entry.empty()) {
        entry.mapped().answer();
    }
}

} // namespace auburnspread::standins
