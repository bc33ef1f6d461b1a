/// \file
/// Counter, gauge and latency histogram. One task writes, any thread reads; neither waits for the other.

#pragma once

#include "core/base/time.h"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace auburnspread::metrics
{

/// Only grows.
class Counter
{
public:
    auto add(std::uint64_t amount = 1) -> void
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{ 0 };
};

/// Goes up and down.
class Gauge
{
public:
    auto set(double value) -> void
    {
        value_.store(value, std::memory_order_relaxed);
    }
    auto add(double amount) -> void
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] auto value() const -> double
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{ 0 };
};

/// What a histogram holds at one moment. The buckets do not overlap.
struct HistogramState {
    std::vector<std::uint64_t> counts; ///< up to each of bucketBounds(), then above the last
    Duration sum{};

    /// Adds another task's state of the same metric.
    auto operator+=(const HistogramState &other) -> HistogramState &;
};

/// Upper bounds of the buckets in seconds: ten a decade from a millisecond to a hundred seconds, the same for every histogram,
/// so that those of all tasks and processes can be added up.
auto bucketBounds() -> const std::vector<double> &;

/// Distribution of a time.
class Histogram
{
public:
    Histogram();

    auto observe(Duration duration) -> void;
    [[nodiscard]] auto state() const -> HistogramState;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> buckets_;
    std::atomic<Duration::rep> sum_{ 0 };
};

} // namespace auburnspread::metrics
