/// \file
/// What the stand-ins' main functions share: command line, event loop, the line that tells the addresses.

#pragma once

#include "standins/commandline.h"
#include "standins/httpserver.h"

#include <cstdio>
#include <exception>
#include <vector>

namespace auburnspread::standins
{

/// Runs \p Server with the options of the command line until the process is killed. Gives the exit status.
template <typename Server, typename Options>
auto runStandin(int argc, char **argv, std::vector<CommandLineOption> (*optionTable)(Options &)) -> int
{
    try {
        Options options;
        if (!applyCommandLine(argc, argv, optionTable(options))) {
            return 0;
        }
        task::EventLoop loop;
        const Server server(loop, options);
        announce(server.server(), server.control());
        loop.run();
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", argv[0], error.what());
        return 1;
    }
}

} // namespace auburnspread::standins
