/// \file
/// A fake of the platform: key-value service with sessions and blocking queries, list of VMs, store of weights; its
/// faults are switched on another address.

#pragma once

#include "standins/delayedcalls.h"
#include "standins/httpserver.h"
#include "standins/platform/callrate.h"
#include "standins/platform/store.h"
#include "standins/platform/vmlist.h"
#include "standins/platform/watchlist.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburnspread::standins
{

struct PlatformOptions {
    Address listen{ .ip = "127.0.0.1" };
    Address control{ .ip = "127.0.0.1" };
    double writesPerSecond = 0; ///< 0: no limit
    double readsPerSecond = 0;  ///< 0: no limit; a waiting query counts as one
    Duration weightsTime{};     ///< what one model's weights occupy the store; further ones wait their turn
};

/// Calls since the start.
struct CallCounts {
    std::uint64_t arrived = 0; ///< also those that a slow service has not yet looked at
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t transactions = 0;
    std::uint64_t sessions = 0;
    std::uint64_t vms = 0;
    std::uint64_t weights = 0;
    std::uint64_t limited = 0;
    std::uint64_t lostReplies = 0;
};

class PlatformServer
{
public:
    PlatformServer(task::EventLoop &loop, const PlatformOptions &options);

    [[nodiscard]] auto server() const -> const HttpServer &;
    [[nodiscard]] auto control() const -> const HttpServer &;

private:
    struct Faults {
        Duration slow{};
        std::uint64_t loseReplies = 0;
        std::string loseRepliesKey; ///< only writes of keys that begin with it lose their reply
        Duration vmLag{};
    };

    task::EventLoop &loop_;
    DelayedCalls delayed_;
    Store store_;
    VmList vms_;
    WatchList keyWatches_;
    WatchList vmWatches_;
    CallRate readRate_;
    CallRate writeRate_;
    Duration weightsTime_;
    TimePoint weightsFree_{};
    Faults faults_;
    CallCounts counts_;
    task::Watch expiry_;
    HttpServer server_;
    HttpServer control_;

    auto handle(const ExchangePointer &exchange) -> void;
    auto route(const ExchangePointer &exchange) -> void;
    auto handleControl(const ExchangePointer &exchange) -> void;
    auto applyControlMessage(const nlohmann::json &message) -> void;

    auto handleRead(const ExchangePointer &exchange) -> void;
    auto answerRead(const ExchangePointer &exchange) -> void;
    auto handlePut(const ExchangePointer &exchange) -> void;
    auto handleDelete(const ExchangePointer &exchange) -> void;
    auto handleTransaction(const ExchangePointer &exchange) -> void;
    auto handleSession(const ExchangePointer &exchange) -> void;
    auto handleVms(const ExchangePointer &exchange) -> void;
    auto answerVms(const ExchangePointer &exchange) -> void;
    auto handleWeights(const ExchangePointer &exchange) -> void;

    auto admits(CallRate &rate, const ExchangePointer &exchange) -> bool;
    auto answerWrite(const ExchangePointer &exchange, const std::string &key, const HttpReply &reply) -> void;
    auto wakeWatches() -> void;
    auto changeVmLater(const Vm &vm) -> void;
    auto endSessionNamed(const std::string &idOrName) -> void;
};

} // namespace auburnspread::standins
