#include "apps/placer/placersettings.h"

#include "runtime/logging/logging.h"
#include "runtime/settings/settings.h"

#include <array>

namespace auburnspread::placer
{

namespace
{

using settings::Key;
using settings::Kind;

constexpr std::int64_t LongestName = 64;
constexpr std::int64_t Hour = 3'600'000;

constexpr auto Keys = std::to_array<Key>({
    { .section = "placer", .name = "name", .range = { 1, LongestName }, .explanation = "Name of this process, unique in the deployment." },
    { .section = "placer",
      .name = "seed",
      .kind = Kind::Integer,
      .defaultValue = "1",
      .range = { 0, 1'000'000'000 },
      .explanation = "Seed of random choices." },
    { .section = "listen", .name = "admin", .kind = Kind::Address, .explanation = "Address for operators: health, metrics, status." },
    { .section = "platform", .name = "address", .kind = Kind::Address, .explanation = "Address of the platform's key-value service." },
    { .section = "lease",
      .name = "duration_ms",
      .kind = Kind::Duration,
      .defaultValue = "15000",
      .range = { 1000, Hour },
      .explanation = "Time to live of the holder's session; all placers must have the same." },
    { .section = "lease", .name = "renew_ms", .kind = Kind::Duration, .defaultValue = "5000", .range = { 100, Hour }, .explanation = "Time between renewals." },
    { .section = "lease",
      .name = "safety_margin_ms",
      .kind = Kind::Duration,
      .defaultValue = "3000",
      .range = { 0, Hour },
      .explanation = "No order leaves this long before the lease ends." },
    { .section = "lease",
      .name = "standby_ms",
      .kind = Kind::Duration,
      .defaultValue = "20000",
      .range = { 100, Hour },
      .explanation = "Mean time between two tries of a process that does not hold the lease; raise it with the number of placers." },
    { .section = "orders",
      .name = "concurrent_loads",
      .kind = Kind::Integer,
      .unit = "backend servers",
      .defaultValue = "2",
      .range = { 1, 1000 },
      .explanation = "Backend servers that may load weights at once; the weight store is rate-limited." },
    { .section = "orders",
      .name = "unavailable_percent",
      .kind = Kind::Integer,
      .unit = "percent",
      .defaultValue = "20",
      .range = { 0, 100 },
      .explanation = "Part of a model's backend servers that may be unavailable in a rollout; at least one." },
    { .section = "orders",
      .name = "order_time_ms",
      .kind = Kind::Duration,
      .defaultValue = "10000",
      .range = { 100, Hour },
      .explanation = "Longest time an order can be under way; all placers must have the same." },
    { .section = "orders",
      .name = "load_time_ms",
      .kind = Kind::Duration,
      .defaultValue = "900000",
      .range = { 100, 24 * Hour },
      .explanation = "A backend server that loads for longer has failed its order." },
    { .section = "reads",
      .name = "interval_ms",
      .kind = Kind::Duration,
      .defaultValue = "10000",
      .range = { 100, Hour },
      .explanation = "Time between two reads of a backend server that has its wanted state." },
    { .section = "reads",
      .name = "spacing_ms",
      .kind = Kind::Duration,
      .defaultValue = "200",
      .range = { 0, Hour },
      .explanation = "Least mean time between any two such reads; stretches the interval when there are many backend servers." },
    { .section = "reads",
      .name = "timeout_ms",
      .kind = Kind::Duration,
      .defaultValue = "5000",
      .range = { 10, Hour },
      .explanation = "Longest time of a read." },
    { .section = "log",
      .name = "level",
      .kind = Kind::Choice,
      .defaultValue = "info",
      .choices = logging::LevelNames,
      .explanation = "Least level that is written." },
    { .section = "log", .name = "file", .defaultValue = "", .explanation = "File for the log; empty: standard error." },
});

auto renewsInTime(const settings::Settings &settings) -> bool
{
    return settings.duration("lease.renew_ms") + settings.duration("lease.safety_margin_ms") < settings.duration("lease.duration_ms");
}

constexpr auto Rules = std::to_array<settings::Rule>({
    { .section = "lease", .name = "renew_ms", .holds = renewsInTime, .expected = "renew_ms + safety_margin_ms less than duration_ms" },
});

} // namespace

auto placerSchema() -> settings::Schema
{
    return { .keys = Keys, .rules = Rules };
}

auto readPlacerSettings(const settings::Settings &settings) -> PlacerSettings
{
    placement::PlacerOptions options;
    options.lease.duration = settings.duration("lease.duration_ms");
    options.lease.renewInterval = settings.duration("lease.renew_ms");
    options.lease.safetyMargin = settings.duration("lease.safety_margin_ms");
    options.lease.standbyInterval = settings.duration("lease.standby_ms");
    options.rollout.unavailablePercent = static_cast<std::uint32_t>(settings.integer("orders.unavailable_percent"));
    options.concurrentLoads = static_cast<std::uint32_t>(settings.integer("orders.concurrent_loads"));
    options.orderTime = settings.duration("orders.order_time_ms");
    options.loadTime = settings.duration("orders.load_time_ms");
    options.readInterval = settings.duration("reads.interval_ms");
    options.readSpacing = settings.duration("reads.spacing_ms");
    options.readTimeout = settings.duration("reads.timeout_ms");
    options.seed = static_cast<std::uint64_t>(settings.integer("placer.seed"));
    return {
        .name = settings.text("placer.name"),
        .adminAddress = settings.address("listen.admin"),
        .platformAddress = settings.address("platform.address"),
        .options = options,
        .logLevel = settings.text("log.level"),
        .logFile = settings.text("log.file"),
    };
}

} // namespace auburnspread::placer
