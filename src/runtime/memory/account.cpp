#include "runtime/memory/account.h"

#include "runtime/logging/logging.h"
#include "runtime/memory/allocator.h"

#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnspread::memory
{

namespace
{

/// While the account is under pressure.
constexpr Duration ReviewInterval = std::chrono::milliseconds(50);
/// How long the pressure is over before free memory goes back to the kernel, as that takes time.
constexpr Duration CalmBeforeReturn = std::chrono::seconds(1);
/// The rest is for the process's own state, the allocator's overhead and what the kernel holds unread.
constexpr double HeldPart = 0.25;

} // namespace

namespace detail
{

struct Entry {
    Holding holding;
    Connection connection;
};

struct State {
    State(task::EventLoop &eventLoop, const Limits &accountLimits)
        : loop(eventLoop)
        , limits(accountLimits)
    {
    }

    auto set(Entry &entry, std::size_t bytes) -> void;
    auto reviewAfterThisEvent() -> void;
    auto reviewNow() -> void;
    auto apply(const Decision &decision) -> void;
    auto logClosed(const Entry &entry, CloseCause cause) const -> void;

    task::EventLoop &loop;
    Limits limits;
    std::size_t total = 0;
    std::uint64_t lastId = 0;
    std::uint64_t pauses = 0;
    std::array<std::uint64_t, CloseCauseNames.size()> closed{};
    std::unordered_map<HoldingId, Entry *> entries;
    bool isReviewing = false; ///< reviews go on until the pressure is over
    bool isDue = false;       ///< a review follows the event that is being handled, or is under way
    task::Watch timer;
};

auto State::set(Entry &entry, std::size_t bytes) -> void
{
    total += bytes - entry.holding.bytes;
    entry.holding.bytes = bytes;
    if (!isReviewing && isUnderPressure(total, limits)) {
        isReviewing = true;
        reviewAfterThisEvent();
    } else if (!isDue && total > limits.bytes) {
        reviewAfterThisEvent(); // many connections may grow before the next regular review
    }
}

auto State::reviewAfterThisEvent() -> void
{
    isDue = true;
    timer = loop.afterThisEvent([this]() { reviewNow(); });
}

auto State::reviewNow() -> void
{
    isDue = true; // connections that are closed below may change what others hold
    std::vector<Holding> holdings;
    holdings.reserve(entries.size());
    for (const auto &[id, entry] : entries) {
        holdings.push_back(entry->holding);
    }
    for (const auto &decision : review(holdings, limits, task::monotonicNow())) {
        apply(decision);
    }
    isDue = false;
    if (isUnderPressure(total, limits)) {
        timer = loop.after(ReviewInterval, [this]() { reviewNow(); });
        return;
    }
    isReviewing = false;
    timer = loop.after(CalmBeforeReturn, returnFreeMemory);
}

/// The connection may be gone, as closing one can end others.
auto State::apply(const Decision &decision) -> void
{
    const auto found = entries.find(decision.id);
    if (found == entries.end()) {
        return;
    }
    auto &entry = *found->second;
    if (decision.action != Action::Close) {
        const auto isPaused = decision.action == Action::Pause;
        entry.holding.pausedAt = isPaused ? std::optional(task::monotonicNow()) : std::nullopt;
        pauses += isPaused ? 1 : 0;
        entry.connection.setPaused(isPaused);
        return;
    }
    logClosed(entry, decision.cause);
    ++closed.at(static_cast<std::size_t>(decision.cause));
    const auto close = entry.connection.close; // ends the entry
    close(decision.cause);
}

auto State::logClosed(const Entry &entry, CloseCause cause) const -> void
{
    const auto &holding = entry.holding;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(task::monotonicNow() - holding.since);
    logging::event(logging::Level::Warning,
                   "connection-closed-for-memory",
                   { { "peer", entry.connection.describe() },
                     { "reason", findName(CloseCauseNames, cause) },
                     { "purpose", findName(PurposeNames, holding.purpose) },
                     { "held_bytes", holding.bytes },
                     { "moved_bytes", holding.moved },
                     { "age_ms", age.count() },
                     { "total_bytes", total },
                     { "limit_bytes", limits.bytes } });
}

} // namespace detail

Share::Share() = default;

Share::~Share()
{
    if (entry_) {
        state_->total -= entry_->holding.bytes;
        state_->entries.erase(entry_->holding.id);
    }
}

Share::Share(Share &&other) noexcept = default;

auto Share::operator=(Share &&other) noexcept -> Share &
{
    std::swap(state_, other.state_);
    std::swap(entry_, other.entry_);
    return *this;
}

auto Share::begin(Purpose purpose) -> void
{
    auto &holding = entry_->holding;
    holding.purpose = purpose;
    holding.since = task::monotonicNow();
    holding.moved = 0;
    holding.mayGrowBy = 0;
    holding.pausedAt.reset();
}

auto Share::hold(std::size_t bytes, std::size_t mayGrowBy) -> void
{
    entry_->holding.mayGrowBy = mayGrowBy;
    state_->set(*entry_, bytes);
}

auto Share::move(std::size_t bytes) -> void
{
    entry_->holding.moved += bytes;
}

Account::Account(task::EventLoop &loop, const Limits &limits)
    : state_(std::make_shared<detail::State>(loop, limits))
{
}

Account::~Account()
{
    state_->timer = {}; // the state lives on for shares that end later
}

auto Account::open(Connection connection) -> Share
{
    Share share;
    share.state_ = state_;
    share.entry_ = std::make_unique<detail::Entry>();
    share.entry_->holding.id = HoldingId{ ++state_->lastId };
    share.entry_->connection = std::move(connection);
    state_->entries[share.entry_->holding.id] = share.entry_.get();
    return share;
}

auto Account::limits() const -> const Limits &
{
    return state_->limits;
}

auto Account::heldBytes() const -> std::size_t
{
    return state_->total;
}

auto Account::closed(CloseCause cause) const -> std::uint64_t
{
    return state_->closed.at(static_cast<std::size_t>(cause));
}

auto Account::pauses() const -> std::uint64_t
{
    return state_->pauses;
}

auto limitsOf(std::size_t vmBytes) -> Limits
{
    return { .bytes = static_cast<std::size_t>(HeldPart * static_cast<double>(vmBytes)) };
}

} // namespace auburnspread::memory
