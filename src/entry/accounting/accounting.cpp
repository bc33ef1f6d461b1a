#include "entry/accounting/accounting.h"

#include "runtime/logging/logging.h"
#include "runtime/metrics/prometheus.h"

#include <variant>

namespace auburnspread::entry
{

namespace
{

constexpr metrics::Description Dispatches{ .name = "auburnspread_dispatches_total", .help = "Attempts sent to backend servers." };
constexpr metrics::Description Resumed{ .name = "auburnspread_resumed_streams_total", .help = "Retries that went on at an offset." };
constexpr metrics::Description WastedTokens{ .name = "auburnspread_wasted_tokens_total", .help = "Tokens received from backend servers and not relayed." };
constexpr metrics::Description Completed{ .name = "auburnspread_completed_total", .help = "Whole answers by class." };
constexpr metrics::Description OnTime{ .name = "auburnspread_on_time_total", .help = "Whole answers within their class's targets." };
constexpr metrics::Description Tokens{ .name = "auburnspread_tokens_total", .help = "Tokens of whole answers by class." };
constexpr metrics::Description FirstToken{ .name = "auburnspread_first_token_seconds", .help = "From arrival to the first token, by class." };
constexpr metrics::Description Answer{ .name = "auburnspread_answer_seconds", .help = "From arrival to the end of the answer, by class." };

} // namespace

Accounting::Accounting()
    : refusals_(metrics::declareRefusals(registry_))
    , retries_(metrics::declareRetries(registry_))
    , failures_(metrics::declareAttemptFailures(registry_))
    , dispatches_(registry_.counter(Dispatches))
    , resumed_(registry_.counter(Resumed))
    , wastedTokens_(registry_.counter(WastedTokens))
{
}

auto Accounting::countRefusal(const routing::Refuse &refusal, const std::string &detail) -> void
{
    refusals_.add(refusal.reason);
    logging::event(logging::Level::Info,
                   "refused",
                   {
                       { "request", static_cast<std::uint64_t>(refusal.request) },
                       { "reason", reasonInfo(refusal.reason).name },
                       { "outcome", outcomeName(refusal.outcome) },
                       { "step", refusal.step },
                       { "peer", refusal.peer },
                       { "detail", detail },
                   });
}

auto Accounting::countAction(const routing::Action &action) -> void
{
    if (std::holds_alternative<routing::Dispatch>(action)) {
        dispatches_.add();
    } else if (const auto *retried = std::get_if<routing::Retried>(&action)) {
        retries_.add(retried->failure);
        resumed_.add(retried->resumed ? 1 : 0);
    } else if (const auto *completed = std::get_if<routing::Completed>(&action)) {
        countCompleted(*completed);
    }
}

auto Accounting::countCompleted(const routing::Completed &completed) -> void
{
    auto &instruments = instrumentsOf(completed.requestClass);
    instruments.completed.add();
    instruments.onTime.add(completed.onTime ? 1 : 0);
    instruments.tokens.add(completed.tokens);
    instruments.firstToken.observe(completed.firstToken);
    instruments.answer.observe(completed.answer);
}

auto Accounting::instrumentsOf(const std::string &requestClass) -> ClassInstruments &
{
    const auto found = classes_.find(requestClass);
    if (found != classes_.end()) {
        return found->second;
    }
    const metrics::Labels labels{ { .name = "class", .value = requestClass } };
    ClassInstruments instruments{
        .completed = registry_.counter(Completed, labels),
        .onTime = registry_.counter(OnTime, labels),
        .tokens = registry_.counter(Tokens, labels),
        .firstToken = registry_.histogram(FirstToken, labels),
        .answer = registry_.histogram(Answer, labels),
    };
    return classes_.emplace(requestClass, instruments).first->second;
}

auto Accounting::countFailure(const AttemptReport &report) -> void
{
    failures_.add(report.failure);
    wastedTokens_.add(report.wastedTokens);
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

auto Accounting::countSilence(const AttemptReport &report) -> void
{
    failures_.add(report.failure);
    logging::event(logging::Level::Warning,
                   "attempt-silent",
                   {
                       { "request", report.request },
                       { "attempt", report.attempt },
                       { "step", "relay" },
                       { "peer", report.backend },
                       { "reason", failureName(report.failure) },
                   });
}

auto Accounting::text() const -> std::string
{
    return metrics::formatPrometheus(registry_.snapshot());
}

} // namespace auburnspread::entry
