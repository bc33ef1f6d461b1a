#include "load/arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <xxhash.h>

namespace auburnspread::load
{

namespace
{

/// Random numbers of one flow. The standard library's distributions differ between implementations, so the
/// transforms are written out: a scenario gives the same calls everywhere.
class Dice
{
public:
    Dice(std::uint64_t seed, const std::string &flow)
        : engine_(XXH64(flow.data(), flow.size(), seed))
    {
    }

    /// In [0, 1).
    auto uniform() -> double
    {
        constexpr int SpareBits = 11;
        constexpr double Scale = 0x1.0p-53;
        return static_cast<double>(engine_() >> SpareBits) * Scale;
    }

    auto below(std::uint32_t bound) -> std::uint32_t
    {
        return bound == 0 ? 0 : static_cast<std::uint32_t>(uniform() * bound);
    }

    auto exponential() -> double
    {
        return -std::log1p(-uniform());
    }

    auto normal() -> double
    {
        const double radius = std::sqrt(2 * exponential());
        return radius * std::cos(2 * std::numbers::pi * uniform());
    }

private:
    std::mt19937_64 engine_;
};

auto drawLength(const LengthDistribution &length, Dice &dice) -> std::uint32_t
{
    double tokens = length.median;
    if (length.kind == LengthKind::LogNormal) {
        tokens = length.median * std::exp(length.sigma * dice.normal());
    }
    if (length.kind == LengthKind::Pareto) {
        const double least = length.median / std::pow(2, 1 / length.alpha);
        tokens = least * std::exp(dice.exponential() / length.alpha);
    }
    return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, static_cast<double>(length.maximum)));
}

/// The next arrival after \p now. A Poisson process has no memory, so at an edge of the burst window the draw is
/// simply made anew with the rate behind the edge.
auto nextArrival(const Flow &flow, Duration now, Dice &dice) -> Duration
{
    constexpr double MicrosPerSecond = 1e6;
    while (true) {
        const bool inBurst = now >= flow.burstFrom && now < flow.burstTo;
        const double rate = flow.rate * (inBurst ? flow.burstFactor : 1);
        const Duration edge = now < flow.burstFrom ? flow.burstFrom : (inBurst ? flow.burstTo : Duration::max());
        const double gap = rate > 0 ? dice.exponential() / rate * MicrosPerSecond : INFINITY;
        if (gap < static_cast<double>((edge - now).count())) {
            return now + Duration(static_cast<Duration::rep>(gap));
        }
        if (edge == Duration::max()) {
            return Duration::max();
        }
        now = edge;
    }
}

auto workspacesOf(const Flow &flow, const configuration::Document &document) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &workspace : document.workspaces) {
        const bool wanted = flow.workspace.empty() || flow.workspace == workspace.name;
        if (wanted && std::ranges::find(workspace.classes, flow.requestClass) != workspace.classes.end()) {
            names.push_back(workspace.name);
        }
    }
    if (names.empty()) {
        throw ScenarioError("[flow." + flow.name + "]: no workspace of the document may use class '" + flow.requestClass + "'");
    }
    return names;
}

auto drawWorkspace(const Scenario &scenario, const std::vector<std::string> &names, Dice &dice) -> const std::string &
{
    const auto count = static_cast<std::uint32_t>(names.size());
    const std::uint32_t large = std::min(scenario.largeWorkspaces, count);
    if (large == 0 || large == count) {
        return names[dice.below(count)];
    }
    const bool isLarge = dice.uniform() < scenario.largeShare;
    return isLarge ? names[dice.below(large)] : names[large + dice.below(count - large)];
}

auto planFlow(const Scenario &scenario, std::uint32_t index, const configuration::Document &document, std::vector<PlannedCall> &calls) -> void
{
    const auto &flow = scenario.flows[index];
    const auto workspaces = workspacesOf(flow, document);
    Dice dice(scenario.seed, flow.name);
    for (auto at = nextArrival(flow, Duration{}, dice); at < scenario.duration; at = nextArrival(flow, at, dice)) {
        PlannedCall call{ .flow = index, .at = at };
        call.workspace = drawWorkspace(scenario, workspaces, dice);
        call.caller = dice.below(scenario.callersPerWorkspace);
        call.stream = dice.uniform() < flow.streamShare;
        call.answerTokens = drawLength(flow.length, dice);
        call.prefix = flow.sameBody ? 0 : dice.below(flow.prefixes);
        calls.push_back(std::move(call));
    }
}

} // namespace

auto planCalls(const Scenario &scenario, const configuration::Document &document) -> std::vector<PlannedCall>
{
    std::vector<PlannedCall> calls;
    for (std::uint32_t index = 0; index < scenario.flows.size(); ++index) {
        planFlow(scenario, index, document, calls);
    }
    std::ranges::stable_sort(calls, {}, &PlannedCall::at);
    for (std::uint32_t number = 0; number < calls.size(); ++number) {
        calls[number].number = number;
    }
    return calls;
}

} // namespace auburnspread::load
