#include "runtime/metrics/instruments.h"

#include <algorithm>
#include <chrono>

namespace auburnspread::metrics
{

namespace
{

constexpr int BucketsPerDecade = 10;
constexpr int Decades = 5;
constexpr int Buckets = BucketsPerDecade * Decades;
constexpr double LeastBound = 0.001;
constexpr double MostBound = 100;

} // namespace

auto HistogramState::operator+=(const HistogramState &other) -> HistogramState &
{
    counts.resize(std::max(counts.size(), other.counts.size()));
    for (std::size_t i = 0; i < other.counts.size(); ++i) {
        counts[i] += other.counts[i];
    }
    sum += other.sum;
    return *this;
}

auto bucketBounds() -> const std::vector<double> &
{
    static const auto bounds = []() {
        const boost::histogram::axis::regular<double, boost::histogram::axis::transform::log> axis(Buckets, LeastBound, MostBound);
        std::vector<double> values;
        for (int i = 0; i <= Buckets; ++i) {
            values.push_back(axis.value(i));
        }
        return values;
    }();
    return bounds;
}

Histogram::Histogram()
    : buckets_(std::make_tuple(Axis(Buckets, LeastBound, MostBound)), Storage())
{
}

// The logarithm of a negative time is no number and would be counted above the last bound.
auto Histogram::observe(Duration duration) -> void
{
    const auto counted = std::max(duration, Duration(0));
    buckets_(std::chrono::duration<double>(counted).count());
    sum_.fetch_add(counted.count(), std::memory_order_relaxed);
}

auto Histogram::state() const -> HistogramState
{
    constexpr int Underflow = -1;
    HistogramState state{ .sum = Duration(sum_.load(std::memory_order_relaxed)) };
    state.counts.reserve(Buckets + 2);
    for (int i = Underflow; i <= Buckets; ++i) {
        state.counts.push_back(buckets_.at(i).load());
    }
    return state;
}

} // namespace auburnspread::metrics
