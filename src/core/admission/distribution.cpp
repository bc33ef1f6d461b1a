#include "core/admission/distribution.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::admission
{

namespace
{

constexpr float DecayThreshold = 256;
constexpr float MinObservations = 16;

auto bucketOf(double value) -> std::size_t
{
    const auto position = std::log2(std::max(value, 1.0)) * static_cast<double>(Distribution::BucketsPerOctave);
    return std::min(static_cast<std::size_t>(position), std::tuple_size_v<decltype(Distribution::counts)> - 1);
}

auto lowerEdge(double bucket) -> double
{
    return std::exp2(bucket / static_cast<double>(Distribution::BucketsPerOctave));
}

auto quantileFrom(const Distribution &distribution, double part, std::size_t first) -> std::optional<double>
{
    double weight = 0;
    for (auto bucket = first; bucket < distribution.counts.size(); ++bucket) {
        weight += distribution.counts.at(bucket);
    }
    if (weight < 1) {
        return std::nullopt;
    }
    auto left = weight * part;
    for (auto bucket = first; bucket < distribution.counts.size(); ++bucket) {
        const auto count = static_cast<double>(distribution.counts.at(bucket));
        if (count > 0 && count >= left) {
            return lowerEdge(static_cast<double>(bucket) + left / count);
        }
        left -= count;
    }
    return lowerEdge(static_cast<double>(distribution.counts.size()));
}

} // namespace

auto observe(Distribution &distribution, double value) -> void
{
    distribution.counts.at(bucketOf(value)) += 1;
    distribution.total += 1;
    if (distribution.total < DecayThreshold) {
        return;
    }
    for (auto &count : distribution.counts) {
        count /= 2;
    }
    distribution.total /= 2;
}

auto quantile(const Distribution &distribution, double part) -> std::optional<double>
{
    return distribution.total < MinObservations ? std::nullopt : quantileFrom(distribution, part, 0);
}

auto quantileAbove(const Distribution &distribution, double part, double floor) -> std::optional<double>
{
    return distribution.total < MinObservations ? std::nullopt : quantileFrom(distribution, part, bucketOf(floor));
}

} // namespace auburnspread::admission
