/// \file
/// The metrics of one task. A scrape takes a snapshot of every task's registry and adds them up.

#pragma once

#include "runtime/metrics/instruments.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::metrics
{

struct Label {
    std::string name;
    std::string value;
};

using Labels = std::vector<Label>;

/// What a metric is called and what it means, equal in all tasks.
struct Description {
    std::string_view name; ///< ends with _total for a counter and _seconds for a histogram
    std::string_view help; ///< one line
};

/// Values at one moment.
struct Snapshot {
    using Value = std::variant<std::uint64_t, double, HistogramState>; ///< counter, gauge, histogram

    struct Family {
        std::string help;
        std::map<std::string, Value> series; ///< by their labels as the text format writes them
    };

    std::map<std::string, Family> families;

    /// Adds another task's values: sums of counters, gauges and histograms of the same name and labels.
    auto operator+=(const Snapshot &other) -> Snapshot &;
};

struct RegistryOptions {
    std::size_t seriesPerFamily = 1000;
};

/// Each function finds or makes the series; keep the reference, which lives as long as the registry, instead of asking each time.
/// A name that is used for two kinds is a defect of the program: std::logic_error.
class Registry
{
public:
    explicit Registry(RegistryOptions options = {});

    auto counter(const Description &description, const Labels &labels = {}) -> Counter &;
    auto gauge(const Description &description, const Labels &labels = {}) -> Gauge &;
    auto histogram(const Description &description, const Labels &labels = {}) -> Histogram &;

    /// From any thread.
    [[nodiscard]] auto snapshot() const -> Snapshot;

private:
    template <typename Kind>
    using Series = std::map<std::string, std::unique_ptr<Kind>>;

    struct Family {
        std::string help;
        std::variant<Series<Counter>, Series<Gauge>, Series<Histogram>> series; ///< by their labels
    };

    template <typename Kind>
    auto find(const Description &description, const Labels &labels) -> Kind &;

    RegistryOptions options_;
    mutable std::mutex mutex_; ///< guards the maps, not the values
    std::map<std::string, Family, std::less<>> families_;
};

/// Sum of the snapshots of all \p registries.
auto takeSnapshot(std::span<const Registry *const> registries) -> Snapshot;

} // namespace auburnspread::metrics
