/// \file
/// Main program of the pass-through entry.

#include "gateway/gateway.h"
#include "gateway/settings/gatewaysettings.h"
#include "runtime/logging/logging.h"
#include "runtime/memory/allocator.h"
#include "runtime/settings/commandline.h"
#include "runtime/task/eventloop.h"

#include <event2/event.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <utility>
#include <variant>

using namespace auburnspread;

namespace
{

constexpr auto ProgramName = "auburnspread-gateway";
constexpr int StartFailureExit = 3;
constexpr int LogLinesPerSecond = 200; ///< limit for each event name: about twice the number of attempts that a VM sends in a burst

auto onSignal(task::EventLoop &loop, int signal, std::function<void()> &action) -> task::EventPointer
{
    const auto callback = [](evutil_socket_t /*signal*/, short /*what*/, void *context) { (*static_cast<std::function<void()> *>(context))(); };
    task::EventPointer watch(evsignal_new(loop.base(), signal, callback, &action));
    event_add(watch.get(), nullptr);
    return watch;
}

auto readSettings(int argc, char **argv) -> std::variant<settings::Settings, settings::ExitCode>
{
    return settings::readCommandLine(argc, argv, gateway::gatewaySchema(), ProgramName, AUBURNSPREAD_VERSION);
}

/// Applies the reloadable settings; the others take effect at the next start. Invalid settings change nothing.
auto reloadSettings(gateway::Gateway &entry, int argc, char **argv) -> void
{
    const auto read = readSettings(argc, argv);
    const auto *valid = std::get_if<settings::Settings>(&read);
    if (valid == nullptr) {
        logging::event(logging::Level::Warning, "settings-reread", { { "valid", false } });
        return;
    }
    const auto changed = gateway::readGatewaySettings(*valid);
    const auto isFullyApplied = entry.applySettings(changed);
    logging::setLevel(logging::levelFromName(changed.logLevel).value_or(logging::Level::Info));
    logging::event(logging::Level::Info, "settings-reread", { { "valid", true }, { "needs_restart", !isFullyApplied } });
}

/// Polls the settings file, which may change without a signal. Calls \p onChanged once for each change, also if the file became
/// invalid.
class SettingsFileWatch
{
public:
    SettingsFileWatch(task::EventLoop &loop, int argc, char **argv, std::function<void()> onChanged)
        : text_(settings::readSettingsFile(argc, argv))
        , timer_(loop.every(Interval, [this, argc, argv, onChanged = std::move(onChanged)]() {
            auto text = settings::readSettingsFile(argc, argv);
            if (std::exchange(text_, text) != text) {
                onChanged();
            }
        }))
    {
    }

private:
    static constexpr Duration Interval = std::chrono::seconds(1); // half of the shortest time within which a changed file must take effect

    std::string text_;
    task::Watch timer_;
};

auto run(const gateway::GatewaySettings &settings, int argc, char **argv) -> void
{
    task::EventLoop loop;
    gateway::Gateway entry(loop, settings);
    std::function<void()> drain = [&]() { entry.drain([&loop]() { loop.stop(); }); };
    std::function<void()> reload = [&entry, argc, argv]() { reloadSettings(entry, argc, argv); };
    const SettingsFileWatch fileWatch(loop, argc, argv, reload);
    const auto onTerminate = onSignal(loop, SIGTERM, drain);
    const auto onInterrupt = onSignal(loop, SIGINT, drain);
    const auto onHangup = onSignal(loop, SIGHUP, reload);
    const auto pendingLines = loop.every(logging::PendingInterval, logging::writePending);
    logging::event(logging::Level::Info, "started", { { "entry", settings.name }, { "caller", entry.callerAddress() } });
    entry.start();
    loop.run();
    logging::event(logging::Level::Info, "ended", { { "entry", settings.name } });
    logging::flush();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    memory::returnLargeBlocksAtOnce();
    try {
        const auto read = readSettings(argc, argv);
        if (const auto *code = std::get_if<settings::ExitCode>(&read)) {
            return code->value;
        }
        const auto settings = gateway::readGatewaySettings(std::get<settings::Settings>(read));
        logging::configure({
            .level = logging::levelFromName(settings.logLevel).value_or(logging::Level::Info),
            .file = std::string(logging::StandardOutput),
            .linesPerSecond = LogLinesPerSecond,
        });
        run(settings, argc, argv);
        return EXIT_SUCCESS;
    } catch (const std::exception &error) {
        logging::event(logging::Level::Error, "not-started", { { "step", "start" }, { "error", error.what() } });
        return StartFailureExit;
    }
}
