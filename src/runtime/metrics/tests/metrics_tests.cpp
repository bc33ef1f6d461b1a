#include "runtime/metrics/prometheus.h"
#include "runtime/metrics/reasoncounters.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

using namespace auburnspread;
using metrics::Registry;

namespace
{

constexpr metrics::Description Requests{ .name = "requests_total", .help = "Requests." };
constexpr metrics::Description Waiting{ .name = "waiting_seconds", .help = "Waiting time." };

auto scrape(const std::vector<const Registry *> &registries) -> std::string
{
    return metrics::formatPrometheus(metrics::takeSnapshot(registries));
}

auto hasLine(const std::string &text, const std::string &line) -> bool
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST(MetricsTests, everyReasonStandsAtZeroFromTheStart)
{
    Registry registry;
    auto refusals = metrics::declareRefusals(registry);
    auto retries = metrics::declareRetries(registry);
    for (const auto &entry : reasonTable()) {
        EXPECT_TRUE(hasLine(scrape({ &registry }), "auburnspread_refusals_total{reason=\"" + std::string(entry.name) + "\"} 0")) << entry.name;
    }
    for (const auto &entry : failureTable()) {
        EXPECT_TRUE(hasLine(scrape({ &registry }), "auburnspread_retries_total{reason=\"" + std::string(entry.name) + "\"} 0")) << entry.name;
    }
    refusals.add(Reason::Shed);
    retries.add(Failure::ServerError, 2);
    EXPECT_TRUE(hasLine(scrape({ &registry }), "auburnspread_refusals_total{reason=\"shed\"} 1"));
    EXPECT_TRUE(hasLine(scrape({ &registry }), "auburnspread_retries_total{reason=\"server-error\"} 2"));
}

TEST(MetricsTests, tasksAreAddedUpAndLabelsEscaped)
{
    Registry first;
    Registry second;
    first.counter(Requests, { { "class", "a\"b\\c\nd" } }).add(2);
    second.counter(Requests, { { "class", "a\"b\\c\nd" } }).add(3);
    second.gauge({ .name = "open", .help = "Open." }).set(1.5);
    EXPECT_EQ(scrape({ &first, &second }),
              "# HELP open Open.\n# TYPE open gauge\nopen 1.5\n"
              "# HELP requests_total Requests.\n# TYPE requests_total counter\nrequests_total{class=\"a\\\"b\\\\c\\nd\"} 5\n");
}

TEST(MetricsTests, oneNameHasOneKind)
{
    Registry registry;
    registry.counter(Requests);
    EXPECT_THROW(registry.gauge(Requests), std::logic_error);
    EXPECT_THROW(registry.histogram(Requests, { { "class", "x" } }), std::logic_error);
    EXPECT_TRUE(hasLine(scrape({ &registry }), "requests_total 0"));
}

// A caller sends ever new names that end up in a label. The number of series stays bounded and no event is lost from the sum.
TEST(MetricsTests, unboundedLabelValuesShareOneSeries)
{
    Registry registry({ .seriesPerFamily = 3 });
    for (int i = 0; i < 10; ++i) {
        registry.counter(Requests, { { "workspace", std::to_string(i) } }).add();
    }
    EXPECT_TRUE(hasLine(scrape({ &registry }), "requests_total{workspace=\"other\"} 7"));
    EXPECT_EQ(registry.snapshot().families.at("requests_total").series.size(), 4U);
}

TEST(MetricsTests, histogramsCoverEveryTimeAndAreCumulativeInTheText)
{
    Registry registry;
    auto &histogram = registry.histogram(Waiting, { { "class", "quote" } });
    for (const auto time : { Duration(0), Duration(-5), Duration(std::chrono::milliseconds(50)), Duration(std::chrono::hours(1)) }) {
        histogram.observe(time);
    }
    const auto text = scrape({ &registry });
    EXPECT_TRUE(hasLine(text, "waiting_seconds_bucket{class=\"quote\",le=\"0.001\"} 2")) << text;
    EXPECT_TRUE(hasLine(text, "waiting_seconds_bucket{class=\"quote\",le=\"100\"} 3"));
    EXPECT_TRUE(hasLine(text, "waiting_seconds_bucket{class=\"quote\",le=\"+Inf\"} 4"));
    EXPECT_TRUE(hasLine(text, "waiting_seconds_count{class=\"quote\"} 4"));
}

RC_GTEST_PROP(MetricsTests, mergedHistogramsEqualOneThatSawEverything, (const std::vector<std::uint32_t> &times))
{
    metrics::Histogram whole;
    std::array<metrics::Histogram, 2> parts;
    std::uint64_t upToBound = 0;
    constexpr std::size_t Chosen = 20;
    const Duration bound(static_cast<Duration::rep>(metrics::bucketBounds().at(Chosen) * 1e6));
    for (const auto time : times) {
        const Duration duration(time);
        whole.observe(duration);
        parts.at(time % 2).observe(duration);
        upToBound += duration < bound ? 1 : 0;
    }
    auto sum = parts[0].state();
    sum += parts[1].state();
    const auto expected = whole.state();
    RC_ASSERT(sum.counts == expected.counts);
    RC_ASSERT(sum.sum == expected.sum);
    RC_ASSERT(std::accumulate(sum.counts.begin(), sum.counts.begin() + Chosen + 1, std::uint64_t{ 0 }) == upToBound);
}

TEST(MetricsTests, scrapingWhileATaskWritesLosesNothing)
{
    constexpr int Events = 20'000;
    Registry registry;
    std::thread task([&]() {
        auto &histogram = registry.histogram(Waiting);
        for (int i = 0; i < Events; ++i) {
            registry.counter(Requests, { { "class", std::to_string(i % 5) } }).add();
            histogram.observe(Duration(i));
        }
    });
    std::uint64_t last = 0;
    for (int i = 0; i < 100; ++i) {
        std::uint64_t seen = 0;
        const auto snapshot = registry.snapshot();
        if (const auto family = snapshot.families.find("requests_total"); family != snapshot.families.end()) {
            for (const auto &[labels, value] : family->second.series) {
                seen += std::get<std::uint64_t>(value);
            }
        }
        EXPECT_GE(seen, last);
        last = seen;
    }
    task.join();
    const auto counts = registry.histogram(Waiting).state().counts;
    EXPECT_EQ(std::accumulate(counts.begin(), counts.end(), std::uint64_t{ 0 }), static_cast<std::uint64_t>(Events));
}
