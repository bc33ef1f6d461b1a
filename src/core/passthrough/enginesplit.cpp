#include "core/passthrough/enginesplit.h"

#include "core/passthrough/internal/milliseconds.h"

#include <algorithm>
#include <cmath>

namespace auburnspread::passthrough
{

namespace
{

/// Time in which the remembered demand falls to a third: the split must not follow every gap between arrivals, because a
/// reader's engine that was lent to shortPrompts holds prompts of theirs to the end.
constexpr Duration DemandMemory = std::chrono::seconds(4);
/// Part of an engine's batch that shortPrompts fill; the rest is for the spread between engines. Each engine more for readers is a
/// sixtieth of a large fleet's reading: with 0.65, 3 in 100 fewer quotes were on time in its bursts. At 0.9 one short answer in ten more stutters.
constexpr double ShortPromptFill = 0.75;
/// Part of an engine's time that shortPrompts' prompts fill. Failure: prompts of a thousand tokens with short answers fill an engine's
/// time long before its batch. Symptom: the engines kept for them read all the time, and answers there reach their deadlines.
constexpr double ShortPromptReading = 0.5;
/// Readers keep at least this part of the engines, shortPrompts at most the rest.
constexpr double MostShortPromptPart = 0.6;

} // namespace

namespace
{

auto moveAverage(double &average, Duration value) -> void
{
    constexpr double Weight = 0.1;
    const auto milliseconds = detail::toMilliseconds(value);
    average = average == 0 ? milliseconds : average + Weight * (milliseconds - average);
}

/// Engines' time that shortPrompts take, by Little's law: as many arrive as are under way, divided by the time that each stays.
auto readingEngines(const EngineSplit &split) -> double
{
    return split.lifetimeMs == 0 ? 0 : split.shortPrompts * split.readingMs / split.lifetimeMs;
}

} // namespace

auto isShort(const Prompt &prompt) -> bool
{
    return prompt.tokens < LongPromptTokens;
}

auto noteShortPromptEnded(EngineSplit &split, Duration reading, Duration lifetime) -> void
{
    moveAverage(split.readingMs, reading);
    moveAverage(split.lifetimeMs, lifetime);
}

auto updateSplit(EngineSplit &split, const std::vector<ServerPointer> &servers, TimePoint now) -> void
{
    std::uint32_t shortPrompts = 0;
    std::uint32_t slots = 0;
    std::size_t usable = 0;
    for (const auto &server : servers) {
        shortPrompts += totalWork(*server).shortPrompts;
        if (isUsable(*server, now)) {
            slots += server->record.slots;
            usable += 1;
        }
    }
    const auto elapsed = std::chrono::duration<double>(now - split.updatedAt) / std::chrono::duration<double>(DemandMemory);
    split.shortPrompts = std::max<double>(shortPrompts, split.shortPrompts * std::exp(-elapsed));
    split.updatedAt = now;
    if (usable < 2 || split.shortPrompts < 1) {
        split.shortPromptEngines = 0;
        return;
    }
    const auto slotsEach = static_cast<double>(slots) / static_cast<double>(usable);
    const auto wanted = std::ceil(std::max(split.shortPrompts / (slotsEach * ShortPromptFill), readingEngines(split) / ShortPromptReading));
    const auto most = std::max(1.0, std::floor(static_cast<double>(usable) * MostShortPromptPart));
    split.shortPromptEngines = static_cast<std::size_t>(std::clamp(wanted, 1.0, most));
}

} // namespace auburnspread::passthrough
