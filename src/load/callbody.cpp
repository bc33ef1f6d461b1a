#include "load/callbody.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace auburnspread::load
{

namespace
{

/// Words that stand for a prompt: the same for the same \p topic.
auto makeWords(const std::string &topic, std::uint32_t count) -> std::string
{
    constexpr std::size_t WordLength = 5;
    std::string words;
    for (std::uint32_t index = 0; index < count; ++index) {
        words += standins::hashText(topic, index).substr(0, WordLength) + ' ';
    }
    return words;
}

auto chatBody(const PlannedCall &call, const Flow &flow, const std::string &model, std::uint64_t seed) -> nlohmann::json
{
    const std::string own = flow.sameBody ? flow.name : flow.name + "-" + std::to_string(seed) + "-" + std::to_string(call.number);
    const std::string shared = call.workspace + "/" + std::to_string(call.prefix);
    const std::string opening = "Workspace " + shared + ": " + makeWords(shared, flow.prefixWords);
    const std::string question = "Call " + own + " " + flow.text + " " + makeWords(own, flow.promptWords);
    return { { "model", model },
             { "messages", { { { "role", "system" }, { "content", opening } }, { { "role", "user" }, { "content", question } } } },
             { "metadata", { { "answer_tokens", std::to_string(call.answerTokens) } } },
             { "stream", call.stream } };
}

auto serviceCallRepeatable(const Flow &flow, const configuration::Document &document) -> bool
{
    for (const auto &service : document.services) {
        if (service.name != flow.service) {
            continue;
        }
        for (const auto &known : service.calls) {
            if (known.method == flow.method && flow.path.starts_with(known.pathPrefix)) {
                return known.repeatable;
            }
        }
    }
    return false;
}

auto modelText(const configuration::RequestClass &requestClass, const configuration::Document &document, ModelForm form) -> std::string
{
    const auto &name = requestClass.models.front().model;
    const auto model = std::ranges::find(document.models, name, &configuration::Model::name);
    if (form == ModelForm::Plain || model == document.models.end()) {
        return name;
    }
    return name + ":" + model->versions.front();
}

} // namespace

auto findClass(const configuration::Document &document, const std::string &name) -> const configuration::RequestClass &
{
    const auto found = std::ranges::find(document.classes, name, &configuration::RequestClass::name);
    if (found == document.classes.end()) {
        throw ScenarioError("the document has no class '" + name + "'");
    }
    return *found;
}

auto buildCall(const PlannedCall &call, const Scenario &scenario, const configuration::Document &document, ModelForm form) -> BuiltCall
{
    const auto &flow = scenario.flows[call.flow];
    const auto &requestClass = findClass(document, flow.requestClass);
    const bool isService = !flow.service.empty();
    BuiltCall built;
    built.repeatable = flow.repeatable.value_or(isService ? serviceCallRepeatable(flow, document) : requestClass.repeatable);
    built.request.headers
        = { { "Auburnspread-Workspace", call.workspace }, { "Auburnspread-Class", flow.requestClass }, { "Content-Type", "application/json" } };
    if (flow.repeatable) {
        built.request.headers.emplace_back("Auburnspread-Repeatable", *flow.repeatable ? "yes" : "no");
    }
    if (isService || !built.repeatable || flow.repeats > 0) {
        built.key = flow.name + "-" + std::to_string(scenario.seed) + "-" + std::to_string(call.number);
        built.request.headers.emplace_back("Idempotency-Key", built.key);
    }
    if (isService) {
        built.request.method = flow.method;
        built.request.path = "/services/" + flow.service + flow.path;
        if (flow.method != "GET") {
            built.request.body = nlohmann::json{ { "call", built.key }, { "workspace", call.workspace } }.dump();
        }
        return built;
    }
    if (requestClass.models.empty()) {
        throw ScenarioError("class '" + flow.requestClass + "' has no model, and [flow." + flow.name + "] names no service");
    }
    const auto body = chatBody(call, flow, modelText(requestClass, document, form), scenario.seed);
    built.request.method = "POST";
    built.request.path = "/v1/chat/completions";
    built.request.body = body.dump();
    built.answer = standins::answerTo(body);
    return built;
}

} // namespace auburnspread::load
