#include "core/leadership/tests/dutyworld.h"

#include "core/leadership/leadership.h"
#include "core/usage/reporter.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>

namespace auburnspread::leadership::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr TimePoint Start(1h);
constexpr Duration Length = 60s;
constexpr Duration TickInterval = 100ms;
constexpr Duration ClientTimeout = 600ms;
constexpr Duration LeaseTime = 3s;
constexpr std::size_t Entries = 3;

/// The platform's store: two keys, leases, conditions.
class Store
{
public:
    struct Item {
        std::uint64_t revision = 0; ///< 0: the key does not exist
        std::uint64_t lease = 0;
    };

    auto expire(TimePoint now) -> void
    {
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (now < lease->second) {
                ++lease;
                continue;
            }
            dropLease(lease->first);
            lease = leases_.erase(lease);
        }
    }
    auto takeLease(TimePoint now, Duration lifetime) -> std::uint64_t
    {
        leases_[++lastLease_] = now + lifetime;
        return lastLease_;
    }
    auto renew(std::uint64_t lease, TimePoint now) -> bool
    {
        const auto found = leases_.find(lease);
        if (found == leases_.end()) {
            return false;
        }
        found->second = now + LeaseTime;
        return true;
    }
    auto end(std::uint64_t lease) -> void
    {
        leases_.erase(lease);
        dropLease(lease);
    }
    /// \return the revision of the write; 0: a condition did not hold, or the lease has ended
    auto writeClaim(const Claim &claim, std::uint64_t lease) -> std::uint64_t
    {
        if (leader.revision != 0 || !leases_.contains(lease)) {
            return 0;
        }
        leader = { .revision = ++revision, .lease = lease };
        claimed = claim;
        return revision;
    }
    auto writeRecord(const usage::WriteRecord &write) -> std::uint64_t
    {
        if (record.revision != write.expectedRevision || leader.revision != write.token) {
            return 0;
        }
        record.revision = ++revision;
        recorded = write.record;
        return revision;
    }

    std::uint64_t revision = 100;
    Item leader;
    Claim claimed;
    Item record;
    usage::Record recorded;

private:
    auto dropLease(std::uint64_t lease) -> void
    {
        if (leader.revision != 0 && leader.lease == lease) {
            revision += 1;
            leader = {};
        }
    }

    std::map<std::uint64_t, TimePoint> leases_;
    std::uint64_t lastLease_ = 0;
};

struct Accepted {
    std::size_t entry = 0;
    std::uint64_t token = 0;
    TimePoint at;
};

class World
{
public:
    explicit World(const RunOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::size_t i = 0; i < Entries; ++i) {
            entries_.push_back({});
            restart(i);
            scheduleTick(i);
            scheduleTrouble(i);
        }
    }

    auto run() -> RunResult
    {
        while (!queue_.empty() && queue_.top().at < Start + Length) {
            auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            store_.expire(now_);
            next.action();
        }
        return std::move(result_);
    }

