#include "gateway/settings/gatewaysettings.h"

#include "runtime/logging/logging.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace auburnspread::gateway
{

namespace
{

using settings::Key;
using settings::Kind;

constexpr std::int64_t MaxNameLength = 64;
constexpr std::int64_t MaxNameListLength = 1000;
constexpr std::int64_t MaxNumber = 1'000'000;
constexpr std::int64_t MinuteMs = 60'000;
constexpr std::int64_t MinMemoryMb = 32;

constexpr auto Keys = std::to_array<Key>({
    { .section = "gateway", .name = "name", .range = { 1, MaxNameLength }, .explanation = "Name of this entry, unique in the deployment." },
    { .section = "gateway", .name = "failure_domain", .range = { 1, MaxNameLength }, .explanation = "Failure domain of this VM." },
    { .section = "gateway", .name = "region", .defaultValue = "", .range = { 0, MaxNameLength }, .explanation = "Region of the failure domain." },
    { .section = "listen", .name = "caller", .kind = Kind::Address, .explanation = "Address for callers." },
    { .section = "listen", .name = "readiness", .kind = Kind::Address, .explanation = "Address at which the platform asks whether the entry is ready." },
    { .section = "listen", .name = "addresses", .kind = Kind::Address, .explanation = "Address at which callers ask which entries to use." },
    { .section = "listen", .name = "peer", .kind = Kind::Address, .explanation = "Address for datagrams of other entries." },
    { .section = "listen", .name = "metrics", .kind = Kind::Address, .explanation = "Address of the metrics page." },
    { .section = "fleet",
      .name = "seeds",
      .kind = Kind::Addresses,
      .defaultValue = "",
      .explanation = "Addresses of entries that may be there when this one starts. Their IP numbers count: all entries have the same peer port." },
    { .section = "platform", .name = "store", .kind = Kind::Address, .explanation = "Address of the platform's store." },
    { .section = "platform",
      .name = "lease_ms",
      .kind = Kind::Duration,
      .defaultValue = "10000",
      .range = { 1000, MinuteMs },
      .explanation = "Time to live of this entry's registration, which it makes once it reads the store for others." },
    { .section = "duties",
      .name = "api",
      .kind = Kind::Addresses,
      .defaultValue = "",
      .range = { 0, 1 },
      .explanation = "Address of the platform's interface for what one entry does for all." },
    { .section = "duties",
      .name = "assigned",
      .defaultValue = "",
      .range = { 0, MaxNameListLength },
      .explanation = "What one entry does for all in this deployment, as the platform names it, with commas." },
    { .section = "duties",
      .name = "leader_lease_ms",
      .kind = Kind::Duration,
      .defaultValue = "3000",
      .range = { 1000, MinuteMs },
      .explanation = "How long nobody leads after the entry that led was lost." },
    { .section = "duties",
      .name = "usage_window_s",
      .kind = Kind::Number,
      .defaultValue = "5",
      .range = { 1, MaxNumber },
      .explanation = "Seconds of usage that are reported together." },
    { .section = "duties",
      .name = "usage_due_s",
      .kind = Kind::Number,
      .defaultValue = "10",
      .range = { 1, MaxNumber },
      .explanation = "Seconds after the end of a window by which its usage is to be reported." },
    { .section = "vm",
      .name = "core_part",
      .kind = Kind::Number,
      .defaultValue = "1",
      .range = { 0, MaxNumber },
      .explanation = "Part of a core that the VM has." },
    { .section = "vm",
      .name = "link_mbps",
      .kind = Kind::Number,
      .defaultValue = "1000",
      .range = { 0, MaxNumber },
      .explanation = "Megabits a second of the VM's link." },
    { .section = "vm",
      .name = "memory_mb",
      .kind = Kind::Number,
      .defaultValue = "88",
      .range = { MinMemoryMb, MaxNumber },
      .explanation = "Memory of the VM in mebibytes. A quarter of it may be held for callers and backend servers." },
    { .section = "vm",
      .name = "descriptors",
      .kind = Kind::Number,
      .defaultValue = "0",
      .range = { 0, MaxNumber },
      .explanation = "Descriptors that the process may have open; 0: as many as the system lets it open." },
    { .section = "bounds",
      .name = "key_withdrawal_ms",
      .kind = Kind::Duration,
      .defaultValue = "5000",
      .range = { 2000, MinuteMs },
      .explanation = "A key that was taken away admits no request after this time, whatever the entry can reach." },
    { .section = "bounds",
      .name = "configuration_apply_ms",
      .kind = Kind::Duration,
      .defaultValue = "2000",
      .range = { 1000, MinuteMs },
      .explanation
      = "A configuration that was accepted is in force after this time; an entry that knows of a newer one and has not got it admits no request." },
    { .section = "bounds",
      .name = "leaving_s",
      .kind = Kind::Number,
      .defaultValue = "8",
      .range = { 0, MaxNumber },
      .explanation = "Seconds from SIGTERM to the end." },
    { .section = "bounds",
      .name = "retry_ratio",
      .kind = Kind::Number,
      .defaultValue = "0.2",
      .range = { 0, MaxNumber },
      .explanation = "Repeats for each first send." },
    { .section = "bounds",
      .name = "retry_window_s",
      .kind = Kind::Number,
      .defaultValue = "10",
      .range = { 0, MaxNumber },
      .explanation = "Seconds over which repeats count." },
    { .section = "bounds",
      .name = "retry_allowance",
      .kind = Kind::Number,
      .defaultValue = "50",
      .range = { 0, MaxNumber },
      .explanation = "Repeats in a window besides, of all entries together." },
    { .section = "bounds",
      .name = "keep_addresses_s",
      .kind = Kind::Number,
      .defaultValue = "5",
      .range = { 0, MaxNumber },
      .explanation = "Longest time in seconds for which callers keep the answer of where to connect." },
    { .section = "scheduling",
      .name = "engine_model",
      .kind = Kind::Choice,
      .defaultValue = "auto",
      .choices = passthrough::EngineModelModeNames,
      .explanation = "Whether engines are scheduled by a model that adapts to them; auto: where the fixed limits do not hold." },
    { .section = "log",
      .name = "level",
      .kind = Kind::Choice,
      .defaultValue = "info",
      .choices = logging::LevelNames,
      .explanation = "Least level that is written." },
});

auto seconds(const settings::Settings &settings, std::string_view key) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings.number(key)));
}

