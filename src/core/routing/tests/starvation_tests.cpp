#include "core/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <string>

using namespace auburnspread;
using namespace auburnspread::routing;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Bound = 2s;
constexpr std::uint32_t FloorPeriod = 4;
constexpr std::uint32_t LowClasses = 3;
constexpr Duration ServiceTime = 500ms;

/// One backend server, a flood of the top class, and a few requests of each low class.
struct Flood {
    RouterStatePointer router = makeRouter({ .entry = "entry-1" });
    TimePoint now;
    std::uint64_t lastRequest = 0;
    std::map<RequestId, std::string> classes;
    std::map<std::string, std::deque<TimePoint>> waitingSince;
    std::map<std::string, std::uint32_t> inFlight;
    std::map<std::string, std::uint32_t> passedOver; ///< dispatches of others while a request of the class was overdue and none ran
    std::deque<std::pair<AttemptId, std::string>> running;
    std::uint32_t topDispatches = 0;
    std::uint32_t lowDispatches = 0; ///< while a top request waited
    std::uint32_t mostPassedOver = 0;
};

auto makeDocument(std::uint32_t slots) -> std::shared_ptr<configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = 1;
    auto &document = adopted->document;
    document.models = { { .name = "quote-7b", .versions = { "1" } } };
    document.workspaces = { { .name = "karoo" } };
    document.backendServers = { { .name = "gpu-1", .address = "127.0.0.1:1", .models = { { .model = "quote-7b", .version = "1" } }, .concurrency = slots } };
    for (std::uint32_t place = 0; place <= LowClasses; ++place) {
        const auto name = place == 0 ? std::string("top") : "low-" + std::to_string(place);
        document.classes.push_back({ .name = name,
                                     .tier = static_cast<int>(place),
                                     .models = { { .model = "quote-7b" } },
                                     .firstTokenTarget = 100s,
                                     .answerTarget = 100s,
                                     .starvationBound = Bound });
        document.workspaces.front().classes.push_back(name);
    }
    document.limits.queueLength = 100;
    return adopted;
}

auto noteDispatch(Flood &flood, const Dispatch &action) -> void
{
    const auto &name = flood.classes.at(action.request);
    for (auto &[other, since] : flood.waitingSince) {
        const auto isOverdue = !since.empty() && flood.now - since.front() > Bound && flood.inFlight[other] == 0;
        flood.passedOver[other] = isOverdue && other != name ? flood.passedOver[other] + 1 : 0;
        flood.mostPassedOver = std::max(flood.mostPassedOver, flood.passedOver[other]);
    }
    if (!flood.waitingSince["top"].empty()) {
        (name == "top" ? flood.topDispatches : flood.lowDispatches) += 1;
    }
    flood.waitingSince[name].pop_front();
    flood.inFlight[name] += 1;
    flood.running.emplace_back(action.attempt, name);
}

auto take(Flood &flood, const Event &event) -> void
{
    for (const auto &action : step(*flood.router, event, flood.now)) {
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            noteDispatch(flood, *dispatch);
        }
        if (const auto *refused = std::get_if<Refuse>(&action)) {
            flood.waitingSince[flood.classes.at(refused->request)].pop_back();
        }
    }
}

auto arrive(Flood &flood, const std::string &name) -> void
{
    flood.lastRequest += 1;
    const auto id = static_cast<RequestId>(flood.lastRequest);
    flood.classes[id] = name;
    flood.waitingSince[name].push_back(flood.now);
    take(flood, RequestArrived{ .request = id, .workspace = "karoo", .requestClass = name });
}

auto finishOldest(Flood &flood) -> void
{
    const auto [attempt, name] = flood.running.front();
    flood.running.pop_front();
    flood.inFlight[name] -= 1;
    take(flood, AttemptStarted{ attempt });
    take(flood, AttemptFinished{ .attempt = attempt, .relayedTokens = 10 });
}

} // namespace

// A burst of the top class keeps every slot busy and its queue full for minutes, while a few requests of lower classes
// come. Each lower class is still answered: once one of its requests is past the starvation bound, few dispatches of
// others go before it. The top class keeps at least three of four slots that become free, and none of its requests is
// refused to make room.
RC_GTEST_PROP(StarvationProperties, everyClassIsServedAndTheTopTierKeepsItsShare, ())
{
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto lowEvery = *rc::gen::inRange(1, 6);
    Flood flood;
    take(flood, ConfigurationAdopted{ makeDocument(slots) });
    for (int round = 0; round < 300; ++round) {
        for (std::uint32_t i = 0; i < slots + 1; ++i) {
            arrive(flood, "top");
        }
        if (round % lowEvery == 0) {
            arrive(flood, "low-" + std::to_string(1 + *rc::gen::inRange<std::uint32_t>(0, LowClasses)));
        }
        flood.now += ServiceTime / slots;
        finishOldest(flood);
    }
    RC_ASSERT(flood.mostPassedOver <= FloorPeriod * (LowClasses + 1));
    RC_ASSERT(flood.lowDispatches > 0U);
    RC_ASSERT(flood.lowDispatches <= flood.topDispatches / (FloorPeriod - 1) + 1);
}
