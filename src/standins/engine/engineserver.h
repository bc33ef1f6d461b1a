/// \file
/// A fake model engine: serves the chat-completions, load and orders calls on one address and its faults on another.

#pragma once

#include "standins/answer.h"
#include "standins/engine/batch.h"
#include "standins/engine/cacheevents.h"
#include "standins/engine/chunkformat.h"
#include "standins/engine/enginefaults.h"
#include "standins/engine/executionlog.h"
#include "standins/engine/prefixcache.h"
#include "standins/engine/wantedstate.h"
#include "standins/engine/weightsclient.h"
#include "standins/httpserver.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::standins
{

struct EngineOptions {
    std::string name = "engine";
    Address listen{ .ip = "127.0.0.1" };
    Address control{ .ip = "127.0.0.1" };
    BatchOptions batch;
    Duration prefillPerThousand{}; ///< time of 1,000 prompt tokens that are not cached
    std::vector<ServedModel> models;
    bool checksFencing = false;
    Duration reportLag{};
    std::optional<Address> platform; ///< where weights come from; without it they are there at once
    std::size_t prefixCacheBlocks = 0;
    Duration cacheEventLag{}; ///< from a change of the prefix cache to its publication
};

class EngineServer
{
public:
    EngineServer(task::EventLoop &loop, EngineOptions options);

    [[nodiscard]] auto server() const -> const HttpServer &;
    [[nodiscard]] auto control() const -> const HttpServer &;

private:
    struct Stream {
        ExchangePointer exchange;
        Answer answer;
        std::string attempt;
        bool streaming = false;
        std::size_t firstToken = 0;
        std::size_t stopAfter = 0; ///< a truncated answer's last token; 0: the answer is whole
        std::size_t promptTokens = 0;
        std::size_t cachedTokens = 0;
        std::size_t sentTokens = 0;
    };

    struct LoadReport {
        std::size_t running = 0;
        std::size_t waiting = 0;
        double kvUsed = 0;
        TimePoint taken{};
    };

    task::EventLoop &loop_;
    EngineOptions options_;
    Batch batch_;
    EngineFaults faults_;
    PrefixCache cache_;
    CacheEvents cacheEvents_;
    WantedState wanted_;
    ExecutionLog executions_;
    std::optional<WeightsClient> weights_;
    std::map<BatchId, Stream> streams_;
    std::uint64_t lastId_ = 0;
    std::uint64_t chunksSent_ = 0;
    std::uint64_t answersStarted_ = 0;
    LoadReport report_;
    TimePoint nextStep_{};
    task::Watch stepTimer_;
    task::Watch reportTimer_;
    bool stepPlanned_ = false;
    bool idle_ = true;
    HttpServer server_;
    HttpServer control_;

    auto handle(const ExchangePointer &exchange) -> void;
    auto handleControl(const ExchangePointer &exchange) -> void;
    auto handleChat(const ExchangePointer &exchange) -> void;
    auto handleOrder(const ExchangePointer &exchange) -> void;
    auto loadModels() -> void;
    auto applyControlMessage(const nlohmann::json &message) -> void;

    auto startRequests() -> void;
    auto beginAnswer(BatchId id) -> void;
    auto planStep() -> void;
    auto step() -> void;
    auto sendToken(Stream &stream, std::size_t token) -> void;
    auto finish(BatchId id) -> void;
    auto cancel(BatchId id) -> void;
    [[nodiscard]] auto isCutNow(const Stream &stream) const -> bool;
    [[nodiscard]] static auto isTruncatedNow(const Stream &stream) -> bool;
    [[nodiscard]] auto otherStream(const Stream &stream) const -> const Stream *;

    auto takeReport() -> void;
    auto loadJson() -> nlohmann::json;
};

} // namespace auburnspread::standins
