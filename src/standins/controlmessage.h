/// \file
/// The JSON object by which a control address switches faults.

#pragma once

#include "core/base/time.h"
#include "standins/httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>

namespace auburnspread::standins
{

/// What each known member of the message does with its value.
using ControlMembers = std::map<std::string, std::function<void(const nlohmann::json &)>>;

/// Applies every member of \p message.
/// \throws std::invalid_argument on an unknown member, nlohmann::json::exception on one of the wrong type.
auto applyMembers(const nlohmann::json &message, const ControlMembers &members) -> void;

/// How a control address answers.
struct ControlCalls {
    std::function<void(const nlohmann::json &)> apply; ///< `POST /control`
    std::string reportPath;
    std::function<nlohmann::json()> report; ///< `GET` of the report's path
};

auto answerControl(const ExchangePointer &exchange, const ControlCalls &calls) -> void;

/// A number of milliseconds, also a fraction.
auto readMilliseconds(const nlohmann::json &value) -> Duration;

} // namespace auburnspread::standins
