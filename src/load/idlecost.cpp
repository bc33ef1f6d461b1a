#include "load/idlecost.h"

#include "load/callers.h"
#include "load/report.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace auburnspread::load
{

namespace
{

constexpr auto MemoryHold = std::chrono::seconds(4);
constexpr auto Patience = std::chrono::minutes(1);

auto oneFlow(const IdleCostOptions &options) -> Scenario
{
    Flow flow{ .name = "idle", .requestClass = options.requestClass };
    flow.giveUp = Patience;
    Scenario scenario{ .name = "idle" };
    scenario.flows.push_back(flow);
    return scenario;
}

auto workspacesOf(const Site &site, const std::string &requestClass) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &workspace : site.document.workspaces) {
        if (std::ranges::find(workspace.classes, requestClass) != workspace.classes.end()) {
            names.push_back(workspace.name);
        }
    }
    if (names.empty()) {
        throw ScenarioError("no workspace of the document may use class '" + requestClass + "'");
    }
    return names;
}

auto planAtOnce(const Site &site, const IdleCostOptions &options, std::uint32_t first, std::uint32_t count) -> std::vector<PlannedCall>
{
    const auto workspaces = workspacesOf(site, options.requestClass);
    std::vector<PlannedCall> plan;
    for (std::uint32_t number = first; number < first + count; ++number) {
        plan.push_back({ .number = number, .workspace = workspaces[number % workspaces.size()], .answerTokens = options.tokens });
    }
    return plan;
}

auto callOnce(const Site &site, const IdleCostOptions &options, const SiteProcess &target, std::uint32_t number) -> CallRecord
{
    task::EventLoop loop;
    const auto scenario = oneFlow(options);
    const auto plan = planAtOnce(site, options, number, 1);
    const auto form = target.kind == ProcessKind::Engine ? ModelForm::WithVersion : ModelForm::Plain;
    Callers callers(loop, scenario, site, { .direct = { target.address }, .form = form });
    callers.start(plan, [&loop]() { loop.stop(); });
    loop.run();
    return callers.takeRecords().front();
}

auto residentKb(const SiteProcess &process) -> std::uint64_t
{
    std::ifstream status("/proc/" + std::to_string(readPid(process)) + "/status");
    std::string field;
    while (status >> field) {
        if (field == "VmRSS:") {
            std::uint64_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    throw std::runtime_error("idle cost: no memory figure of " + process.name);
}

} // namespace

auto measureFirstByte(const Site &site, const IdleCostOptions &options) -> FirstByteCost
{
    constexpr std::uint32_t Warmup = 20;
    const auto engine = processesOf(site, ProcessKind::Engine).front();
    const auto entry = processesOf(site, ProcessKind::Entry).front();
    std::vector<Duration> direct;
    std::vector<Duration> routed;
    FirstByteCost cost;
    std::uint32_t number = 0;
    for (std::uint32_t round = 0; round < options.calls + Warmup; ++round) {
        for (auto *samples : { &direct, &routed }) {
            const auto record = callOnce(site, options, samples == &direct ? engine : entry, number++);
            if (record.result() != CallResult::Answered || !record.firstToken) {
                ++cost.failed;
                continue;
            }
            if (round >= Warmup) {
                samples->push_back(*record.firstToken);
            }
        }
    }
    cost.direct = percentilesOf(std::move(direct)).p50;
    cost.routed = percentilesOf(std::move(routed)).p50;
    return cost;
}

auto measureStreamMemory(const Site &site, const IdleCostOptions &options) -> StreamMemory
{
    const auto entry = processesOf(site, ProcessKind::Entry).front();
    const auto scenario = oneFlow(options);
    const auto plan = planAtOnce(site, options, 0, options.calls);
    StreamMemory memory{ .beforeKb = residentKb(entry) };
    task::EventLoop loop;
    Callers callers(loop, scenario, site, { .direct = { entry.address } });
    callers.start(plan, [&loop]() { loop.stop(); });
    const auto sample = loop.after(MemoryHold, [&]() {
        memory.opened = static_cast<std::uint32_t>(callers.open());
        memory.begun = static_cast<std::uint32_t>(callers.begun());
        memory.openKb = residentKb(entry);
        callers.giveUpAll();
    });
    loop.run();
    return memory;
}

} // namespace auburnspread::load