private:
    struct Entry {
        std::uint64_t incarnation = 0;
        std::unique_ptr<State> leadership;
        std::unique_ptr<usage::State> reporter;
        TimePoint pausedUntil;
        TimePoint troubledAt; ///< paused or killed last: not in touch for a while
    };
    struct Planned {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        auto operator<(const Planned &other) const -> bool
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    auto draw(std::uint64_t below) -> std::uint64_t
    {
        return random_() % below;
    }
    auto after(Duration delay, std::function<void()> action) -> void
    {
        queue_.push({ now_ + delay, ++lastOrder_, std::move(action) });
    }

    /// Runs when the entry does; never if it has ended by then.
    auto deliver(std::size_t number, std::uint64_t incarnation, Duration delay, std::function<void()> action) -> void
    {
        after(delay, [this, number, incarnation, action = std::move(action)]() {
            auto &entry = entries_.at(number);
            if (entry.incarnation != incarnation) {
                return;
            }
            if (now_ < entry.pausedUntil) {
                deliver(number, incarnation, entry.pausedUntil - now_, action);
                return;
            }
            action();
        });
    }

    auto restart(std::size_t number) -> void
    {
        auto &entry = entries_.at(number);
        entry.incarnation += 1;
        const auto told = options_.mistake == Mistake::SameIncarnation ? 1 : entry.incarnation;
        const auto rest = options_.mistake == Mistake::NoRest ? 0s : 2 * LeaseTime;
        entry.leadership = std::make_unique<State>(makeState({ .entry = nameOf(number), .incarnation = told, .lifetime = LeaseTime, .rest = rest }));
        entry.reporter = std::make_unique<usage::State>(usage::makeState({ .windowLength = 5s }));
        deliver(number, entry.incarnation, 10ms * static_cast<std::int64_t>(draw(50)), [this, number]() {
            apply(number, EligibilityChanged{ .isEligible = true });
        });
    }

    [[nodiscard]] static auto nameOf(std::size_t number) -> std::string
    {
        return "e" + std::to_string(number);
    }
    [[nodiscard]] auto trueTime() const -> usage::TrueTime
    {
        return std::chrono::duration_cast<usage::TrueTime>(now_.time_since_epoch());
    }

    auto scheduleTick(std::size_t number) -> void
    {
        after(TickInterval, [this, number]() {
            auto &entry = entries_.at(number);
            if (now_ >= entry.pausedUntil) {
                tick(number, entry);
            }
            scheduleTick(number);
        });
    }

    /// Each entry has heard other parts of what was counted.
    auto tick(std::size_t number, Entry &entry) -> void
    {
        apply(number, Tick{});
        const auto current = usage::windowAt(trueTime(), 5s);
        usage::Report report{ .entry = "counter", .incarnation = 1, .current = current };
        for (auto window = current - 2; window <= current; ++window) {
            report.windows[window]["workspace"] = 1 + draw(20);
        }
        usage::noteReport(entry.reporter->ledger, report);
        apply(number, usage::Tick{ .time = trueTime(), .entries = { "counter" } });
    }

    auto scheduleTrouble(std::size_t number) -> void
    {
        after(1s + 1ms * static_cast<std::int64_t>(draw(9000)), [this, number]() {
            auto &entry = entries_.at(number);
            switch (draw(4)) {
            case 0:
                entry.troubledAt = now_;
                restart(number);
                break;
            case 1:
                entry.pausedUntil = now_ + 1ms * static_cast<std::int64_t>(draw(7000));
                entry.troubledAt = entry.pausedUntil;
                break;
            case 2:
                apply(number, EligibilityChanged{ .isEligible = false });
                deliver(number, entry.incarnation, 500ms, [this, number]() { apply(number, EligibilityChanged{ .isEligible = true }); });
                break;
            default:
                awayUntil_ = now_ + 1ms * static_cast<std::int64_t>(draw(5000));
                break;
            }
            scheduleTrouble(number);
        });
    }

    auto apply(std::size_t number, const Event &event) -> void
    {
        auto &entry = entries_.at(number);
        for (const auto &action : step(*entry.leadership, event, now_)) {
            std::visit([this, number](const auto &each) { carryOut(number, each); }, action);
        }
    }
    auto apply(std::size_t number, const usage::Event &event) -> void
    {
        auto &entry = entries_.at(number);
        for (const auto &action : usage::step(*entry.reporter, event, now_)) {
            std::visit([this, number](const auto &each) { carryOut(number, each); }, action);
        }
    }

    /// The call reaches the other side, or not, or late; the answer comes back, or not. A caller that has no answer in time gives it up.
    auto call(std::size_t number, std::function<std::function<void()>()> execute, const std::function<void()> &onUnknown) -> void
    {
        const auto incarnation = entries_.at(number).incarnation;
        const auto answered = std::make_shared<bool>(false);
        deliver(number, incarnation, ClientTimeout, [answered, onUnknown]() {
            if (!std::exchange(*answered, true)) {
                onUnknown();
            }
        });
        const auto fate = draw(20);
        if (fate == 0 || now_ < awayUntil_) {
            return; // lost on the way
        }
        const auto delay = fate == 1 ? 1ms * static_cast<std::int64_t>(draw(6000)) : 1ms * static_cast<std::int64_t>(1 + draw(30));
        after(delay, [this, number, incarnation, answered, execute = std::move(execute), isAnswerLost = draw(20) == 0]() {
            auto answer = execute();
            if (isAnswerLost) {
                return;
            }
            deliver(number, incarnation, 1ms * static_cast<std::int64_t>(1 + draw(30)), [answered, answer = std::move(answer)]() {
                if (!std::exchange(*answered, true)) {
                    answer();
                }
            });
        });
    }

    auto fail(std::size_t number, std::uint64_t call, CallFailure failure) -> void
    {
        apply(number, CallFailed{ .call = call, .failure = failure });
    }

    auto readClaim(std::size_t number, std::uint64_t id) -> std::function<void()>
    {
        ClaimRead read{ .call = id, .storeRevision = store_.revision };
        if (store_.leader.revision != 0) {
            read.claim = store_.claimed;
            read.claimRevision = store_.leader.revision;
        }
        return [this, number, read]() { apply(number, read); };
    }

    auto carryOut(std::size_t number, const ReadClaim &action) -> void
    {
        call(
            number,
            [this, number, id = action.call]() { return readClaim(number, id); },
            [this, number, id = action.call]() { fail(number, id, CallFailure::Unknown); });
    }
    /// A watch that is asked again: the core goes on as after a reading.
    auto carryOut(std::size_t number, const WatchClaim &action) -> void
    {
        const auto incarnation = entries_.at(number).incarnation;
        deliver(number, incarnation, 300ms, [this, number, id = action.call]() { carryOut(number, ReadClaim{ .call = id }); });
    }
    auto carryOut(std::size_t number, const TakeLease &action) -> void
    {
        call(
            number,
            [this, number, action]() {
                const auto lease = store_.takeLease(now_, action.lifetime);
                return [this, number, action, lease]() { apply(number, LeaseTaken{ .call = action.call, .lease = lease, .lifetime = action.lifetime }); };
            },
            [this, number, id = action.call]() { fail(number, id, CallFailure::Unknown); });
    }
    auto carryOut(std::size_t number, const WriteClaim &action) -> void
    {
        call(
            number,
            [this, number, action]() {
                const auto revision = store_.writeClaim(action.claim, action.lease);
                return [this, number, action, revision]() {
                    revision == 0 ? fail(number, action.call, CallFailure::Lost) : apply(number, ClaimWritten{ .call = action.call, .revision = revision });
                };
            },
            [this, number, id = action.call]() { fail(number, id, CallFailure::Unknown); });
    }
    auto carryOut(std::size_t number, const RenewLease &action) -> void
    {
        call(
            number,
            [this, number, action]() {
                const auto isRenewed = store_.renew(action.lease, now_);
                return [this, number, action, isRenewed]() {
                    isRenewed ? apply(number, LeaseRenewed{ .call = action.call }) : fail(number, action.call, CallFailure::Lost);
                };
            },
            [this, number, id = action.call]() { fail(number, id, CallFailure::Unknown); });
    }
    auto carryOut(std::size_t number, const EndLease &action) -> void
    {
        call(
            number,
            [this, action]() {
                store_.end(action.lease);
                return []() {};
            },
            []() {});
    }
    auto carryOut(std::size_t number, const TermBegun &action) -> void
    {
        result_.terms += 1;
        apply(number, usage::TermBegun{ .token = action.token });
    }
    auto carryOut(std::size_t number, const TermEnded & /*action*/) -> void
    {
        if (options_.mistake != Mistake::ActsAfterLease) {
            apply(number, usage::TermEnded{});
        }
    }

    auto carryOut(std::size_t number, const usage::ReadRecord &action) -> void
    {
        call(
            number,
            [this, number, id = action.call]() {
                const usage::RecordRead read{ .call = id, .record = store_.recorded, .revision = store_.record.revision };
                return [this, number, read]() { apply(number, read); };
            },
            [this, number, id = action.call]() { apply(number, usage::RecordCallFailed{ .call = id }); });
    }
    auto carryOut(std::size_t number, const usage::WriteRecord &action) -> void
    {
        if (options_.mistake == Mistake::SendsBeforeFixed) {
            for (const auto &[window, counts] : action.record) {
                send(number, { .window = window, .counts = counts, .token = action.token });
            }
        }
        call(
            number,
            [this, number, action]() {
                const auto revision = store_.writeRecord(action);
                return [this, number, action, revision]() {
                    if (revision == 0) {
                        apply(number, usage::RecordCallFailed{ .call = action.call });
                    } else {
                        apply(number, usage::RecordWritten{ .call = action.call, .revision = revision });
                    }
                };
            },
            [this, number, id = action.call]() { apply(number, usage::RecordCallFailed{ .call = id }); });
    }
    /// As the entry does: only while it holds a token at this moment.
    auto carryOut(std::size_t number, const usage::Send &action) -> void
    {
        const auto token = currentToken(*entries_.at(number).leadership, now_);
        if (options_.mistake == Mistake::ActsAfterLease || token == action.token) {
            send(number, action);
        } else {
            apply(number, usage::SendFailed{ .window = action.window });
        }
    }
    auto carryOut(std::size_t /*number*/, const usage::LeftOut & /*action*/) -> void {}

    auto send(std::size_t number, const usage::Send &action) -> void
    {
        call(
            number,
            [this, number, action]() {
                const auto isAccepted = accept(number, action);
                return [this, number, action, isAccepted]() {
                    if (isAccepted) {
                        apply(number, usage::Sent{ .window = action.window });
                        return;
                    }
                    apply(number, usage::SendFailed{ .window = action.window });
                    apply(number, TokenRefused{ .token = action.token });
                };
            },
            [this, number, action]() { apply(number, usage::SendFailed{ .window = action.window }); });
    }

    /// The platform's interface, and what must hold there.
    auto accept(std::size_t number, const usage::Send &action) -> bool
    {
        if (options_.checksTokens && action.token < greatestToken_) {
            return false;
        }
        greatestToken_ = std::max(greatestToken_, action.token);
        result_.accepted += 1;
        const auto [known, isNew] = counted_.try_emplace(action.window, action.counts);
        if (!isNew && known->second != action.counts) {
            result_.violations.emplace_back("two counts for one window");
        }
        const auto [holder, isFirst] = holders_.try_emplace(action.token, number);
        if (!isFirst && holder->second != number) {
            result_.violations.emplace_back("one token, two holders");
        }
        checkOrder({ .entry = number, .token = action.token, .at = now_ });
        return true;
    }

    /// Holders by turns A, B, A within the time of a lease, none of them in trouble.
    auto checkOrder(const Accepted &last) -> void
    {
        static constexpr Duration InTouch = 4s;
        accepted_.push_back(last);
        const auto isCalm = [this](std::size_t entry) { return now_ - entries_.at(entry).troubledAt > InTouch; };
        auto other = std::find_if(accepted_.rbegin(), accepted_.rend(), [&last](const Accepted &each) { return each.entry != last.entry; });
        if (other == accepted_.rend() || !isCalm(last.entry) || !isCalm(other->entry)) {
            return;
        }
        const auto before = std::find_if(other, accepted_.rend(), [&last](const Accepted &each) { return each.entry == last.entry; });
        if (before != accepted_.rend() && last.at - before->at < LeaseTime) {
            result_.violations.emplace_back("holders by turns");
        }
    }

    RunOptions options_;
    std::mt19937_64 random_;
    TimePoint now_ = Start;
    TimePoint awayUntil_; ///< the platform does not answer
    std::vector<Entry> entries_;
    Store store_;
    std::priority_queue<Planned> queue_;
    std::uint64_t lastOrder_ = 0;
    std::uint64_t greatestToken_ = 0;
    std::map<usage::Window, usage::Counts> counted_;
    std::map<std::uint64_t, std::size_t> holders_;
    std::vector<Accepted> accepted_;
    RunResult result_;
};

} // namespace

auto run(const RunOptions &options) -> RunResult
{
    return World(options).run();
}

} // namespace auburnspread::leadership::tests
