#include "entry/settings/entrysettings.h"

#include "runtime/logging/logging.h"
#include "runtime/settings/settings.h"

#include <array>
#include <string_view>

namespace auburnspread::entry
{

namespace
{

using settings::Key;
using settings::Kind;

constexpr std::int64_t LeastSecretBytes = 16;
constexpr std::int64_t MostSecretBytes = 1024;
constexpr std::int64_t Hour = 3'600'000;
constexpr std::int64_t MiB = 1'048'576;

constexpr auto Policies = std::to_array<std::string_view>({ "standard", "naive" });

constexpr auto Keys = std::to_array<Key>({
    { .section = "entry", .name = "name", .range = { 1, 64 }, .explanation = "Name of this entry, unique in the deployment." },
    { .section = "entry", .name = "failure_domain", .range = { 1, 64 }, .explanation = "Failure domain of this VM, as the configuration names it." },
    { .section = "entry", .name = "region", .defaultValue = "", .range = { 0, 64 }, .explanation = "Region of the failure domain." },
    { .section = "entry",
      .name = "policy",
      .kind = Kind::Choice,
      .defaultValue = "standard",
      .choices = Policies,
      .explanation = "Decision policy; naive is a baseline for measurements only and breaks promises." },
    { .section = "entry", .name = "seed", .kind = Kind::Integer, .defaultValue = "1", .range = { 0, 1'000'000'000 }, .explanation = "Seed of random choices." },
    { .section = "entry",
      .name = "drain_linger_ms",
      .kind = Kind::Duration,
      .defaultValue = "5000",
      .range = { 0, Hour },
      .explanation = "After its last request a draining entry redirects callers that kept an old address for this long." },
    { .section = "listen", .name = "caller", .kind = Kind::Address, .explanation = "Address for callers." },
    { .section = "listen", .name = "admin", .kind = Kind::Address, .explanation = "Address for operators: health, metrics, status, drain." },
    { .section = "listen", .name = "peer", .kind = Kind::Address, .explanation = "Address for other entries." },
    { .section = "platform", .name = "address", .kind = Kind::Address, .explanation = "Address of the platform's key-value service." },
    { .section = "platform",
      .name = "lease_ms",
      .kind = Kind::Duration,
      .defaultValue = "10000",
      .range = { 1000, Hour },
      .explanation = "Time to live of this entry's registration." },
    { .section = "peers",
      .name = "seeds",
      .kind = Kind::Addresses,
      .defaultValue = "",
      .explanation = "Peer addresses to ask when the platform's service is out." },
    { .section = "peers",
      .name = "secret",
      .kind = Kind::Secret,
      .range = { LeastSecretBytes, MostSecretBytes },
      .explanation = "Shared by all entries; peers prove that they know it." },
    { .section = "admin",
      .name = "token",
      .kind = Kind::Secret,
      .defaultValue = "",
      .range = { 0, MostSecretBytes },
      .explanation = "Bearer token that changes over the admin address must carry; empty refuses them except from loopback." },
    { .section = "limits",
      .name = "header_bytes",
      .kind = Kind::Bytes,
      .defaultValue = "16384",
      .range = { 1024, MiB },
      .explanation = "Longest header block of a request." },
    { .section = "limits",
      .name = "body_bytes",
      .kind = Kind::Bytes,
      .defaultValue = "1048576",
      .range = { 1024, 64 * MiB },
      .explanation = "Longest body of a request." },
    { .section = "limits",
      .name = "connections",
      .kind = Kind::Integer,
      .unit = "connections",
      .defaultValue = "4096",
      .range = { 1, 100'000 },
      .explanation = "Callers' connections open at once." },
    { .section = "limits",
      .name = "stream_buffer_bytes",
      .kind = Kind::Bytes,
      .defaultValue = "262144",
      .range = { 4096, 64 * MiB },
      .explanation = "Unsent bytes of one answer before its backend server is held back." },
    { .section = "limits",
      .name = "memory_mb",
      .kind = Kind::Integer,
      .unit = "mebibytes",
      .defaultValue = "88",
      .range = { 32, 1'000'000 },
      .explanation = "Memory of the VM. A quarter of it may be held for callers." },
    { .section = "limits",
      .name = "read_timeout_ms",
      .kind = Kind::Duration,
      .defaultValue = "10000",
      .range = { 100, Hour },
      .explanation = "A request must be complete within this time from its first byte." },
    { .section = "limits",
      .name = "idle_timeout_ms",
      .kind = Kind::Duration,
      .defaultValue = "60000",
      .range = { 100, Hour },
      .explanation = "A connection without a request is closed after this time." },
    { .section = "limits",
      .name = "connect_timeout_ms",
      .kind = Kind::Duration,
      .defaultValue = "1000",
      .range = { 10, Hour },
      .explanation = "A connection to a backend server must stand within this time." },
    { .section = "log",
      .name = "level",
      .kind = Kind::Choice,
      .defaultValue = "info",
      .choices = logging::LevelNames,
      .explanation = "Least level that is written." },
    { .section = "log", .name = "file", .defaultValue = "", .explanation = "File for the log; empty: standard error." },
});

} // namespace

auto entrySchema() -> settings::Schema
{
    return { .keys = Keys, .rules = {} };
}

namespace
{

/// One list of seeds serves all entries, so it may name this entry too.
auto otherSeeds(const settings::Settings &settings) -> std::vector<std::string>
{
    auto seeds = settings.addresses("peers.seeds");
    std::erase(seeds, settings.address("listen.peer"));
    return seeds;
}

} // namespace

auto readEntrySettings(const settings::Settings &settings) -> EntrySettings
{
    return {
        .name = settings.text("entry.name"),
        .failureDomain = settings.text("entry.failure_domain"),
        .region = settings.text("entry.region"),
        .naive = settings.text("entry.policy") == "naive",
        .seed = static_cast<std::uint64_t>(settings.integer("entry.seed")),
        .drainLinger = settings.duration("entry.drain_linger_ms"),
        .callerAddress = settings.address("listen.caller"),
        .adminAddress = settings.address("listen.admin"),
        .peerAddress = settings.address("listen.peer"),
        .platformAddress = settings.address("platform.address"),
        .leaseTime = settings.duration("platform.lease_ms"),
        .seeds = otherSeeds(settings),
        .peerSecret = settings.secret("peers.secret"),
        .adminToken = settings.secret("admin.token"),
        .headerBytes = settings.bytes("limits.header_bytes"),
        .bodyBytes = settings.bytes("limits.body_bytes"),
        .connections = static_cast<std::size_t>(settings.integer("limits.connections")),
        .streamBufferBytes = settings.bytes("limits.stream_buffer_bytes"),
        .memoryBytes = static_cast<std::size_t>(settings.integer("limits.memory_mb")) * MiB,
        .readTimeout = settings.duration("limits.read_timeout_ms"),
        .idleTimeout = settings.duration("limits.idle_timeout_ms"),
        .connectTimeout = settings.duration("limits.connect_timeout_ms"),
        .logLevel = settings.text("log.level"),
        .logFile = settings.text("log.file"),
    };
}

} // namespace auburnspread::entry
