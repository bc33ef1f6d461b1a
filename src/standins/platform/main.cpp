/// \file
/// fake-platform: a small stand-in for the platform's key-value service, list of VMs and store of weights.

#include "standins/platform/platformserver.h"
#include "standins/standinprogram.h"

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

auto optionTable(PlatformOptions &options) -> std::vector<CommandLineOption>
{
    return {
        { "name", "NAME", "for the reader of a process list", [](const auto &) {} },
        { "listen", "IP:PORT", "address of the platform's calls; port 0: any", [&](const auto &text) { options.listen = parseAddress(text); } },
        { "control", "IP:PORT", "address of the control calls", [&](const auto &text) { options.control = parseAddress(text); } },
        { "writes-per-second", "X", "more writes are answered 429; 0: no limit", [&](const auto &text) { options.writesPerSecond = parseDecimal(text); } },
        { "reads-per-second", "X", "more reads are answered 429; 0: no limit", [&](const auto &text) { options.readsPerSecond = parseDecimal(text); } },
        { "weights-ms", "X", "time one model's weights take", [&](const auto &text) { options.weightsTime = parseMilliseconds(text); } },
    };
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runStandin<PlatformServer, PlatformOptions>(argc, argv, optionTable);
}
