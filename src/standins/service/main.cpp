/// \file
/// fake-service: a small stand-in for a plain service.

#include "standins/service/serviceserver.h"
#include "standins/standinprogram.h"

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

auto optionTable(ServiceOptions &options) -> std::vector<CommandLineOption>
{
    return {
        { "name", "NAME", "name told in each answer", [&](const auto &text) { options.name = text; } },
        { "listen", "IP:PORT", "address of the service's calls; port 0: any", [&](const auto &text) { options.listen = parseAddress(text); } },
        { "control", "IP:PORT", "address of the control calls", [&](const auto &text) { options.control = parseAddress(text); } },
        { "slow-ms", "X", "time of each call", [&](const auto &text) { options.slow = parseMilliseconds(text); } },
        { "journal", "FILE", "keep the counts of executions over a restart", [&](const auto &text) { options.journal = text; } },
    };
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runStandin<ServiceServer, ServiceOptions>(argc, argv, optionTable);
}
