#include "standins/controlmessage.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace auburnspread::standins
{

auto applyMembers(const nlohmann::json &message, const ControlMembers &members) -> void
{
    for (const auto &[name, value] : message.items()) {
        const auto member = members.find(name);
        if (member == members.end()) {
            throw std::invalid_argument("unknown control '" + name + "'");
        }
        member->second(value);
    }
}

auto answerControl(const ExchangePointer &exchange, const ControlCalls &calls) -> void
{
    const auto &request = exchange->request();
    if (request.method == "POST" && request.path == "/control") {
        calls.apply(nlohmann::json::parse(request.body));
        exchange->replyJson(200, nlohmann::json::object());
    } else if (request.method == "GET" && request.path == calls.reportPath) {
        exchange->replyJson(200, calls.report());
    } else {
        replyNoSuchCall(exchange);
    }
}

auto readMilliseconds(const nlohmann::json &value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value.get<double>()));
}

} // namespace auburnspread::standins
