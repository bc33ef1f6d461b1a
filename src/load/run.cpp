#include "load/run.h"

#include "load/arrivals.h"
#include "load/callers.h"
#include "load/executions.h"
#include "load/faults.h"

#include <fstream>

namespace auburnspread::load
{

namespace
{

constexpr auto LogInterval = std::chrono::seconds(1);
/// After the last answer, so that engines notice closed connections before their logs are read.
constexpr auto LogDelay = std::chrono::milliseconds(300);

auto callersOptions(const Site &site, const RunOptions &options) -> CallersOptions
{
    CallersOptions made;
    if (!options.direct) {
        return made;
    }
    made.form = ModelForm::WithVersion;
    for (const auto &engine : processesOf(site, ProcessKind::Engine)) {
        made.direct.push_back(engine.address);
    }
    return made;
}

} // namespace

auto runScenario(const Scenario &scenario, const Site &site, const RunOptions &options) -> RunReport
{
    task::EventLoop loop;
    const auto plan = planCalls(scenario, site.document);
    Callers callers(loop, scenario, site, callersOptions(site, options));
    FaultRunner faults(loop, scenario, site);
    ExecutionReader reader(loop, site);

    auto polling = loop.every(LogInterval, [&reader]() { reader.readAll({}); });
    task::Watch settling;
    task::Watch reading;
    const auto finish = [&]() {
        settling = {};
        polling = {};
        reading = loop.after(LogDelay, [&]() { reader.readAll([&loop]() { loop.stop(); }); });
    };
    settling = loop.after(scenario.duration + scenario.settle, [&]() { callers.giveUpAll(); });
    callers.start(plan, finish);
    if (plan.empty()) {
        finish();
    }
    faults.start();
    loop.run();
    auto calls = callers.takeRecords();
    if (!options.callsFile.empty()) {
        std::ofstream(options.callsFile) << toJsonLines(calls, scenario);
    }
    return makeReport({ .scenario = &scenario,
                        .document = &site.document,
                        .policy = site.policy,
                        .calls = std::move(calls),
                        .logs = reader.logs(),
                        .faults = faults.records() });
}

} // namespace auburnspread::load
