#include "core/routing/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace auburnspread;
using namespace auburnspread::routing;

namespace auburnspread::routing
{

static auto showValue(const Command &command, std::ostream &stream) -> void
{
    stream << "{" << static_cast<int>(command.happening) << ", " << command.which << ", " << command.how << "}";
}

} // namespace auburnspread::routing

namespace
{

constexpr int HappeningCount = static_cast<int>(Happening::PeerReports) + 1;
constexpr int WithSilences = static_cast<int>(Happening::FallSilent) + 1;
constexpr int ArrivalsWeight = 6; ///< arrivals come this much more often than any other event, so that queues form

auto genHappening(int count) -> rc::Gen<Happening>
{
    return rc::gen::map(rc::gen::inRange(0, count + ArrivalsWeight),
                        [count](int number) { return number < count ? static_cast<Happening>(number) : Happening::Arrive; });
}

auto genCommands(int count = HappeningCount) -> rc::Gen<std::vector<Command>>
{
    const auto number = rc::gen::inRange<std::uint32_t>(0, 100000);
    return rc::gen::scale(4.0,
                          rc::gen::container<std::vector<Command>>(rc::gen::build<Command>(rc::gen::set(&Command::happening, genHappening(count)),
                                                                                           rc::gen::set(&Command::which, number),
                                                                                           rc::gen::set(&Command::how, number))));
}

auto play(const WorldOptions &options, const std::vector<Command> &commands) -> std::set<Broken>
{
    auto world = makeWorld(options);
    for (const auto &command : commands) {
        happen(world, command);
    }
    wind(world);
    return world.broken;
}

auto randomCommands(std::uint32_t seed) -> std::vector<Command>
{
    constexpr int Count = 300;
    std::mt19937 generator(seed);
    std::vector<Command> commands;
    for (int i = 0; i < Count; ++i) {
        const auto number = static_cast<int>(generator() % (HappeningCount + ArrivalsWeight));
        const auto happening = number < HappeningCount ? static_cast<Happening>(number) : Happening::Arrive;
        commands.push_back({ .happening = happening, .which = static_cast<std::uint32_t>(generator()), .how = static_cast<std::uint32_t>(generator()) });
    }
    return commands;
}

} // namespace

RC_GTEST_PROP(RouterProperties, keepsItsPromisesUnderFaults, ())
{
    RC_ASSERT(describe(play({}, *genCommands())) == "");
}

// Attempts fall silent, go on, fail and crash in any order.
RC_GTEST_PROP(RouterProperties, keepsItsPromisesWhileServersFallSilent, ())
{
    RC_ASSERT(describe(play({}, *genCommands(WithSilences))) == "");
}

RC_GTEST_PROP(RouterProperties, leavesNoFittingSlotIdleWhileSomethingWaits, ())
{
    RC_ASSERT(describe(play({ .faults = false }, *genCommands())) == "");
}

// Both policies live through the same two hundred long sessions. The naive one runs non-repeatable requests twice and
// puts more in flight than backend servers take, as a proxy without a policy does; it shares the ends of requests with
// the standard policy, so each request still ends once and no answer is mixed up.
TEST(RouterDifferentialTests, theNaivePolicyBreaksWhatTheStandardOneKeeps)
{
    constexpr std::uint32_t Sessions = 200;
    std::set<Broken> naive;
    for (std::uint32_t seed = 0; seed < Sessions; ++seed) {
        const auto commands = randomCommands(seed);
        EXPECT_EQ(describe(play({}, commands)), "") << "seed " << seed;
        naive.merge(play({ .policy = Policy::Naive }, commands));
    }
    EXPECT_TRUE(naive.contains(Broken::RanAtMostOnce));
    EXPECT_TRUE(naive.contains(Broken::InFlightBound));
    EXPECT_TRUE(naive.contains(Broken::RetriedElsewhere));
    EXPECT_FALSE(naive.contains(Broken::OneFinalAction));
    EXPECT_FALSE(naive.contains(Broken::OneAnswer));
    EXPECT_FALSE(naive.contains(Broken::NotRunIsTrue));
}
