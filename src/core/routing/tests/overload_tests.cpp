#include "core/routing/router.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>

using namespace auburnspread;
using namespace auburnspread::routing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Slots = 8;
constexpr Duration FirstToken = 80ms;
constexpr Duration PerToken = 20ms;
constexpr Duration TestTime = 300s;

enum class Step {
    Arrive,
    Start,
    Finish,
    Tick,
};

struct Due {
    TimePoint at;
    std::uint64_t order = 0;
    Step step = Step::Tick;
    AttemptId attempt{};
    std::string requestClass;

    auto operator<(const Due &other) const -> bool
    {
        return std::tie(at, order) < std::tie(other.at, other.order);
    }
};

struct Counts {
    int offered = 0;
    int completed = 0;
    int onTime = 0;
    int firstTokenMet = 0;
    int answerMet = 0;
    int refused = 0;
    int refusedAfterWaiting = 0; ///< more than a second
};

/// Arrivals come \c factor times as often for \c length in the middle of each \c period.
struct Burst {
    Duration period = TestTime;
    Duration length{};
    double factor = 1;
};

struct SiteResult {
    std::map<std::string, Counts> counts;
    double wasted = 0; ///< part of the time of slots
};

/// Engines that answer at a steady pace and answers whose length nobody knows in advance.
struct Site {
    RouterStatePointer router = makeRouter({ .entry = "entry-1" });
    std::mt19937 generator{ 7 };
    std::set<Due> due;
    std::uint64_t orders = 0;
    std::uint64_t requests = 0;
    std::map<RequestId, std::string> classes;
    std::map<RequestId, TimePoint> arrived;
    std::map<std::string, Counts> counts;
    std::map<std::string, double> arrivalsPerSecond;
    std::map<std::string, Burst> bursts;
    std::map<std::string, configuration::RequestClass> targets;
    std::map<AttemptId, TimePoint> dispatched;
    std::map<RequestId, AttemptId> attempts;
    Duration usedTime{};   ///< of slots
    Duration wastedTime{}; ///< of it, on answers that were cut off or ended past their target
};

auto makeDocument() -> std::shared_ptr<configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = 1;
    auto &document = adopted->document;
    document.models = { { .name = "quote-7b", .versions = { "1" } } };
    document.classes = { { .name = "quote", .tier = 0, .models = { { .model = "quote-7b" } }, .firstTokenTarget = 1500ms },
                         { .name = "check", .tier = 1, .models = { { .model = "quote-7b" } }, .firstTokenTarget = 3s, .starvationBound = 2s } };
    document.workspaces = { { .name = "karoo", .classes = { "quote", "check" } } };
    document.backendServers = { { .name = "gpu-1", .address = "127.0.0.1:1", .models = { { .model = "quote-7b", .version = "1" } }, .concurrency = Slots } };
    return adopted;
}

auto schedule(Site &site, Due due) -> void
{
    site.orders += 1;
    due.order = site.orders;
    site.due.insert(due);
}

auto draw(Site &site, double mean) -> double
{
    return std::exponential_distribution<double>(1 / mean)(site.generator);
}

auto rateAt(Site &site, const std::string &requestClass, TimePoint now) -> double
{
    const auto &burst = site.bursts[requestClass];
    const auto phase = now.time_since_epoch() % burst.period - burst.period / 2;
    const auto inBurst = phase >= Duration::zero() && phase < burst.length;
    return site.arrivalsPerSecond.at(requestClass) * (inBurst ? burst.factor : 1);
}

auto scheduleArrival(Site &site, const std::string &requestClass, TimePoint now) -> void
{
    const auto gap = std::chrono::duration<double>(draw(site, 1 / rateAt(site, requestClass, now)));
    schedule(site, { .at = now + std::chrono::duration_cast<Duration>(gap), .step = Step::Arrive, .requestClass = requestClass });
}

