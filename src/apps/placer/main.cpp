/// \file
/// The placer process: reads its settings and runs its task until SIGTERM.

#include "apps/placer/placersettings.h"
#include "apps/placer/placertask.h"
#include "runtime/logging/logging.h"
#include "runtime/memory/allocator.h"
#include "runtime/settings/commandline.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <sys/signalfd.h>
#include <variant>

using namespace auburnspread;

namespace
{

constexpr auto ProgramName = "auburnspread-placer";
constexpr int DefectExit = 3;

/// A descriptor that becomes readable at each SIGTERM or SIGINT. It lives as long as the process.
auto openStopDescriptor() -> int
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

auto run(const placer::PlacerSettings &settings) -> void
{
    const int stopDescriptor = openStopDescriptor();
    placer::PlacerTask task(settings);
    logging::event(logging::Level::Info, "started", { { "placer", settings.name }, { "admin", task.adminAddress() } });
    task.run(stopDescriptor);
    logging::event(logging::Level::Info, "ended", { { "placer", settings.name } });
    logging::flush();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    memory::returnLargeBlocksAtOnce();
    try {
        const auto read = settings::readCommandLine(argc, argv, placer::placerSchema(), ProgramName, AUBURNSPREAD_VERSION);
        if (const auto *code = std::get_if<settings::ExitCode>(&read)) {
            return code->value;
        }
        const auto settings = placer::readPlacerSettings(std::get<settings::Settings>(read));
        logging::configure({ .level = logging::levelFromName(settings.logLevel).value_or(logging::Level::Info), .file = settings.logFile });
        run(settings);
        return EXIT_SUCCESS;
    } catch (const std::exception &error) {
        logging::event(logging::Level::Error, "not-started", { { "step", "start" }, { "error", error.what() } });
        return DefectExit;
    }
}
