#include "gateway/usagereports.h"

#include "gateway/election.h"
#include "platform/store.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace auburnspread::gateway
{

namespace
{

using adapter::DutyOutcome;
using adapter::StoreOutcome;
using nlohmann::json;

/// Key of the record that fixes the counts of the latest windows.
constexpr std::string_view RecordKey = "auburnspread/counted";

/// The era is that of the term in which the record is written.
auto encodeRecord(const usage::Record &record, std::uint64_t era) -> std::string
{
    auto windows = json::array();
    for (const auto &[window, counts] : record) {
        windows.push_back({ window, json(counts) });
    }
    return json{ { "era", era }, { "windows", std::move(windows) } }.dump();
}

struct WrittenRecord {
    usage::Record windows;
    std::uint64_t era = 0; ///< of the store when it was written
};

/// Earlier versions wrote the windows alone.
auto decodeRecord(const std::string &text) -> WrittenRecord
{
    const auto document = json::parse(text);
    WrittenRecord record{ .era = document.is_object() ? document.at("era").get<std::uint64_t>() : 0 };
    for (const auto &window : document.is_object() ? document.at("windows") : document) {
        record.windows[window.at(0).get<usage::Window>()] = window.at(1).get<usage::Counts>();
    }
    return record;
}

auto totalRequests(const usage::Counts &counts) -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto &[workspace, count] : counts) {
        sum += count;
    }
    return sum;
}

} // namespace

UsageReports::UsageReports(task::EventLoop &loop, UsageOptions options, UsageCallbacks callbacks)
    : options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , client_(loop)
    , state_(usage::makeState(options_.windows))
{
}

auto UsageReports::recordStart(const std::string &workspace, TimePoint at) -> void
{
    if (!workspace.empty()) {
        usage::recordStart(tally_, workspace, usage::windowAt(clock_.at(at), options_.windows.windowLength));
    }
}

auto UsageReports::makeReport() -> usage::Report
{
    const auto current = usage::windowAt(clock_.at(now()), options_.windows.windowLength);
    auto report = usage::makeReport(tally_, options_.entry, options_.incarnation, current, ++reportNumber_);
    handleReport(report);
    usage::removeSilentEntries(state_.ledger, current);
    return report;
}

auto UsageReports::handleReport(const usage::Report &report) -> void
{
    usage::applyReport(state_.ledger, report);
}

auto UsageReports::beginTerm(std::uint64_t token) -> void
{
    apply(usage::TermBegun{ .token = token });
}

auto UsageReports::endTerm() -> void
{
    apply(usage::TermEnded{});
}

auto UsageReports::tick(const std::set<std::string> &entries) -> void
{
    apply(usage::Tick{ .time = clock_.at(now()), .entries = entries });
}

auto UsageReports::calls() const -> std::uint64_t
{
    return calls_;
}

auto UsageReports::apply(const usage::Event &event) -> void
{
    for (const auto &action : usage::step(state_, event, now())) {
        std::visit([this](const auto &each) { execute(each); }, action);
    }
}

auto UsageReports::execute(const usage::ReadRecord &action) -> void
{
    calls_ += 1;
    client_.fetch(adapter::makeRange(options_.store, RecordKey, ""), [this, call = action.call](const http::Result &result) { handleRecord(call, result); });
}

auto UsageReports::handleRecord(std::uint64_t call, const http::Result &result) -> void
{
    const auto isDone = adapter::outcomeOf(result) == StoreOutcome::Done;
    const auto items = isDone ? adapter::decodeItems(std::get<http::Response>(result)) : std::nullopt;
    if (!items) {
        apply(usage::RecordCallFailed{ .call = call });
        return;
    }
    usage::RecordRead read{ .call = call, .time = clock_.at(now()) };
    try {
        for (const auto &item : items->items) {
            if (item.key == RecordKey) {
                const auto record = decodeRecord(item.value);
                read.record = record.windows;
                read.revision = item.revision.number;
                read.mayBeIncomplete = record.era != 0 && record.era < item.revision.era;
            }
        }
    } catch (const json::exception &error) {
        callbacks_.onInvalid("usage record", error.what());
        apply(usage::RecordCallFailed{ .call = call });
        return;
    }
    apply(read);
}

auto UsageReports::execute(const usage::WriteRecord &action) -> void
{
    constexpr std::uint64_t NoLease = 0;
    const std::vector<adapter::StoreCondition> conditions{
        { .key = std::string(RecordKey), .revision = action.expectedRevision },
        { .key = std::string(LeaderKey), .revision = leadership::claimNumberOf(action.token) },
    };
    calls_ += 1;
    const auto request
        = adapter::makeConditionalPut(options_.store, conditions, RecordKey, encodeRecord(action.record, leadership::eraOf(action.token)), NoLease);
    client_.fetch(request, [this, call = action.call](const http::Result &result) {
        const auto isDone = adapter::outcomeOf(result) == StoreOutcome::Done;
        const auto revision = isDone ? adapter::decodeRevision(std::get<http::Response>(result)) : std::nullopt;
        if (revision) {
            apply(usage::RecordWritten{ .call = call, .revision = revision->number });
        } else {
            apply(usage::RecordCallFailed{ .call = call });
        }
    });
}

auto UsageReports::execute(const usage::Send &action) -> void
{
    const adapter::DutyCaller caller{ .api = options_.api, .entry = options_.entry, .token = action.token };
    calls_ += 1;
    client_.fetch(adapter::makeUsageReport(caller, action.window, action.counts),
                  [this, action](const http::Result &result) { handleSendResult(action, result); });
}

auto UsageReports::handleSendResult(const usage::Send &action, const http::Result &result) -> void
{
    const auto outcome = adapter::dutyOutcomeOf(result);
    callbacks_.onWindowOutcome(action.window, adapter::dutyOutcomeName(outcome), totalRequests(action.counts));
    if (outcome == DutyOutcome::Done) {
        apply(usage::Sent{ .window = action.window });
    } else {
        apply(usage::SendFailed{ .window = action.window });
    }
    if (outcome == DutyOutcome::Declined) {
        callbacks_.onTokenRefused(action.token);
    }
}

auto UsageReports::execute(const usage::SkippedWindows &action) -> void
{
    for (auto window = action.first; window <= action.last; ++window) {
        callbacks_.onWindowOutcome(window, "left-out", 0);
    }
}

} // namespace auburnspread::gateway