auto noteEnded(Site &site, AttemptId attempt, bool isWasted, TimePoint now) -> void
{
    const auto used = now - site.dispatched.at(attempt);
    site.usedTime += used;
    site.wastedTime += isWasted ? used : Duration::zero();
}

auto noteRefused(Site &site, RequestId request, TimePoint now) -> void
{
    auto &counts = site.counts[site.classes.at(request)];
    counts.refused += 1;
    counts.refusedAfterWaiting += now - site.arrived.at(request) > 1s ? 1 : 0;
}

auto noteCompleted(Site &site, const Completed &completed, TimePoint now) -> void
{
    auto &counts = site.counts[completed.requestClass];
    const auto &targets = site.targets.at(completed.requestClass);
    const auto isInTime = completed.answer <= targets.answerTarget;
    counts.completed += 1;
    counts.onTime += completed.onTime ? 1 : 0;
    counts.firstTokenMet += completed.firstToken <= targets.firstTokenTarget ? 1 : 0;
    counts.answerMet += isInTime ? 1 : 0;
    noteEnded(site, site.attempts.at(completed.request), !isInTime, now);
}

auto take(Site &site, const Event &event, TimePoint now) -> void
{
    constexpr double MeanTokens = 50;
    for (const auto &action : step(*site.router, event, now)) {
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            const auto tokens = 1 + static_cast<int>(draw(site, MeanTokens));
            site.dispatched[dispatch->attempt] = now;
            site.attempts[dispatch->request] = dispatch->attempt;
            schedule(site, { .at = now + FirstToken, .step = Step::Start, .attempt = dispatch->attempt });
            schedule(site, { .at = now + FirstToken + tokens * PerToken, .step = Step::Finish, .attempt = dispatch->attempt });
        }
        if (const auto *refused = std::get_if<Refuse>(&action)) {
            noteRefused(site, refused->request, now);
        }
        if (const auto *completed = std::get_if<Completed>(&action)) {
            noteCompleted(site, *completed, now);
        }
        if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
            noteEnded(site, cancelled->attempt, true, now);
        }
    }
}

auto run(Site &site, const Due &due) -> void
{
    switch (due.step) {
    case Step::Arrive:
        site.requests += 1;
        site.classes[static_cast<RequestId>(site.requests)] = due.requestClass;
        site.arrived[static_cast<RequestId>(site.requests)] = due.at;
        site.counts[due.requestClass].offered += 1;
        take(site,
             RequestArrived{ .request = static_cast<RequestId>(site.requests), .workspace = "karoo", .requestClass = due.requestClass, .promptTokens = 10 },
             due.at);
        scheduleArrival(site, due.requestClass, due.at);
        return;
    case Step::Start:
        return take(site, AttemptStarted{ due.attempt }, due.at);
    case Step::Finish:
        return take(site, AttemptFinished{ .attempt = due.attempt, .relayedTokens = 50 }, due.at);
    case Step::Tick:
        take(site, Tick{}, due.at);
        schedule(site, { .at = due.at + 20ms, .step = Step::Tick });
        return;
    }
}

auto record(const std::string &name, const Counts &counts) -> void
{
    testing::Test::RecordProperty(name + "_offered", counts.offered);
    testing::Test::RecordProperty(name + "_completed", counts.completed);
    testing::Test::RecordProperty(name + "_on_time", counts.onTime);
    testing::Test::RecordProperty(name + "_first_token_met", counts.firstTokenMet);
    testing::Test::RecordProperty(name + "_answer_met", counts.answerMet);
    testing::Test::RecordProperty(name + "_refused", counts.refused);
    testing::Test::RecordProperty(name + "_refused_after_waiting", counts.refusedAfterWaiting);
}