constexpr double BytesPerMegabyte = 1024 * 1024;

/// A faster link is not the bottleneck of an entry, so only the processor counts beyond this.
constexpr double MaxRelevantMbps = 100;

/// The configured seed addresses have the port of another service. All entries use the same peer port.
auto seedsOf(const settings::Settings &settings) -> std::vector<std::string>
{
    const auto &self = settings.address("listen.peer");
    const auto port = self.substr(self.rfind(':'));
    auto seeds = settings.addresses("fleet.seeds");
    for (auto &seed : seeds) {
        seed.erase(seed.rfind(':'));
        seed += port;
    }
    return seeds;
}

auto dutyApiOf(const settings::Settings &settings) -> std::string
{
    const auto addresses = settings.addresses("duties.api");
    return addresses.empty() ? std::string() : addresses.front();
}

auto strengthOf(const settings::Settings &settings) -> std::uint32_t
{
    constexpr double Scale = 10; // so that rounding to an integer keeps differences of a tenth of a core
    return static_cast<std::uint32_t>(Scale * settings.number("vm.core_part") * std::min(settings.number("vm.link_mbps"), MaxRelevantMbps));
}

auto descriptorsOf(const settings::Settings &settings) -> std::size_t
{
    const auto stated = static_cast<std::size_t>(settings.number("vm.descriptors"));
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const auto allowed = static_cast<std::size_t>(limit.rlim_cur);
    return stated == 0 ? allowed : std::min(stated, allowed);
}

} // namespace

auto gatewaySchema() -> settings::Schema
{
    return { .keys = Keys };
}

auto withReloadableSettings(GatewaySettings current, const GatewaySettings &changed) -> GatewaySettings
{
    current.keyWithdrawal = changed.keyWithdrawal;
    current.configurationApply = changed.configurationApply;
    current.leavingTime = changed.leavingTime;
    current.retryRatio = changed.retryRatio;
    current.retryWindow = changed.retryWindow;
    current.retryAllowance = changed.retryAllowance;
    current.keepAddresses = changed.keepAddresses;
    current.logLevel = changed.logLevel;
    return current;
}

auto readGatewaySettings(const settings::Settings &settings) -> GatewaySettings
{
    return {
        .name = settings.text("gateway.name"),
        .failureDomain = settings.text("gateway.failure_domain"),
        .region = settings.text("gateway.region"),
        .callerAddress = settings.address("listen.caller"),
        .readinessAddress = settings.address("listen.readiness"),
        .addressesAddress = settings.address("listen.addresses"),
        .peerAddress = settings.address("listen.peer"),
        .metricsAddress = settings.address("listen.metrics"),
        .seeds = seedsOf(settings),
        .storeAddress = settings.address("platform.store"),
        .strength = strengthOf(settings),
        .memoryBytes = static_cast<std::size_t>(settings.number("vm.memory_mb") * BytesPerMegabyte),
        .descriptors = descriptorsOf(settings),
        .leaseTime = settings.duration("platform.lease_ms"),
        .dutyApi = dutyApiOf(settings),
        .duties = settings.text("duties.assigned"),
        .leaderLease = settings.duration("duties.leader_lease_ms"),
        .usageWindow = seconds(settings, "duties.usage_window_s"),
        .usageDue = seconds(settings, "duties.usage_due_s"),
        .keyWithdrawal = settings.duration("bounds.key_withdrawal_ms"),
        .configurationApply = settings.duration("bounds.configuration_apply_ms"),
        .leavingTime = seconds(settings, "bounds.leaving_s"),
        .retryRatio = settings.number("bounds.retry_ratio"),
        .retryWindow = seconds(settings, "bounds.retry_window_s"),
        .retryAllowance = settings.number("bounds.retry_allowance"),
        .keepAddresses = seconds(settings, "bounds.keep_addresses_s"),
        .engineModel = findValue(passthrough::EngineModelModes, settings.text("scheduling.engine_model")).value_or(passthrough::EngineModelMode::Auto),
        .logLevel = settings.text("log.level"),
    };
}

} // namespace auburnspread::gateway
