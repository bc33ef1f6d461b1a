/// \file
/// A fake plain service: runs each call it gets, counts what it ran and tells the caller what it saw.

#pragma once

#include "standins/delayedcalls.h"
#include "standins/httpserver.h"
#include "standins/service/executioncounts.h"

#include <string>

namespace auburnspread::standins
{

struct ServiceOptions {
    std::string name = "service";
    Address listen{ .ip = "127.0.0.1" };
    Address control{ .ip = "127.0.0.1" };
    Duration slow{};     ///< between running a call and answering it
    std::string journal; ///< file that keeps the counts over a restart; empty: none
};

class ServiceServer
{
public:
    ServiceServer(task::EventLoop &loop, const ServiceOptions &options);

    [[nodiscard]] auto server() const -> const HttpServer &;
    [[nodiscard]] auto control() const -> const HttpServer &;

private:
    struct Faults {
        Duration slow{};
        bool crashBefore = false; ///< the process dies before it runs the next call
        bool crashAfter = false;  ///< the process dies after it ran the next call, before it answers
        bool refuse = false;
    };

    std::string name_;
    ExecutionCounts executions_;
    Faults faults_;
    DelayedCalls delayed_;
    HttpServer server_;
    HttpServer control_;

    auto handle(const ExchangePointer &exchange) -> void;
    auto run(const HttpRequest &request) -> void;
    auto handleControl(const ExchangePointer &exchange) -> void;
    auto applyControlMessage(const nlohmann::json &message) -> void;
};

} // namespace auburnspread::standins
