#include "apps/placer/ordercodec.h"

#include <nlohmann/json.hpp>

namespace auburnspread::placer
{

namespace
{

using nlohmann::json;

auto encodeModels(const placement::Variants &variants) -> json
{
    auto models = json::array();
    for (const auto &served : placement::servedModelsOf(variants)) {
        models.push_back({ { "model", served.model }, { "version", served.version }, { "adapters", served.adapters } });
    }
    return models;
}

/// \throws nlohmann::json::exception
auto decodeModels(const json &models) -> placement::Variants
{
    std::vector<configuration::ServedModel> served;
    for (const auto &model : models) {
        served.push_back({ .model = model.at("model").get<std::string>(),
                           .version = model.at("version").get<std::string>(),
                           .adapters = model.value("adapters", std::vector<std::string>{}) });
    }
    return placement::variantsOf(served);
}

} // namespace

auto encodeOrder(const placement::SendOrder &order) -> std::string
{
    return json{ { "fence", order.fence }, { "role", placement::roleName(order.state.role) }, { "models", encodeModels(order.state.variants) } }.dump();
}

auto decodeReport(std::string_view body) -> std::optional<placement::ServerReport>
{
    try {
        const auto report = json::parse(body);
        return placement::ServerReport{ .fence = report.at("fence").get<placement::FencingNumber>(),
                                        .state = { .role = placement::roleFromName(report.at("role").get<std::string>()),
                                                   .variants = decodeModels(report.at("models")) },
                                        .loading = decodeModels(report.value("loading", json::array())) };
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

auto decodeCurrentFence(std::string_view body) -> placement::FencingNumber
{
    const auto answer = json::parse(body, nullptr, false);
    const bool isNumber = answer.is_object() && answer.contains("fence") && answer["fence"].is_number_unsigned();
    return isNumber ? answer["fence"].get<placement::FencingNumber>() : 0;
}

} // namespace auburnspread::placer
