#include "core/passthrough/tests/world.h"
#include "gateway/leaving.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::gateway;
using namespace auburnspread::passthrough;
using namespace auburnspread::passthrough::tests;

namespace
{

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration WarmUp = std::chrono::seconds(20);
constexpr Duration DrainTime = std::chrono::seconds(8);
/// Callers that still use the entry later than this after the signal must not lose a response that has begun.
constexpr Duration LateAfter = std::chrono::seconds(3);

/// In virtual time: an entry that serves streams, gets the termination signal and exits.
class PlannedRestart
{
public:
    /// Each stream takes between half of \p longest and all of it.
    /// \p warmUp: time from the start of the entry to the signal
    explicit PlannedRestart(Duration longest, Duration warmUp = WarmUp)
        : longest_(longest)
        , warmUp_(warmUp)
    {
        auto servers = makeServers();
        std::for_each(servers.begin(), servers.end(), [](Server &each) { each.slots = 1000; });
        harness_.apply(ServersListed{ .servers = servers, .asOf = harness_.now() });
    }

    auto run(Duration arrivalInterval) -> void
    {
        const auto signalAt = harness_.now() + warmUp_;
        auto drain = beginDrain(signalAt, signalAt, DrainTime);
        auto nextArrival = harness_.now();
        while (true) {
            const auto isLeaving = harness_.now() >= signalAt;
            if (isLeaving) {
                harness_.apply(LeavingStarted{ .lateFrom = cachedAddressesExpireAt(drain), .exitAt = promisesEndAt(drain) });
            }
            if (isLeaving && advanceAndCheckExit(drain)) {
                break;
            }
            for (; nextArrival <= harness_.now(); nextArrival += arrivalInterval) {
                send(isLeaving);
            }
            finishDue();
            harness_.advance(Step);
        }
        lost_
            = static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [signalAt](const Run &run) { return run.startedAt > signalAt + LateAfter; }));
    }

    /// Streams that were accepted late and are cut off by the exit.
    [[nodiscard]] auto lost() const -> std::size_t
    {
        return lost_;
    }
    /// Streams that were accepted after the signal and completed.
    [[nodiscard]] auto servedWhileLeaving() const -> std::size_t
    {
        return servedWhileLeaving_;
    }
    /// Refusals that do not state when to come back.
    [[nodiscard]] auto refusedWithoutDelay() const -> std::size_t
    {
        return refusedWithoutDelay_;
    }

private:
    struct Run {
        AttemptId attempt{};
        TimePoint startedAt;
        TimePoint endsAt;
        bool isWhileLeaving = false;
    };

    auto advanceAndCheckExit(DrainState &drain) -> bool
    {
        switch (advanceDrain(drain, !runs_.empty(), harness_.now())) {
        case DrainStep::KeepServing:
            return false;
        case DrainStep::RefuseNewRequests:
            harness_.apply(ClosingStarted{});
            return false;
        case DrainStep::EndRequests:
            harness_.apply(ExitStarted{});
            return false;
        case DrainStep::Exit:
            return true;
        }
        return true;
    }

    auto send(bool isLeaving) -> void
    {
        const auto actions = harness_.arrive(CheckPath);
        if (const auto sent = find<Send>(actions)) {
            harness_.apply(AttemptStarted{ .attempt = sent->attempt, .isForwarded = true });
            const auto time = longest_ / 2 + Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>((longest_ / 2).count() + 1)));
            runs_.push_back({ .attempt = sent->attempt, .startedAt = harness_.now(), .endsAt = harness_.now() + time, .isWhileLeaving = isLeaving });
        } else if (const auto refused = find<Refuse>(actions)) {
            refusedWithoutDelay_ += refused->retryAfter ? 0 : 1;
        }
    }

    auto finishDue() -> void
    {
        std::erase_if(runs_, [this](const Run &run) {
            const auto isDue = run.endsAt <= harness_.now();
            if (isDue) {
                harness_.apply(AttemptFinished{ .attempt = run.attempt });
                servedWhileLeaving_ += run.isWhileLeaving ? 1 : 0;
            }
            return isDue;
        });
    }

    RouterHarness harness_;
    Duration longest_;
    Duration warmUp_;
    std::vector<Run> runs_;
    std::size_t lost_ = 0;
    std::size_t servedWhileLeaving_ = 0;
    std::size_t refusedWithoutDelay_ = 0;
    std::mt19937_64 random_{ 7 };
};

} // namespace

/// Guards against responses that are cut off by a planned restart: a request that arrives seconds after the termination signal is
/// accepted, although such requests take longer than the time until the exit.
TEST(PlannedRestartTests, noStreamIsAcceptedThatCannotEndBeforeTheExit)
{
    PlannedRestart restart(std::chrono::milliseconds(4500));
    restart.run(std::chrono::milliseconds(100));
    EXPECT_EQ(restart.lost(), 0U);
    EXPECT_GT(restart.servedWhileLeaving(), 0U);
    EXPECT_EQ(restart.refusedWithoutDelay(), 0U);
}

/// The same for streams of any length, any rate of arrivals, and an entry that started any time before.
RC_GTEST_PROP(PlannedRestartTests, noStreamOfAnyLengthIsCutOff, ())
{
    const auto longest = std::chrono::milliseconds(*rc::gen::inRange(100, 7000));
    PlannedRestart restart(longest, std::chrono::milliseconds(*rc::gen::inRange(0, 30'000)));
    restart.run(std::chrono::milliseconds(*rc::gen::inRange(50, 400)));
    RC_ASSERT(restart.lost() == 0U);
    RC_ASSERT(restart.refusedWithoutDelay() == 0U);
    if (longest < DrainTime / 4) {
        RC_ASSERT(restart.servedWhileLeaving() > 0U);
    }
}