auto runSite(double quotes, double checks, const Burst &burst) -> SiteResult
{
    Site site;
    const auto adopted = makeDocument();
    for (const auto &requestClass : adopted->document.classes) {
        site.targets[requestClass.name] = requestClass;
    }
    site.arrivalsPerSecond = { { "quote", quotes }, { "check", checks } };
    site.bursts["quote"] = burst;
    take(site, ConfigurationAdopted{ adopted }, {});
    scheduleArrival(site, "quote", {});
    scheduleArrival(site, "check", {});
    schedule(site, { .at = {}, .step = Step::Tick });
    while (site.due.begin()->at < TimePoint(TestTime)) {
        const auto due = *site.due.begin();
        site.due.erase(site.due.begin());
        run(site, due);
    }
    for (const auto &[name, counts] : site.counts) {
        record(name, counts);
    }
    const auto wasted = static_cast<double>(site.wastedTime.count()) / static_cast<double>(site.usedTime.count());
    testing::Test::RecordProperty("wasted_permille", static_cast<int>(wasted * 1000));
    return { .counts = site.counts, .wasted = wasted };
}

auto runSite(double quotes, double checks) -> std::map<std::string, Counts>
{
    return runSite(quotes, checks, Burst{}).counts;
}

/// Eight slots, 1.1 seconds an answer on average.
constexpr double CapacityPerSecond = 7.2;

} // namespace

// Callers send three times what the backend servers can answer. A queue without a forecast would be filled up to its
// bound, and every answer would be late although every slot works. Here what cannot be on time is told so at once: the
// slots stay busy, and almost all that is answered is on time.
TEST(OverloadTests, whatIsAnsweredIsOnTimeAndTheSlotsStayBusy)
{
    const auto counts = runSite(3 * CapacityPerSecond, 0.001).at("quote");
    const auto possible = CapacityPerSecond * std::chrono::duration<double>(TestTime).count();
    EXPECT_GT(counts.completed, 0.9 * possible);
    EXPECT_GT(counts.onTime, 0.9 * counts.completed);
}

// Quotes burst to twice the capacity while line-item checks of a lower tier go on arriving. The checks are still
// answered, by their floor, and the quotes keep at least three quarters of what could be answered.
TEST(OverloadTests, aLowerTierIsStillAnsweredInABurst)
{
    const auto counts = runSite(2 * CapacityPerSecond, 1);
    const auto possible = CapacityPerSecond * std::chrono::duration<double>(TestTime).count();
    EXPECT_GT(counts.at("quote").onTime, 0.7 * possible);
    EXPECT_GT(counts.at("check").completed, 20);
}

TEST(OverloadTests, atHalfTheCapacityNothingIsRefused)
{
    const auto counts = runSite(0.35 * CapacityPerSecond, 0.15 * CapacityPerSecond);
    EXPECT_EQ(counts.at("quote").refused + counts.at("check").refused, 0);
    EXPECT_GT(counts.at("quote").onTime, 0.98 * counts.at("quote").completed);
    EXPECT_GT(counts.at("check").onTime, 0.98 * counts.at("check").completed);
}

// Once a minute quotes burst to three times the capacity for three seconds, with line-item checks of a lower tier beside
// them. Those at the end of a burst have lost their first token, but the backlog is gone long before their answers are
// due. They wait behind what can still be on time and are answered; a refusal would lose them for nothing.
TEST(OverloadTests, aQuoteThatLostItsFirstTokenIsStillAnsweredAfterABurst)
{
    constexpr double QuotesPart = 0.35;
    constexpr double ChecksPart = 0.25;
    const Burst burst{ .period = 60s, .length = 3s, .factor = 3 / QuotesPart };
    const auto outcome = runSite(QuotesPart * CapacityPerSecond, ChecksPart * CapacityPerSecond, burst);
    const auto &quotes = outcome.counts.at("quote");
    const auto &checks = outcome.counts.at("check");
    EXPECT_GT(quotes.answerMet, 0.95 * quotes.offered);
    EXPECT_GT(quotes.onTime, 0.8 * quotes.offered);
    EXPECT_GT(checks.answerMet, 0.95 * checks.offered);
    EXPECT_GT(checks.onTime, 0.8 * checks.offered);
    EXPECT_LT(outcome.wasted, 0.01);
}
