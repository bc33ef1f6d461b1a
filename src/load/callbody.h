/// \file
/// The bytes of a planned call: headers, path and body, and the answer that must come back.

#pragma once

#include "load/arrivals.h"
#include "load/callrecord.h"
#include "load/httpclient.h"
#include "load/scenario.h"
#include "standins/answer.h"

#include <string>

namespace auburnspread::load
{

/// A planned call made concrete.
struct BuiltCall {
    HttpRequest request;     ///< without an address
    standins::Answer answer; ///< of a model call
    std::string key;         ///< idempotency key; empty: none sent
    bool repeatable = true;
};

/// Engines are asked for a model with its version; callers name only the model.
enum class ModelForm {
    Plain,
    WithVersion,
};

/// \p document gives the class's default model and repeatability.
auto buildCall(const PlannedCall &call, const Scenario &scenario, const configuration::Document &document, ModelForm form) -> BuiltCall;

/// The class called \p name. \throws ScenarioError
auto findClass(const configuration::Document &document, const std::string &name) -> const configuration::RequestClass &;

} // namespace auburnspread::load
