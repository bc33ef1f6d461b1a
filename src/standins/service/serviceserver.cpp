#include "standins/service/serviceserver.h"

#include "standins/answer.h"
#include "standins/controlmessage.h"
#include "standins/crash.h"

#include <nlohmann/json.hpp>

namespace auburnspread::standins
{

ServiceServer::ServiceServer(task::EventLoop &loop, const ServiceOptions &options)
    : name_(options.name)
    , executions_(options.journal)
    , faults_{ .slow = options.slow }
    , delayed_(loop)
    , server_({ .loop = loop, .address = options.listen, .handle = [this](const auto &exchange) { handle(exchange); } })
    , control_({ .loop = loop, .address = options.control, .handle = [this](const auto &exchange) { handleControl(exchange); } })
{
}

auto ServiceServer::server() const -> const HttpServer &
{
    return server_;
}

auto ServiceServer::control() const -> const HttpServer &
{
    return control_;
}

auto ServiceServer::handle(const ExchangePointer &exchange) -> void
{
    if (faults_.refuse) {
        refuseNotStarted(exchange, "refused");
        return;
    }
    const auto &request = exchange->request();
    run(request);
    const auto id = request.header("x-request-id").value_or("");
    const nlohmann::json answer = { { "service", name_ }, { "path", request.path }, { "digest", hashText(request.body) }, { "id", id } };
    delayed_.callAfter(faults_.slow, [exchange, answer]() { exchange->replyJson(200, answer); });
}

auto ServiceServer::run(const HttpRequest &request) -> void
{
    if (faults_.crashBefore) {
        crashProcess();
    }
    if (const auto key = request.header("idempotency-key")) {
        executions_.count(*key);
    }
    if (faults_.crashAfter) {
        crashProcess();
    }
}

auto ServiceServer::handleControl(const ExchangePointer &exchange) -> void
{
    answerControl(exchange,
                  { .apply = [this](const auto &message) { applyControlMessage(message); },
                    .reportPath = "/control/executions",
                    .report = [this]() { return nlohmann::json(executions_.counts()); } });
}

auto ServiceServer::applyControlMessage(const nlohmann::json &message) -> void
{
    applyMembers(message,
                 { { "slow_ms", [&](const auto &value) { faults_.slow = readMilliseconds(value); } },
                   { "crash_before", [&](const auto &value) { value.get_to(faults_.crashBefore); } },
                   { "crash_after", [&](const auto &value) { value.get_to(faults_.crashAfter); } },
                   { "refuse", [&](const auto &value) { value.get_to(faults_.refuse); } },
                   { "silent", [&](const auto &value) { server_.setSilent(value.template get<bool>()); } } });
}

} // namespace auburnspread::standins
