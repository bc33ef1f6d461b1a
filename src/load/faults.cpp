#include "load/faults.h"

#include <csignal>

namespace auburnspread::load
{

namespace
{

constexpr int LeastSuccess = 200;
constexpr int LeastRedirect = 300;

auto sendSignal(const SiteProcess &process, int signal) -> bool
{
    const int pid = readPid(process);
    return pid > 1 && ::kill(pid, signal) == 0;
}

/// Replaces "{engine-4}" in an admin path by that process's name.
auto namePlaces(const Site &site, std::string path) -> std::string
{
    const auto open = path.find('{');
    const auto close = path.find('}', open);
    if (open == std::string::npos || close == std::string::npos) {
        return path;
    }
    const auto target = findTargets(site, path.substr(open + 1, close - open - 1)).front();
    return path.replace(open, close - open + 1, target.name);
}

} // namespace

FaultRunner::FaultRunner(task::EventLoop &loop, const Scenario &scenario, const Site &site)
    : loop_(loop)
    , client_(loop)
{
    for (const auto &fault : scenario.faults) {
        for (const auto &name : fault.targets) {
            for (const auto &target : findTargets(site, name)) {
                blows_.push_back({ .fault = fault, .target = target });
                blows_.back().fault.admin = namePlaces(site, fault.admin);
                records_.push_back({ .name = fault.name, .at = fault.at, .target = target.name, .address = target.address, .kills = fault.signal == SIGKILL });
            }
        }
    }
}

auto FaultRunner::start() -> void
{
    for (std::size_t index = 0; index < blows_.size(); ++index) {
        timers_.push_back(loop_.after(blows_[index].fault.at, [this, index]() { strike(index); }));
    }
}

auto FaultRunner::strike(std::size_t index) -> void
{
    const auto &[fault, target] = blows_[index];
    if (fault.signal != 0) {
        records_[index].applied = sendSignal(target, fault.signal);
        return;
    }
    if (!fault.admin.empty()) {
        post(target.control, fault.admin, {}, index);
        return;
    }
    post(target.control, "/control", fault.post, index);
}

auto FaultRunner::post(const std::string &address, const std::string &path, const std::string &body, std::size_t index) -> void
{
    const HttpRequest request{ .address = address, .method = "POST", .path = path, .headers = { { "Content-Type", "application/json" } }, .body = body };
    calls_.push_back(
        client_.start(request,
                      { .onHead = [this, index](const HttpHead &head) { records_[index].applied = head.status >= LeastSuccess && head.status < LeastRedirect; },
                        .onEnd =
                            [this, index](HttpEnd end) {
                                // a crash is carried out by a process that dies before it answers
                                records_[index].applied = records_[index].applied || end == HttpEnd::Broken;
                            } }));
}

auto FaultRunner::records() const -> const std::vector<FaultRecord> &
{
    return records_;
}

} // namespace auburnspread::load
