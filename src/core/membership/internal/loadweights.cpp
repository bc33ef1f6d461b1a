#include "core/membership/internal/loadweights.h"

#include <algorithm>

namespace auburnspread::membership::detail
{

namespace
{

constexpr double Smoothing = 0.2;
constexpr double FewRequests = 4; ///< a mean below this is noise
constexpr double DeadBand = 0.2;  ///< a load within this share of the mean is left alone
constexpr double LargestStep = 1.1;
constexpr double LargestWeight = 2;

auto meanLoad(const MembershipState &state) -> double
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto &name : state.cellEntries) {
        const auto found = state.loads.find(name);
        if (found != state.loads.end()) {
            sum += found->second.openRequests;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

} // namespace

auto hearLoad(MembershipState &state, const LoadHeard &heard) -> void
{
    const auto [found, isNew] = state.loads.try_emplace(heard.name);
    auto &load = found->second.openRequests;
    load = isNew ? heard.openRequests : load + Smoothing * (heard.openRequests - load);
}

auto adjustWeights(MembershipState &state, TimePoint now, Actions &actions) -> void
{
    if (now < state.weighAt) {
        return;
    }
    state.weighAt = now + state.options.answerKeep;
    std::erase_if(state.loads, [&](const auto &load) { return !std::binary_search(state.cellEntries.begin(), state.cellEntries.end(), load.first); });
    const auto mean = meanLoad(state);
    if (mean < FewRequests) {
        return;
    }
    bool changed = false;
    for (auto &[name, load] : state.loads) {
        const auto ratio = load.openRequests / mean;
        if (ratio > 1 - DeadBand && ratio < 1 + DeadBand) {
            continue;
        }
        const auto step = std::clamp(1 / std::max(ratio, 1 / LargestStep), 1 / LargestStep, LargestStep);
        load.weight = std::clamp(load.weight * step, 1 / LargestWeight, LargestWeight);
        changed = true;
    }
    if (changed) {
        actions.push_back(AnswersChanged{ state.version });
    }
}

auto weightOf(const MembershipState &state, std::string_view name) -> double
{
    const auto found = state.loads.find(name);
    return found == state.loads.end() ? 1 : found->second.weight;
}

} // namespace auburnspread::membership::detail
