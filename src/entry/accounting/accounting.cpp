#include "entry/accounting/accounting.h"

#include "runtime/logging/logging.h"

#include <sstream>
#include <string_view>
#include <utility>
#include <variant>

namespace auburnspread::entry
{

namespace
{

auto writeHead(std::ostream &output, std::string_view name, std::string_view help) -> void
{
    output << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " counter\n";
}

auto writeFailures(std::ostream &output, std::string_view name, std::string_view help, const std::vector<std::uint64_t> &counts) -> void
{
    writeHead(output, name, help);
    for (const auto &entry : failureTable()) {
        output << name << "{reason=\"" << entry.name << "\"} " << counts.at(static_cast<std::size_t>(entry.value)) << '\n';
    }
}

} // namespace

Accounting::Accounting(std::string entry)
    : entry_(std::move(entry))
    , refusals_(reasonTable().size())
    , retries_(failureTable().size())
    , failures_(failureTable().size())
{
}

auto Accounting::countRefusal(const routing::Refuse &refusal, const std::string &detail) -> void
{
    {
        const std::lock_guard lock(mutex_);
        ++refusals_.at(static_cast<std::size_t>(refusal.reason));
    }
    logging::event(logging::Level::Info,
                   "refused",
                   {
                       { "request", static_cast<std::uint64_t>(refusal.request) },
                       { "reason", entryOf(refusal.reason).name },
                       { "outcome", outcomeName(refusal.outcome) },
                       { "step", refusal.step },
                       { "peer", refusal.peer },
                       { "detail", detail },
                   });
}

auto Accounting::countAction(const routing::Action &action) -> void
{
    const std::lock_guard lock(mutex_);
    if (std::holds_alternative<routing::Dispatch>(action)) {
        ++dispatches_;
    } else if (const auto *retried = std::get_if<routing::Retried>(&action)) {
        ++retries_.at(static_cast<std::size_t>(retried->failure));
    } else if (const auto *completed = std::get_if<routing::Completed>(&action)) {
        auto &counters = classes_[completed->requestClass];
        ++counters.completed;
        counters.onTime += completed->onTime ? 1 : 0;
        counters.tokens += completed->tokens;
    }
}

auto Accounting::countFailure(const AttemptReport &report) -> void
{
    {
        const std::lock_guard lock(mutex_);
        ++failures_.at(static_cast<std::size_t>(report.failure));
        wastedTokens_ += report.wastedTokens;
    }
    logging::event(logging::Level::Warning,
                   "attempt-failed",
                   {
                       { "request", report.request },
                       { "attempt", report.attempt },
                       { "step", "relay" },
                       { "peer", report.backend },
                       { "reason", failureName(report.failure) },
                       { "wasted_tokens", report.wastedTokens },
                   });
}

auto Accounting::text() const -> std::string
{
    const std::lock_guard lock(mutex_);
    std::ostringstream output;
    writeHead(output, "auburnspread_refusals_total", "Refusals by reason.");
    for (const auto &entry : reasonTable()) {
        output << "auburnspread_refusals_total{reason=\"" << entry.name << "\"} " << refusals_.at(static_cast<std::size_t>(entry.reason)) << '\n';
    }
    writeFailures(output, "auburnspread_retries_total", "Retries by the failure that led to them.", retries_);
    writeFailures(output, "auburnspread_attempt_failures_total", "Failed attempts by failure.", failures_);
    writeHead(output, "auburnspread_dispatches_total", "Attempts sent to backend servers.");
    output << "auburnspread_dispatches_total " << dispatches_ << '\n';
    writeHead(output, "auburnspread_wasted_tokens_total", "Tokens received and not relayed.");
    output << "auburnspread_wasted_tokens_total " << wastedTokens_ << '\n';
    writeHead(output, "auburnspread_completed_total", "Answers completed by class.");
    for (const auto &[name, counters] : classes_) {
        output << "auburnspread_completed_total{class=\"" << name << "\"} " << counters.completed << '\n';
    }
    writeHead(output, "auburnspread_on_time_total", "Answers completed within their class's targets.");
    for (const auto &[name, counters] : classes_) {
        output << "auburnspread_on_time_total{class=\"" << name << "\"} " << counters.onTime << '\n';
    }
    writeHead(output, "auburnspread_tokens_total", "Tokens of completed answers by class.");
    for (const auto &[name, counters] : classes_) {
        output << "auburnspread_tokens_total{class=\"" << name << "\"} " << counters.tokens << '\n';
    }
    return output.str();
}

} // namespace auburnspread::entry
