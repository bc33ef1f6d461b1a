#include "core/passthrough/internal/exiting.h"

#include "core/passthrough/internal/ending.h"
#include "core/passthrough/internal/silence.h"

#include <algorithm>
#include <vector>

namespace auburnspread::passthrough::detail
{

namespace
{

/// In the order of their arrival.
template <typename Predicate>
auto requestsWhere(const RouterState &state, Predicate isWanted) -> std::vector<RequestId>
{
    std::vector<RequestId> found;
    for (const auto &[id, request] : state.requests) {
        if (isWanted(request)) {
            found.push_back(id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace

auto refuseWaitingRequests(RouterState &state, Actions &actions) -> void
{
    const auto isWanted = [&state](const Request &request) {
        const auto mayOutlastEntry = !state.leaving || request.deadline > state.leaving->exitAt;
        return request.stage != Stage::Running && !request.mayHaveRun && !request.answerBegun && mayOutlastEntry;
    };
    for (const auto id : requestsWhere(state, isWanted)) {
        endWithoutAnswer(state, state.requests.at(id), Reason::Draining, actions);
    }
}

auto endUnansweredRequests(RouterState &state, Actions &actions) -> void
{
    for (const auto id : requestsWhere(state, [](const Request &request) { return !request.answerBegun && !request.callerGone; })) {
        auto &request = state.requests.at(id);
        request.mayHaveRun = request.mayHaveRun || request.stage == Stage::Running;
        cancelAttempts(state, request, actions);
        endWithoutAnswer(state, request, Reason::Draining, actions);
    }
}

} // namespace auburnspread::passthrough::detail
