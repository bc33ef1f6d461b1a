#include "runtime/logging/logging.h"

#include "runtime/logging/floodlimit.h"
#include "runtime/logging/internal/jsonline.h"
#include "runtime/logging/internal/lineoutput.h"
#include "runtime/task/eventloop.h"

#include <event2/event.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <unistd.h>
#include <utility>
#include <vector>

namespace auburnspread::logging
{

namespace
{

constexpr std::string_view SuppressedEvent = "log-lines-suppressed";
constexpr std::string_view DroppedEvent = "log-lines-dropped";
/// Longest wait for the reader of the log before the process ends.
constexpr Duration FlushTimeout = std::chrono::milliseconds(500);

auto toLog4cxx(Level level) -> log4cxx::LevelPtr
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

/// Passes lines to standard output or standard error. log4cxx's own appender waits for the reader, and its asynchronous one waits at its
/// end for as long as the reader stands still.
class OutputAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit OutputAppender(std::shared_ptr<detail::LineOutput> output)
        : output_(std::move(output))
    {
    }

    auto close() -> void override {}
    [[nodiscard]] auto requiresLayout() const -> bool override
    {
        return false;
    }

protected:
    auto append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool & /*pool*/) -> void override
    {
        output_->write(event->getRenderedMessage());
    }

private:
    std::shared_ptr<detail::LineOutput> output_;
};

auto makeOutput(const std::string &file) -> std::shared_ptr<detail::LineOutput>
{
    if (!file.empty() && file != StandardOutput) {
        return nullptr;
    }
    return std::make_shared<detail::LineOutput>(file.empty() ? STDERR_FILENO : STDOUT_FILENO);
}

/// The message is the whole JSON line: log4cxx's JSONLayout carries texts only, not typed fields.
auto makeFileAppender(const std::string &file) -> log4cxx::AppenderPtr
{
    // log4cxx reports a file that cannot be opened on stderr only and goes on without a log
    if (!std::ofstream(file, std::ios::app).is_open()) {
        throw std::runtime_error("logging: cannot append to " + file);
    }
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    return std::make_shared<log4cxx::FileAppender>(layout, file, true, false, 0);
}

/// A hierarchy of its own: the default one would look for configuration files in the working directory.
class Log
{
public:
    Log()
        : hierarchy_(log4cxx::Hierarchy::create())
        , logger_(hierarchy_->getRootLogger())
        , limit_(Options{}.linesPerSecond)
    {
        hierarchy_->setConfigured(true);
        apply(Options{});
    }

    auto apply(const Options &options) -> void
    {
        const auto output = makeOutput(options.file);
        const log4cxx::AppenderPtr appender = output ? std::make_shared<OutputAppender>(output) : makeFileAppender(options.file);
        const std::lock_guard lock(mutex_);
        output_ = output;
        logger_->removeAllAppenders();
        logger_->addAppender(appender);
        limit_ = FloodLimit(options.linesPerSecond);
        setLevelLocked(options.level);
    }

    auto setLevel(Level level) -> void
    {
        const std::lock_guard lock(mutex_);
        setLevelLocked(level);
    }

    [[nodiscard]] auto level() const -> Level
    {
        return level_.load(std::memory_order_relaxed);
    }

    /// Writes unless the name floods; debug lines were asked for and are never held back.
    auto write(Level level, std::string_view name, std::initializer_list<Field> fields) -> void;
    auto flush() -> void;
    auto writePending() -> void;
    [[nodiscard]] auto droppedLines() -> std::uint64_t;

private:
    auto setLevelLocked(Level level) -> void
    {
        level_.store(level, std::memory_order_relaxed);
        logger_->setLevel(toLog4cxx(level));
    }

    auto writeSuppressed(const std::vector<Suppressed> &suppressed) -> void;
    auto output() -> std::shared_ptr<detail::LineOutput>;
    auto writeLine(Level level, std::string_view name, std::initializer_list<Field> fields) -> void;

