/// \file
/// Continuous batching: a fixed number of slots that all advance by one token a step, and a queue ordered by priority.
/// Pure: time is an argument.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburnspread::standins
{

/// Number of a request within one engine, in order of arrival.
enum class BatchId : std::uint64_t {};

struct BatchOptions {
    std::size_t slots = 8;
    std::optional<std::size_t> queue;                   ///< most waiting requests; unbounded if absent
    Duration tokenTime = std::chrono::milliseconds(20); ///< a step's time with an empty batch
    Duration timePerRequest{};                          ///< what each running request adds to a step
};

struct BatchRequest {
    BatchId id{};
    int urgency = 3;            ///< 0 first
    std::size_t nextToken = 0;  ///< where the answer begins or resumes
    std::size_t tokenCount = 0; ///< where it ends
    std::size_t promptTokens = 0;
    Duration prefill{}; ///< from the start to the first token
    TimePoint ready{};  ///< set at the start
};

/// What a step made for one request.
struct BatchOutput {
    BatchId id{};
    std::optional<std::size_t> token; ///< index of the token made
    bool finished = false;            ///< the slot is free again
};

struct Batch {
    BatchOptions options;
    std::vector<BatchRequest> running;
    std::map<std::pair<int, BatchId>, BatchRequest> waiting;
};

/// Whether \p batch has neither a slot nor a place in the queue for another request.
auto isFull(const Batch &batch) -> bool;

auto enqueue(Batch &batch, const BatchRequest &request) -> void;

/// Moves waiting requests into free slots, the most urgent first, and names them.
auto startWaiting(Batch &batch, TimePoint now) -> std::vector<BatchId>;

/// Time until the next step at \p slowFactor times the usual pace.
auto stepTime(const Batch &batch, double slowFactor) -> Duration;

/// When the first of the running requests can make a token; \p batch must run some.
auto firstReady(const Batch &batch) -> TimePoint;

/// Advances every running request whose prefill is over by one token.
auto runStep(Batch &batch, TimePoint now) -> std::vector<BatchOutput>;

/// Forgets the request; its slot or place in the queue is free at once.
auto removeRequest(Batch &batch, BatchId id) -> void;

/// Tokens whose keys and values the running requests hold.
auto heldTokens(const Batch &batch) -> std::size_t;

} // namespace auburnspread::standins
