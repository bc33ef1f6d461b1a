#include "load/executions.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace auburnspread::load
{

namespace
{

constexpr auto ReadTimeout = std::chrono::seconds(2);
constexpr int StatusOk = 200;

auto parseExecution(const std::string &engine, const nlohmann::json &item) -> Execution
{
    return { .engine = engine,
             .attempt = item.value("id", ""),
             .digest = item.value("digest", ""),
             .started = item.value("started", false),
             .finished = item.value("finished", false),
             .tokens = item.value("tokens", 0U) };
}

} // namespace

/// One reading of all logs.
struct ExecutionReader::Round {
    struct Reading {
        int status = 0;
        std::string body;
        bool ended = false;
        HttpCallPointer call;
    };
    std::vector<Reading> readings;
    std::size_t open = 0;
    std::function<void()> onDone;
    task::Watch timeout;
};

ExecutionReader::ExecutionReader(task::EventLoop &loop, const Site &site)
    : loop_(loop)
    , client_(loop)
    , standIns_(processesOf(site, ProcessKind::Engine))
{
    std::ranges::copy(processesOf(site, ProcessKind::Service), std::back_inserter(standIns_));
}

ExecutionReader::~ExecutionReader() = default;

auto ExecutionReader::readAll(std::function<void()> onDone) -> void
{
    auto round = std::make_shared<Round>();
    round->readings.resize(standIns_.size());
    round->open = standIns_.size();
    round->onDone = std::move(onDone);
    round_ = round;
    const std::weak_ptr<Round> weak = round;
    const auto finish = [this, weak]() {
        const auto done = weak.lock();
        if (!done) {
            return;
        }
        unreadable_.clear();
        for (std::size_t index = 0; index < standIns_.size(); ++index) {
            if (!done->readings[index].ended || done->readings[index].status != StatusOk) {
                unreadable_.push_back(standIns_[index].name);
            }
        }
        round_.reset();
        if (done->onDone) {
            done->onDone();
        }
    };
    round->timeout = loop_.after(ReadTimeout, finish);
    for (std::size_t index = 0; index < standIns_.size(); ++index) {
        auto &reading = round->readings[index];
        reading.call = client_.start({ .address = standIns_[index].control, .path = "/control/executions" },
                                     { .onHead = [weak, index](const HttpHead &head) { weak.lock()->readings[index].status = head.status; },
                                       .onBody = [weak, index](std::string_view bytes) { weak.lock()->readings[index].body += bytes; },
                                       .onEnd =
                                           [this, weak, index, finish](HttpEnd end) {
                                               const auto current = weak.lock();
                                               auto &ended = current->readings[index];
                                               ended.ended = end == HttpEnd::Complete;
                                               if (ended.ended && ended.status == StatusOk) {
                                                   takeLog(standIns_[index], ended.body);
                                               }
                                               if (--current->open == 0) {
                                                   finish();
                                               }
                                           } });
    }
}

auto ExecutionReader::takeLog(const SiteProcess &process, const std::string &body) -> void
{
    const auto log = nlohmann::json::parse(body, nullptr, false);
    if (log.is_discarded()) {
        return;
    }
    if (process.kind == ProcessKind::Engine) {
        startedByRound_[process.name].push_back(static_cast<std::uint32_t>(log.size()));
        for (const auto &item : log) {
            const auto execution = parseExecution(process.name, item);
            executions_[process.name + '/' + execution.attempt + '/' + execution.digest] = execution;
        }
        return;
    }
    for (const auto &[key, count] : log.items()) {
        auto &runs = serviceRuns_[{ process.name, key }];
        runs = std::max(runs, count.get<std::uint32_t>());
    }
}

auto ExecutionReader::logs() const -> ExecutionLogs
{
    ExecutionLogs logs{ .startedByRound = startedByRound_, .unreadable = unreadable_ };
    for (const auto &[place, execution] : executions_) {
        logs.engines.push_back(execution);
    }
    for (const auto &[place, runs] : serviceRuns_) {
        logs.serviceRuns[place.second] += runs;
    }
    return logs;
}

} // namespace auburnspread::load
