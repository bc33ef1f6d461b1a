#include "standins/engine/enginefaults.h"

#include "standins/controlmessage.h"

#include <nlohmann/json.hpp>

namespace auburnspread::standins
{

auto applyControl(EngineFaults &faults, const nlohmann::json &message) -> EngineOrders
{
    EngineOrders orders;
    const ControlMembers members = {
        { "token_ms", [&](const auto &value) { orders.tokenTime = readMilliseconds(value); } },
        { "crash", [&](const auto &value) { value.get_to(orders.crash); } },
        { "silent", [&](const auto &value) { orders.silent = value.template get<bool>(); } },
        { "silence_open", [&](const auto &value) { value.get_to(orders.silenceOpen); } },
        { "slow_factor", [&](const auto &value) { value.get_to(faults.slowFactor); } },
        { "crash_on_text", [&](const auto &value) { value.get_to(faults.crashText); } },
        { "cut_after", [&](const auto &value) { value.get_to(faults.cutAfter); } },
        { "crossed_every", [&](const auto &value) { value.get_to(faults.crossedEvery); } },
        { "truncate_every", [&](const auto &value) { value.get_to(faults.truncateEvery); } },
        { "wrong_id_every", [&](const auto &value) { value.get_to(faults.wrongIdEvery); } },
        { "cache_gap_every", [&](const auto &value) { value.get_to(faults.cacheGapEvery); } },
        { "rubbish", [&](const auto &value) { value.get_to(faults.rubbish); } },
        { "refuse", [&](const auto &value) { value.get_to(faults.refuse); } },
        { "report_lie", [&](const auto &value) { value.get_to(faults.reportLie); } },
    };
    applyMembers(message, members);
    return orders;
}

} // namespace auburnspread::standins
