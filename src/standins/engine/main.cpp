/// \file
/// fake-engine: a small stand-in for a model engine.

#include "standins/engine/engineserver.h"
#include "standins/standinprogram.h"

using namespace auburnspread;
using namespace auburnspread::standins;

namespace
{

auto optionTable(EngineOptions &options) -> std::vector<CommandLineOption>
{
    return {
        { "name", "NAME", "name told by /health", [&](const auto &text) { options.name = text; } },
        { "listen", "IP:PORT", "address of the engine's calls; port 0: any", [&](const auto &text) { options.listen = parseAddress(text); } },
        { "control", "IP:PORT", "address of the control calls", [&](const auto &text) { options.control = parseAddress(text); } },
        { "slots", "N", "requests that run together", [&](const auto &text) { options.batch.slots = parseCount(text); } },
        { "queue", "N", "most requests that wait; more are refused", [&](const auto &text) { options.batch.queue = parseCount(text); } },
        { "token-ms", "X", "time of a step", [&](const auto &text) { options.batch.tokenTime = parseMilliseconds(text); } },
        { "pace-per-request",
          "X",
          "milliseconds each running request adds to a step",
          [&](const auto &text) { options.batch.timePerRequest = parseMilliseconds(text); } },
        { "prefill-ms-per-1k", "X", "time of 1,000 prompt tokens", [&](const auto &text) { options.prefillPerThousand = parseMilliseconds(text); } },
        { "models", "LIST", "name:version[:adapter],...; without it every model is served", [&](const auto &text) { options.models = parseModels(text); } },
        { "checks-fencing", "", "refuse orders with an older fencing number", [&](const auto &) { options.checksFencing = true; } },
        { "report-lag-ms", "X", "age of load reports", [&](const auto &text) { options.reportLag = parseMilliseconds(text); } },
        { "platform", "IP:PORT", "where weights come from", [&](const auto &text) { options.platform = parseAddress(text); } },
        { "prefix-cache", "N", "blocks of 64 bytes in the prefix cache", [&](const auto &text) { options.prefixCacheBlocks = parseCount(text); } },
        { "cache-event-lag-ms",
          "X",
          "time from a change of the prefix cache to its publication",
          [&](const auto &text) { options.cacheEventLag = parseMilliseconds(text); } },
    };
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return runStandin<EngineServer, EngineOptions>(argc, argv, optionTable);
}
