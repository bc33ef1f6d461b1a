#include "apps/placer/statuspages.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace auburnspread::placer
{

auto readinessOf(const placement::PlacerState &state) -> Readiness
{
    if (state.stopping) {
        return { .ready = false, .text = "stopping" };
    }
    if (state.lease.fence && !state.documentConfirmed) {
        return { .ready = false, .text = "holds the lease, has no document yet" };
    }
    return { .ready = true, .text = state.lease.fence ? "holds the lease" : "stands by" };
}

auto statusJson(const std::string &name, const placement::PlacerStatus &status) -> nlohmann::json
{
    auto backends = nlohmann::json::array();
    for (const auto &server : status.servers) {
        backends.push_back({ { "backend", server.backend },
                             { "state", server.state },
                             { "wanted", server.wanted },
                             { "decision", server.decision },
                             { "detail", server.detail },
                             { "failures", server.failures } });
    }
    return { { "placer", name },
             { "holds_lease", status.holdsLease },
             { "fence", status.fence },
             { "configuration", { { "version", status.version } } },
             { "converged", status.converged },
             { "backends", backends } };
}

auto metricsText(const PlacerCounters &counters, const placement::PlacerStatus &status) -> std::string
{
    std::ostringstream text;
    text << "# TYPE auburnspread_placer_holds_lease gauge\nauburnspread_placer_holds_lease " << (status.holdsLease ? 1 : 0) << '\n';
    text << "# TYPE auburnspread_placer_fencing_number gauge\nauburnspread_placer_fencing_number " << status.fence << '\n';
    text << "# TYPE auburnspread_placer_configuration_version gauge\nauburnspread_placer_configuration_version " << status.version << '\n';
    text << "# TYPE auburnspread_placer_backends gauge\nauburnspread_placer_backends " << status.servers.size() << '\n';
    text << "# TYPE auburnspread_placer_backends_converged gauge\nauburnspread_placer_backends_converged " << status.converged << '\n';
    text << "# TYPE auburnspread_placer_orders_total counter\nauburnspread_placer_orders_total " << counters.orders << '\n';
    text << "# TYPE auburnspread_placer_decisions_total counter\n";
    for (const auto &[decision, name] : placement::decisionTable()) {
        const auto found = counters.decisions.find(decision);
        text << "auburnspread_placer_decisions_total{decision=\"" << name << "\"} " << (found == counters.decisions.end() ? 0 : found->second) << '\n';
    }
    text << "# TYPE auburnspread_placer_platform_calls_total counter\n";
    for (const auto &[call, count] : counters.platformCalls) {
        text << "auburnspread_placer_platform_calls_total{call=\"" << platform::callKindName(call.first) << "\",outcome=\""
             << platform::callOutcomeName(call.second) << "\"} " << count << '\n';
    }
    return text.str();
}

} // namespace auburnspread::placer
