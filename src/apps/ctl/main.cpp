/// \file
/// auburnspreadctl: checks, compares and submits the configuration document, and shows and steers the entries.

#include "apps/ctl/commands.h"

#include <exception>
#include <iostream>

using namespace auburnspread::ctl;

auto main(int argc, char **argv) -> int
{
    try {
        const auto parsed = parseCommandLine(argc, argv);
        if (const auto *const exit = std::get_if<Exit>(&parsed)) {
            (exit->code == ExitCode::Done ? std::cout : std::cerr) << exit->output;
            return static_cast<int>(exit->code);
        }
        return static_cast<int>(run(std::get<Invocation>(parsed), std::cout, std::cerr));
    } catch (const std::exception &error) {
        std::cerr << "auburnspreadctl: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Unreachable);
    }
}
