/// \file
/// The process's log: one event a line, each a JSON object with time, level, event name and typed fields.
/// By convention the fields are called request, attempt, step, peer and reason wherever these are meant.
/// Every function may be called from any thread.

#pragma once

#include "core/base/nametable.h"
#include "core/base/time.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburnspread::logging
{

/// From the most to the least verbose.
enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

constexpr auto Levels = std::to_array<NamedValue<Level>>({
    { Level::Debug, "debug" },
    { Level::Info, "info" },
    { Level::Warning, "warning" },
    { Level::Error, "error" },
});
/// As a choice in a settings schema.
constexpr auto LevelNames = namesOf(Levels);

auto levelName(Level level) -> std::string_view;
auto levelFromName(std::string_view name) -> std::optional<Level>;

struct Options {
    Level level = Level::Info;
    std::string file;        ///< appended to; empty: stderr; StandardOutput: stdout
    int linesPerSecond = 50; ///< of one event name at info and above; the rest are counted and the count is logged
};

/// As Options::file: the log goes to standard output.
constexpr std::string_view StandardOutput = "-";

/// One typed field of an event.
class Field
{
public:
    using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

    Field(std::string_view name, std::string_view text)
        : name_(name)
        , value_(text)
    {
    }
    Field(std::string_view name, bool flag)
        : name_(name)
        , value_(flag)
    {
    }
    Field(std::string_view name, const char *text)
        : Field(name, std::string_view(text))
    {
    }
    Field(std::string_view name, std::signed_integral auto number)
        : name_(name)
        , value_(std::int64_t{ number })
    {
    }
    Field(std::string_view name, std::unsigned_integral auto number)
        : name_(name)
        , value_(std::uint64_t{ number })
    {
    }
    Field(std::string_view name, std::floating_point auto number)
        : name_(name)
        , value_(double{ number })
    {
    }

    [[nodiscard]] auto name() const -> std::string_view
    {
        return name_;
    }
    [[nodiscard]] auto value() const -> const Value &
    {
        return value_;
    }

private:
    std::string_view name_;
    Value value_;
};

/// Also takes over libevent's own messages, as events named libevent.
/// Throws std::runtime_error if the file cannot be written. Before the first call events of level info and above go to stderr.
auto configure(const Options &options) -> void;

/// Writes one event. Texts are cut at a kilobyte, so that nothing a peer sends can blow up the log.
auto event(Level level, std::string_view name, std::initializer_list<Field> fields = {}) -> void;

/// Whether event() would write at this level; saves the work of preparing fields.
auto isEnabled(Level level) -> bool;

auto currentLevel() -> Level;
auto setLevel(Level level) -> void;

/// One step more verbose, for SIGUSR1.
auto raiseLevel() -> void;
/// One step less verbose, for SIGUSR2.
auto lowerLevel() -> void;

/// Logs the counts of lines held back so far, and waits up to half a second for the reader of the log; to be called before the process
/// ends.
auto flush() -> void;

/// Interval at which writePending() is to be called.
constexpr Duration PendingInterval = std::chrono::milliseconds(100);
/// Writes the lines for which the reader of the log had no room so far, and states how many were dropped once it has read them.
auto writePending() -> void;
/// Lines dropped since the start because the reader of the log stood still. Their count is logged once it reads again.
auto droppedLines() -> std::uint64_t;

} // namespace auburnspread::logging
