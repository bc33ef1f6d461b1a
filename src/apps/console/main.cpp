/// \file
/// auburnspread-console: operators' forms in a web page. Keeps no state that is not in the platform's service.

#include "apps/console/consolesettings.h"
#include "runtime/logging/logging.h"
#include "runtime/memory/allocator.h"
#include "runtime/settings/commandline.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

using namespace auburnspread;

namespace
{

/// A descriptor that becomes readable on SIGTERM and SIGINT, which are blocked for it.
auto openSignals() -> int
{
    auto signals = sigset_t();
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

auto serve(const console::ConsoleSettings &settings) -> void
{
    auto loop = task::EventLoop();
    auto console = console::Console(loop, settings.options);
    const auto address = console.listen();
    logging::event(logging::Level::Info, "listening", { { "address", address } });
    const auto signals = openSignals();
    auto isStopping = false;
    const auto watch = loop.whenReadable(signals, [&] {
        auto received = signalfd_siginfo();
        if (read(signals, &received, sizeof(received)) < 0) {
            return;
        }
        // The first signal lets answers under way end, the second one does not wait for them.
        if (std::exchange(isStopping, true)) {
            loop.stop();
        } else {
            console.stop([&loop] { loop.stop(); });
        }
    });
    const auto pendingLines = loop.every(logging::PendingInterval, logging::writePending);
    loop.run();
    close(signals);
    logging::event(logging::Level::Info, "stopped");
}

} // namespace

auto main(int argc, char **argv) -> int
{
    memory::returnLargeBlocksAtOnce();
    try {
        const auto parsed = settings::readCommandLine(argc, argv, console::consoleSchema(), "auburnspread-console", AUBURNSPREAD_VERSION);
        if (const auto *const exit = std::get_if<settings::ExitCode>(&parsed)) {
            return exit->value;
        }
        const auto settings = console::readConsoleSettings(std::get<settings::Settings>(parsed));
        logging::configure({ .level = logging::levelFromName(settings.logLevel).value(), .file = settings.logFile });
        serve(settings);
        logging::flush();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "auburnspread-console: " << error.what() << "\n";
        return 1;
    }
}
