#include "core/placement/tests/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace auburnspread;
using namespace auburnspread::placement;
using namespace auburnspread::placement::testing;

namespace
{

enum class Fault {
    Pause,       ///< a placer stops for a while
    Outage,      ///< the platform's service is down for a while
    Session,     ///< the platform's service forgets the holder's session
    NewDocument, ///< operators submit the next version; each placer hears of it late or not at all
    Unreachable, ///< a backend server cannot be reached for a while
};

struct FaultAt {
    Fault fault{};
    Duration delay{}; ///< after the last one
    Duration length{};
    int target = 0;
};

auto anyFault() -> rc::Gen<FaultAt>
{
    return rc::gen::construct<FaultAt>(rc::gen::element(Fault::Pause, Fault::Outage, Fault::Session, Fault::NewDocument, Fault::Unreachable),
                                       rc::gen::map(rc::gen::inRange(0, 30'000), [](int value) -> Duration { return milliseconds(value); }),
                                       rc::gen::map(rc::gen::inRange(0, 60'000), [](int value) -> Duration { return milliseconds(value); }),
                                       rc::gen::inRange(0, 4));
}

/// What a document of this version places where; alternates so that each version differs from the last.
auto placementOf(std::uint64_t version) -> std::vector<std::vector<configuration::ServedModel>>
{
    const auto newer = std::to_string(1 + version % 3);
    if (version % 2 == 0) {
        return { quote(newer), quote(newer), clause("1"), clause("2") };
    }
    return { clause("1"), quote(newer), quote(newer), clause("1") };
}

/// A world whose messages are delayed, lost and reordered by a seeded generator until quiet() is called.
struct FaultyWorld {
    World world;
    std::mt19937_64 random;
    std::uint64_t version = 1;
    bool checks;

    FaultyWorld(std::uint64_t seed, bool checksFencing)
        : random(seed)
        , checks(checksFencing)
    {
        world.document = makeDocument(1, placementOf(1), checks);
        placeAll(world, world.document->document);
        world.orderDelay = [this]() -> Duration { return chance(5) ? milliseconds(draw(90'000)) : milliseconds(draw(300)); };
        world.callDelay = [this]() -> Duration { return milliseconds(draw(chance(10) ? 4'000 : 50)); };
        world.losesReply = [this]() { return chance(10); };
        world.addPlacer("a", { .seed = 1 });
        world.addPlacer("b", { .seed = 2 });
        world.addPlacer("c", { .seed = 3 });
    }

    auto draw(int range) -> int
    {
        return static_cast<int>(random() % static_cast<std::uint64_t>(range));
    }

    auto chance(int oneIn) -> bool
    {
        return draw(oneIn) == 0;
    }

    auto inflict(const FaultAt &fault) -> void
    {
        const std::string placer(1, "abc"[fault.target % 3]);
        const auto engine = "s" + std::to_string(fault.target + 1);
        switch (fault.fault) {
        case Fault::Pause:
            world.pause(placer, fault.length);
            break;
        case Fault::Outage:
            world.lock.down = true;
            world.at(fault.length, [this]() { world.lock.down = false; });
            break;
        case Fault::Session:
            world.lock.sessions.erase(world.lock.holder);
            break;
        case Fault::NewDocument:
            ++version;
            world.document = makeDocument(version, placementOf(version), checks);
            tellPlacers();
            break;
        case Fault::Unreachable:
            world.engines[engine].reachable = false;
            world.at(fault.length, [this, engine]() { world.engines[engine].reachable = true; });
            break;
        }
    }

    auto tellPlacers() -> void
    {
        for (const std::string name : { "a", "b", "c" }) {
            world.at(milliseconds(draw(20'000)), [this, name, document = world.document]() { world.send(name, DocumentRead{ .document = document }); });
        }
    }

    auto run(const std::vector<FaultAt> &faults) -> void
    {
        for (const auto &fault : faults) {
            world.run(fault.delay);
            inflict(fault);
        }
    }

    /// No further faults; whatever is delayed arrives within the time given.
    auto quiet() -> void
    {
        world.orderDelay = []() -> Duration { return milliseconds(2); };
        world.callDelay = []() -> Duration { return milliseconds(2); };
        world.losesReply = []() { return false; };
        world.run(seconds(120));
        tellPlacers();
    }
};

auto ordersNeverGoBack(const FakeEngine &engine) -> bool
{
    return std::ranges::is_sorted(engine.applied, {}, &Applied::fence) && std::ranges::is_sorted(engine.applied, {}, &Applied::version);
}

} // namespace

// Whatever placers, network and platform do, an engine that checks never takes an older document's order after a newer
// one's, no fencing number is used by two holders, and in the end all engines have the newest document's state.
RC_GTEST_PROP(PlacementProperties, ordersNeverTakeEffectInTheWrongOrderOnEnginesThatCheck, (std::uint64_t seed))
{
    const auto faults = *rc::gen::resize(40, rc::gen::container<std::vector<FaultAt>>(anyFault()));
    FaultyWorld faulty(seed, true);
    faulty.run(faults);
    faulty.quiet();
    const auto converged = faulty.world.runUntil(std::chrono::minutes(20), [&]() { return faulty.world.allConverged(); });
    std::map<FencingNumber, std::pair<std::string, std::uint64_t>> owners;
    for (const auto &[name, engine] : faulty.world.engines) {
        RC_ASSERT(ordersNeverGoBack(engine));
        for (const auto &order : engine.applied) {
            const auto [owner, isNew] = owners.emplace(order.fence, std::pair(order.holder, order.version));
            RC_ASSERT(owner->second == std::pair(order.holder, order.version));
        }
    }
    RC_ASSERT(converged);
}

// Whatever happens, no order leaves a granted model, that was served, without a serving engine, if the engines check.
RC_GTEST_PROP(PlacementProperties, noOrderLeavesAModelWithoutAServer, (std::uint64_t seed))
{
    const auto faults = *rc::gen::resize(40, rc::gen::container<std::vector<FaultAt>>(anyFault()));
    FaultyWorld faulty(seed, true);
    auto &world = faulty.world;
    std::vector<std::string> gaps;
    world.afterOrder = [&]() {
        for (const std::string model : { "quote-7b", "clause-2b" }) {
            const bool served = std::ranges::any_of(world.engines, [&](const auto &entry) {
                return std::ranges::any_of(entry.second.state.variants, [&](const Variant &variant) { return variant.model == model; });
            });
            if (!served) {
                gaps.push_back(model);
            }
        }
    };
    faulty.run(faults);
    faulty.quiet();
    RC_ASSERT(gaps.empty());
}

// Whatever happens, an engine that does not check does not stay in an old wanted state.
RC_GTEST_PROP(PlacementProperties, enginesThatDoNotCheckEndInTheWantedState, (std::uint64_t seed))
{
    const auto faults = *rc::gen::resize(40, rc::gen::container<std::vector<FaultAt>>(anyFault()));
    FaultyWorld faulty(seed, false);
    faulty.run(faults);
    faulty.quiet();
    RC_ASSERT(faulty.world.runUntil(std::chrono::minutes(20), [&]() { return faulty.world.allConverged(); }));
}
