#include "standins/engine/batch.h"

#include <algorithm>

namespace auburnspread::standins
{

auto isFull(const Batch &batch) -> bool
{
    const auto &options = batch.options;
    return options.queue && batch.running.size() + batch.waiting.size() >= options.slots + *options.queue;
}

auto enqueue(Batch &batch, const BatchRequest &request) -> void
{
    batch.waiting.emplace(std::pair(request.urgency, request.id), request);
}

auto startWaiting(Batch &batch, TimePoint now) -> std::vector<BatchId>
{
    std::vector<BatchId> started;
    while (!batch.waiting.empty() && batch.running.size() < batch.options.slots) {
        auto request = batch.waiting.extract(batch.waiting.begin()).mapped();
        request.ready = now + request.prefill;
        started.push_back(request.id);
        batch.running.push_back(request);
    }
    return started;
}

auto stepTime(const Batch &batch, double slowFactor) -> Duration
{
    const auto time = batch.options.tokenTime + batch.options.timePerRequest * batch.running.size();
    return std::chrono::duration_cast<Duration>(time * slowFactor);
}

auto firstReady(const Batch &batch) -> TimePoint
{
    const auto isEarlier = [](const BatchRequest &left, const BatchRequest &right) { return left.ready < right.ready; };
    return std::min_element(batch.running.begin(), batch.running.end(), isEarlier)->ready;
}

auto runStep(Batch &batch, TimePoint now) -> std::vector<BatchOutput>
{
    std::vector<BatchOutput> outputs;
    for (auto &request : batch.running) {
        if (now < request.ready) {
            continue;
        }
        BatchOutput output{ .id = request.id };
        if (request.nextToken < request.tokenCount) {
            output.token = request.nextToken++;
        }
        output.finished = request.nextToken >= request.tokenCount;
        outputs.push_back(output);
    }
    std::erase_if(batch.running, [now](const BatchRequest &request) { return now >= request.ready && request.nextToken >= request.tokenCount; });
    return outputs;
}

auto removeRequest(Batch &batch, BatchId id) -> void
{
    std::erase_if(batch.running, [id](const BatchRequest &request) { return request.id == id; });
    std::erase_if(batch.waiting, [id](const auto &entry) { return entry.second.id == id; });
}

auto heldTokens(const Batch &batch) -> std::size_t
{
    std::size_t tokens = 0;
    for (const auto &request : batch.running) {
        tokens += request.promptTokens + request.nextToken;
    }
    return tokens;
}

} // namespace auburnspread::standins