    std::mutex mutex_;
    log4cxx::HierarchyPtr hierarchy_;
    log4cxx::LoggerPtr logger_;
    std::shared_ptr<detail::LineOutput> output_; ///< null: the log goes to a file
    std::atomic<Level> level_{ Level::Info };
    FloodLimit limit_;
};

auto Log::write(Level level, std::string_view name, std::initializer_list<Field> fields) -> void
{
    std::vector<Suppressed> suppressed;
    bool isAdmitted = true;
    if (level != Level::Debug) {
        const std::lock_guard lock(mutex_);
        const auto now = task::monotonicNow();
        isAdmitted = limit_.admit(name, now);
        suppressed = limit_.takeEnded(now);
    }
    writeSuppressed(suppressed);
    if (isAdmitted) {
        writeLine(level, name, fields);
    }
}

auto Log::flush() -> void
{
    std::vector<Suppressed> suppressed;
    {
        const std::lock_guard lock(mutex_);
        suppressed = limit_.takeAll();
    }
    writeSuppressed(suppressed);
    if (const auto open = output()) {
        open->flush(FlushTimeout);
    }
}

auto Log::output() -> std::shared_ptr<detail::LineOutput>
{
    const std::lock_guard lock(mutex_);
    return output_;
}

auto Log::writePending() -> void
{
    const auto open = output();
    if (!open) {
        return;
    }
    open->writePending();
    if (const auto count = open->takeDropped(); count > 0) {
        writeLine(Level::Error, DroppedEvent, { { "count", count } });
    }
}

auto Log::droppedLines() -> std::uint64_t
{
    const auto open = output();
    return open ? open->dropped() : 0;
}

auto Log::writeSuppressed(const std::vector<Suppressed> &suppressed) -> void
{
    for (const auto &item : suppressed) {
        writeLine(Level::Error, SuppressedEvent, { { "name", item.name }, { "count", item.count } });
    }
}

auto Log::writeLine(Level level, std::string_view name, std::initializer_list<Field> fields) -> void
{
    logger_->log(toLog4cxx(level), detail::formatLine(level, name, fields), log4cxx::spi::LocationInfo::getLocationUnavailable());
}

// never destroyed: tasks may still log while the process's statics end
auto log() -> Log &
{
    static auto *const instance = std::make_unique<Log>().release();
    return *instance;
}

auto fromLibevent(int severity) -> Level
{
    switch (severity) {
    case EVENT_LOG_ERR:
        return Level::Error;
    case EVENT_LOG_WARN:
        return Level::Warning;
    case EVENT_LOG_MSG:
        return Level::Info;
    default:
        return Level::Debug;
    }
}

auto takeLibeventLine(int severity, const char *text) -> void
{
    event(fromLibevent(severity), "libevent", { { "text", text } });
}

} // namespace

auto levelName(Level level) -> std::string_view
{
    return findName(Levels, level);
}

auto levelFromName(std::string_view name) -> std::optional<Level>
{
    return findValue(Levels, name);
}

auto configure(const Options &options) -> void
{
    log().apply(options);
    event_set_log_callback(takeLibeventLine);
}

auto event(Level level, std::string_view name, std::initializer_list<Field> fields) -> void
{
    if (isEnabled(level)) {
        log().write(level, name, fields);
    }
}

auto isEnabled(Level level) -> bool
{
    return level >= log().level();
}

auto currentLevel() -> Level
{
    return log().level();
}

auto setLevel(Level level) -> void
{
    log().setLevel(level);
}

auto raiseLevel() -> void
{
    const auto wanted = std::max(static_cast<int>(currentLevel()) - 1, static_cast<int>(Level::Debug));
    setLevel(static_cast<Level>(wanted));
}

auto lowerLevel() -> void
{
    const auto wanted = std::min(static_cast<int>(currentLevel()) + 1, static_cast<int>(Level::Error));
    setLevel(static_cast<Level>(wanted));
}

auto flush() -> void
{
    log().flush();
}

auto writePending() -> void
{
    log().writePending();
}

auto droppedLines() -> std::uint64_t
{
    return log().droppedLines();
}

} // namespace auburnspread::logging
