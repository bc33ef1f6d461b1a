#include "runtime/metrics/registry.h"

#include <stdexcept>
#include <utility>

namespace auburnspread::metrics
{

namespace
{

constexpr std::string_view OverflowValue = "other";

auto escape(std::string_view value) -> std::string
{
    std::string escaped;
    for (const auto c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c;
    }
    return escaped;
}

auto format(const Labels &labels) -> std::string
{
    std::string text;
    for (const auto &label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escape(label.value) + "\"";
    }
    return text;
}

auto replaceValues(Labels labels) -> Labels
{
    for (auto &label : labels) {
        label.value = OverflowValue;
    }
    return labels;
}

auto read(const Counter &counter) -> Snapshot::Value
{
    return counter.value();
}

auto read(const Gauge &gauge) -> Snapshot::Value
{
    return gauge.value();
}

auto read(const Histogram &histogram) -> Snapshot::Value
{
    return histogram.state();
}

auto addTo(Snapshot::Value &sum, const Snapshot::Value &value) -> void
{
    std::visit(
        [&value](auto &mine) {
            if (const auto *theirs = std::get_if<std::decay_t<decltype(mine)>>(&value)) {
                mine += *theirs;
            }
        },
        sum);
}

} // namespace

auto Snapshot::operator+=(const Snapshot &other) -> Snapshot &
{
    for (const auto &[name, family] : other.families) {
        auto &mine = families[name];
        mine.help = family.help;
        for (const auto &[labels, value] : family.series) {
            const auto [place, isNew] = mine.series.emplace(labels, value);
            if (!isNew) {
                addTo(place->second, value);
            }
        }
    }
    return *this;
}

Registry::Registry(RegistryOptions options)
    : options_(options)
{
}

// A label whose values come from outside, such as a name in a request, would grow the registry until memory is gone.
// Beyond the bound new values share one series, so the sums stay right and the memory stays bounded.
template <typename Kind>
auto Registry::find(const Description &description, const Labels &labels) -> Kind &
{
    const std::lock_guard lock(mutex_);
    auto found = families_.find(description.name);
    if (found == families_.end()) {
        found = families_.emplace(description.name, Family{ .help = std::string(description.help), .series = Series<Kind>() }).first;
    }
    auto *series = std::get_if<Series<Kind>>(&found->second.series);
    if (series == nullptr) {
        throw std::logic_error("metrics: " + std::string(description.name) + " is used for two kinds");
    }
    auto text = format(labels);
    if (!series->contains(text) && series->size() >= options_.seriesPerFamily) {
        text = format(replaceValues(labels));
    }
    auto &instrument = (*series)[text];
    if (!instrument) {
        instrument = std::make_unique<Kind>();
    }
    return *instrument;
}

auto Registry::counter(const Description &description, const Labels &labels) -> Counter &
{
    return find<Counter>(description, labels);
}

auto Registry::gauge(const Description &description, const Labels &labels) -> Gauge &
{
    return find<Gauge>(description, labels);
}

auto Registry::histogram(const Description &description, const Labels &labels) -> Histogram &
{
    return find<Histogram>(description, labels);
}

auto Registry::snapshot() const -> Snapshot
{
    const std::lock_guard lock(mutex_);
    Snapshot snapshot;
    for (const auto &[name, family] : families_) {
        auto &copy = snapshot.families[name];
        copy.help = family.help;
        std::visit(
            [&copy](const auto &series) {
                for (const auto &[labels, instrument] : series) {
                    copy.series.emplace(labels, read(*instrument));
                }
            },
            family.series);
    }
    return snapshot;
}

auto takeSnapshot(std::span<const Registry *const> registries) -> Snapshot
{
    Snapshot sum;
    for (const auto *registry : registries) {
        sum += registry->snapshot();
    }
    return sum;
}

} // namespace auburnspread::metrics
