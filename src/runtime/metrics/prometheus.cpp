#include "runtime/metrics/prometheus.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace auburnspread::metrics
{

namespace
{

auto formatNumber(double number, const char *format) -> std::string
{
    constexpr std::size_t Longest = 32;
    std::array<char, Longest> text{};
    std::snprintf(text.data(), text.size(), format, number);
    return text.data();
}

auto kindName(const Snapshot::Value &value) -> std::string_view
{
    if (std::holds_alternative<std::uint64_t>(value)) {
        return "counter";
    }
    return std::holds_alternative<double>(value) ? "gauge" : "histogram";
}

auto writeSample(std::string &output, const std::string &name, const std::string &labels, const std::string &number) -> void
{
    output += name;
    if (!labels.empty()) {
        output += "{" + labels + "}";
    }
    output += " " + number + "\n";
}

auto write(std::string &output, const std::string &name, const std::string &labels, std::uint64_t counter) -> void
{
    writeSample(output, name, labels, std::to_string(counter));
}

auto write(std::string &output, const std::string &name, const std::string &labels, double gauge) -> void
{
    writeSample(output, name, labels, formatNumber(gauge, "%.15g"));
}

/// The format wants buckets that include all smaller ones.
auto write(std::string &output, const std::string &name, const std::string &labels, const HistogramState &histogram) -> void
{
    const auto prefix = labels.empty() ? std::string() : labels + ",";
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
        total += histogram.counts[i];
        const auto bound = i < bucketBounds().size() ? formatNumber(bucketBounds()[i], "%.4g") : "+Inf";
        auto bucketLabels = prefix;
        bucketLabels.append("le=\"").append(bound).append("\"");
        writeSample(output, name + "_bucket", bucketLabels, std::to_string(total));
    }
    writeSample(output, name + "_sum", labels, formatNumber(std::chrono::duration<double>(histogram.sum).count(), "%.15g"));
    writeSample(output, name + "_count", labels, std::to_string(total));
}

} // namespace

auto formatPrometheus(const Snapshot &snapshot) -> std::string
{
    std::string output;
    for (const auto &[name, family] : snapshot.families) {
        output += "# HELP " + name + " " + family.help + "\n";
        output.append("# TYPE ").append(name).append(" ").append(kindName(family.series.begin()->second)).append("\n");
        for (const auto &[labels, value] : family.series) {
            std::visit([&, &labels = labels, &name = name](const auto &number) { write(output, name, labels, number); }, value);
        }
    }
    return output;
}

} // namespace auburnspread::metrics
