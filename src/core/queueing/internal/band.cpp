#include "core/queueing/internal/band.h"

#include <algorithm>

namespace auburnspread::queueing::detail
{

namespace
{

auto removeFlow(Band &band, WorkspaceId workspace) -> void
{
    const auto place = band.flows.find(workspace);
    band.turns.erase(place->second.turn);
    band.weights -= place->second.weight;
    band.flows.erase(place);
    if (band.flows.empty()) {
        band.largestCost = 1;
    }
}

} // namespace

auto insertInto(Band &band, const WaitingRequest &request) -> void
{
    const auto [place, isNew] = band.flows.try_emplace(request.workspace);
    auto &flow = place->second;
    if (isNew) {
        flow.turn = band.turns.insert(band.turns.end(), request.workspace);
    }
    band.weights -= isNew ? 0 : flow.weight;
    flow.weight = std::max<std::uint32_t>(request.workspaceWeight, 1);
    band.weights += flow.weight;
    band.waiting += 1;
    band.byOrder.emplace(request.order, request.request);
    flow.requests.emplace(Flow::Key{ request.deadline, request.order }, request.request);
    band.largestCost = std::max(band.largestCost, request.cost);
}

auto eraseFrom(Band &band, const WaitingRequest &request) -> bool
{
    const auto place = band.flows.find(request.workspace);
    if (place == band.flows.end() || place->second.requests.erase({ request.deadline, request.order }) == 0) {
        return false;
    }
    band.byOrder.erase(request.order);
    band.waiting -= 1;
    if (place->second.requests.empty()) {
        removeFlow(band, request.workspace);
    }
    return true;
}

auto takeFrom(Band &band, const std::unordered_map<RequestId, WaitingRequest> &requests) -> RequestId
{
    const auto workspace = band.turns.front();
    auto &flow = band.flows.at(workspace);
    if (flow.deficit <= 0) {
        flow.deficit += static_cast<std::int64_t>(band.largestCost) * flow.weight;
    }
    const auto first = flow.requests.begin();
    const auto request = first->second;
    band.byOrder.erase(first->first.second);
    flow.requests.erase(first);
    band.waiting -= 1;
    flow.deficit -= requests.at(request).cost;
    if (flow.requests.empty()) {
        removeFlow(band, workspace);
    } else if (flow.deficit <= 0) {
        band.turns.splice(band.turns.end(), band.turns, flow.turn);
    }
    return request;
}

} // namespace auburnspread::queueing::detail
