/// \file
/// The entry process: assembles its tasks and runs them until it has drained.

#include "entry/accounting/accounting.h"
#include "entry/backend/backendtask.h"
#include "entry/caller/callertask.h"
#include "entry/control/controltask.h"
#include "entry/router/routertask.h"
#include "entry/settings/entrysettings.h"
#include "runtime/logging/logging.h"
#include "runtime/memory/allocator.h"
#include "runtime/settings/commandline.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <pthread.h>
#include <unistd.h>

using namespace auburnspread;

namespace
{

constexpr auto ProgramName = "auburnspread-entry";
constexpr int DefectExit = 3;

/// Differs for each run of the process, also on another VM that took over the name.
auto makeIncarnation() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

auto handledSignals() -> sigset_t
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const auto signal : { SIGTERM, SIGINT, SIGUSR1, SIGUSR2 }) {
        sigaddset(&signals, signal);
    }
    return signals;
}

/// Waits for signals: the first SIGTERM drains, a second one stops at once, SIGUSR1 and SIGUSR2 change the log level.
auto serveSignals(const sigset_t &signals, entry::Mailboxes &mailboxes) -> void
{
    auto draining = false;
    for (;;) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal == SIGUSR1) {
            logging::raiseLevel();
        } else if (signal == SIGUSR2) {
            logging::lowerLevel();
        } else if (draining) {
            logging::event(logging::Level::Warning, "stopped-before-drained");
            logging::flush();
            std::_Exit(EXIT_FAILURE);
        } else {
            draining = true;
            mailboxes.control.post(entry::DrainAsked{});
        }
    }
}

auto run(const entry::EntrySettings &settings) -> int
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const auto incarnation = makeIncarnation();
    const auto prefix = settings.name + "-" + std::to_string(incarnation);
    entry::Mailboxes mailboxes;
    entry::Accounting accounting;
    entry::CallerTask caller(
        {
            .address = settings.callerAddress,
            .publicPrefix = prefix,
            .headerBytes = settings.headerBytes,
            .bodyBytes = settings.bodyBytes,
            .connections = settings.connections,
            .streamBufferBytes = settings.streamBufferBytes,
            .memoryBytes = settings.memoryBytes,
            .readTimeout = settings.readTimeout,
            .idleTimeout = settings.idleTimeout,
            .refused = [&accounting](const routing::Refuse &refusal, const std::string &detail) { accounting.countRefusal(refusal, detail); },
        },
        mailboxes);
    entry::RouterTask router(
        {
            .router = {
                .entry = settings.name,
                .failureDomain = settings.failureDomain,
                .policy = settings.naive ? routing::Policy::Naive : routing::Policy::Standard,
                .seed = settings.seed,
            },
            .acted = [&accounting](const routing::Action &action) { accounting.countAction(action); },
        },
        mailboxes);
    entry::BackendTask backend({
                                   .attemptPrefix = prefix,
                                   .connectTimeout = settings.connectTimeout,
                                   .failed = [&accounting](const entry::AttemptReport &report) { accounting.countFailure(report); },
                                   .silent = [&accounting](const entry::AttemptReport &report) { accounting.countSilence(report); },
                               },
                               mailboxes);
    entry::ControlTask control({
                                   .settings = settings,
                                   .incarnation = incarnation,
                                   .metricsText = [&accounting]() { return accounting.text(); },
                                   .drained = [&caller]() { caller.stopWhenIdle(); },
                               },
                               mailboxes);
    caller.listen();
    logging::event(logging::Level::Info, "started", { { "entry", settings.name }, { "incarnation", incarnation }, { "caller", caller.address() } });

    std::thread(serveSignals, signals, std::ref(mailboxes)).detach();
    std::thread routerThread([&router]() { router.run(); });
    std::thread backendThread([&backend]() { backend.run(); });
    std::thread controlThread([&control]() { control.run(); });
    caller.run();
    control.stop();
    backend.stop();
    router.stop();
    controlThread.join();
    backendThread.join();
    routerThread.join();
    logging::event(logging::Level::Info, "ended", { { "entry", settings.name } });
    logging::flush();
    return EXIT_SUCCESS;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    memory::returnLargeBlocksAtOnce();
    try {
        const auto read = settings::readCommandLine(argc, argv, entry::entrySchema(), ProgramName, AUBURNSPREAD_VERSION);
        if (const auto *code = std::get_if<settings::ExitCode>(&read)) {
            return code->value;
        }
        const auto settings = entry::readEntrySettings(std::get<settings::Settings>(read));
        logging::configure({ .level = logging::levelFromName(settings.logLevel).value_or(logging::Level::Info), .file = settings.logFile });
        const auto code = run(settings);
        //! NOTE the signal thread still waits and uses objects of run(); leaving without static destructors ends it safely
        std::_Exit(code);
    } catch (const std::exception &error) {
        logging::event(logging::Level::Error, "not-started", { { "step", "start" }, { "error", error.what() } });
        return DefectExit;
    }
}
