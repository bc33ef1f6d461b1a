#include "apps/console/consolesettings.h"

#include "runtime/logging/logging.h"

#include <array>

namespace auburnspread::console
{

namespace
{

using settings::Key;
using settings::Kind;
using settings::Rule;

constexpr std::int64_t LeastSecretBytes = 16;
constexpr std::int64_t MostSecretBytes = 65'536;
constexpr std::int64_t Minute = 60'000;
constexpr std::int64_t Day = 86'400'000;

constexpr auto Keys = std::to_array<Key>({
    { .section = "listen", .name = "address", .kind = Kind::Address, .explanation = "Address for operators' browsers." },
    { .section = "platform", .name = "address", .kind = Kind::Address, .explanation = "Address of the platform's key-value service." },
    { .section = "operators",
      .name = "tokens",
      .kind = Kind::Secret,
      .range = { LeastSecretBytes, MostSecretBytes },
      .explanation = "Operators and their tokens of at least 16 characters: ana:TOKEN, ivo:TOKEN." },
    { .section = "entries",
      .name = "fallback",
      .kind = Kind::Addresses,
      .defaultValue = "",
      .explanation = "Admin addresses of entries to ask while the platform's service is out." },
    { .section = "entries",
      .name = "token",
      .kind = Kind::Secret,
      .defaultValue = "",
      .range = { 0, MostSecretBytes },
      .explanation = "Bearer token of the entries' admin side." },
    { .section = "entries",
      .name = "timeout_ms",
      .kind = Kind::Duration,
      .defaultValue = "2000",
      .range = { 1, Minute },
      .explanation = "Longest wait for one entry's answer." },
    { .section = "collection",
      .name = "interval_ms",
      .kind = Kind::Duration,
      .defaultValue = "21600000",
      .range = { Minute, Day },
      .explanation = "Time between two looks for parts of old documents; each look reads all parts." },
    { .section = "log", .name = "level", .kind = Kind::Choice, .defaultValue = "info", .choices = logging::LevelNames, .explanation = "Least level logged." },
    { .section = "log", .name = "file", .defaultValue = "", .explanation = "File that log lines are appended to; empty: standard error." },
});

auto hasOperators(const settings::Settings &settings) -> bool
{
    const auto operators = parseOperators(settings.secret("operators.tokens"));
    return operators && !operators->empty();
}

constexpr auto Rules = std::to_array<Rule>({
    { .section = "operators",
      .name = "tokens",
      .holds = hasOperators,
      .expected = "name:token pairs with commas between them, each token of at least 16 characters, each name once" },
});

} // namespace

auto consoleSchema() -> settings::Schema
{
    return { .keys = Keys, .rules = Rules };
}

auto readConsoleSettings(const settings::Settings &settings) -> ConsoleSettings
{
    return { .options = { .listenAddress = settings.address("listen.address"),
                          .platformAddress = settings.address("platform.address"),
                          .operators = parseOperators(settings.secret("operators.tokens")).value(),
                          .entries = { .fallbackAddresses = settings.addresses("entries.fallback"),
                                       .token = settings.secret("entries.token"),
                                       .timeout = settings.duration("entries.timeout_ms") },
                          .collectInterval = settings.duration("collection.interval_ms") },
             .logLevel = settings.text("log.level"),
             .logFile = settings.text("log.file") };
}

} // namespace auburnspread::console
