#include "load/callers.h"

#include "load/answercheck.h"
#include "load/callbody.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace auburnspread::load
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusRedirect = 307;
constexpr std::uint32_t MostRedirects = 3;
constexpr std::uint32_t MostLookups = 6;
constexpr auto LookupTimeout = std::chrono::seconds(1);
constexpr auto LookupDelay = std::chrono::milliseconds(100);
constexpr auto RepeatDelay = std::chrono::milliseconds(500);
constexpr std::string_view Scheme = "http://";

/// Whether \p body is the stand-in's answer to this very service call.
auto isOwnServiceAnswer(const std::string &body, const HttpRequest &request, const std::string &service) -> bool
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (answer.is_discarded() || !answer.is_object()) {
        return false;
    }
    return answer.value("digest", "") == standins::hashText(request.body) && answer.value("service", "").starts_with(service);
}

auto retryAfter(const HttpHead &head) -> std::optional<Duration>
{
    const auto text = head.header("retry-after");
    std::int64_t seconds = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || error != std::errc() || rest != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

auto resultOf(AnswerState state) -> CallResult
{
    switch (state) {
    case AnswerState::Whole:
        return CallResult::Answered;
    case AnswerState::Wrong:
        return CallResult::Wrong;
    case AnswerState::Silent:
        return CallResult::CutSilently;
    case AnswerState::ErrorEvent:
        return CallResult::CutWithError;
    case AnswerState::Unterminated:
        return CallResult::Unterminated;
    }
    return CallResult::Wrong;
}

/// Whether a caller asks again after an attempt that ended like this.
auto repeatDelay(const AttemptRecord &attempt, const HttpHead &head) -> std::optional<Duration>
{
    switch (attempt.result) {
    case CallResult::Refused:
        return retryAfter(head);
    case CallResult::CutSilently:
    case CallResult::CutWithError:
    case CallResult::Broken:
    case CallResult::Unreachable:
        return retryAfter(head).value_or(RepeatDelay);
    default:
        return std::nullopt;
    }
}

auto giveUpTime(const Flow &flow, const configuration::Document &document) -> Duration
{
    constexpr auto Patience = std::chrono::seconds(2);
    if (flow.giveUp > Duration::zero()) {
        return flow.giveUp;
    }
    return 2 * findClass(document, flow.requestClass).answerTarget + Patience;
}

} // namespace

struct Callers::OpenCall {
    const Flow *flow = nullptr;
    PlannedCall plan;
    BuiltCall built;
    CallRecord record;
    std::vector<std::string> addresses; ///< still to try, the best last
    std::string address;                ///< in use
    std::uint32_t lookups = 0;
    std::uint32_t redirects = 0; ///< of this attempt
    HttpHead head;
    std::string body;
    std::unique_ptr<AnswerCheck> check;
    std::optional<Duration> lastToken;
    HttpCallPointer http;
    task::Watch patience;
    task::Watch timer;
};

Callers::Callers(task::EventLoop &loop, const Scenario &scenario, const Site &site, CallersOptions options)
    : loop_(loop)
    , scenario_(scenario)
    , site_(site)
    , options_(std::move(options))
    , client_(loop)
{
    for (const auto &entry : processesOf(site, ProcessKind::Entry)) {
        seeds_.push_back(entry.address);
    }
}

Callers::~Callers() = default;

auto Callers::start(const std::vector<PlannedCall> &plan, std::function<void()> onAllEnded) -> void
{
    began_ = task::monotonicNow();
    planned_ = plan.size();
    onAllEnded_ = std::move(onAllEnded);
    starts_.reserve(plan.size());
    for (const auto &call : plan) {
        starts_.push_back(loop_.after(call.at, [this, &call]() { begin(call); }));
    }
}

auto Callers::begin(const PlannedCall &plan) -> void
{
    auto call = std::make_shared<OpenCall>();
    call->flow = &scenario_.flows[plan.flow];
    call->plan = plan;
    call->built = buildCall(plan, scenario_, site_.document, options_.form);
    const bool isService = !call->flow->service.empty();
    call->record = { .number = plan.number,
                     .flow = plan.flow,
                     .workspace = plan.workspace,
                     .stream = plan.stream && !isService,
                     .service = isService,
                     .repeatable = call->built.repeatable,
                     .digest = isService ? std::string() : standins::digestOf(call->built.answer),
                     .key = call->built.key,
                     .at = plan.at };
    calls_[plan.number] = call;
    const std::weak_ptr<OpenCall> weak = call;
    call->patience = loop_.after(giveUpTime(*call->flow, site_.document), [this, weak]() {
        if (const auto waiting = weak.lock()) {
            giveUp(waiting);
        }
    });
    startAttempt(call);
}

auto Callers::startAttempt(const OpenCallPointer &call) -> void
{
    call->lookups = 0;
    call->redirects = 0;
    if (!options_.direct.empty()) {
        call->addresses = { options_.direct[nextDirect_++ % options_.direct.size()] };
        connectNext(call);
        return;
    }
    const auto kept = kept_.find(cacheKey(*call));
    if (kept != kept_.end() && task::monotonicNow() < kept->second.until) {
        call->addresses = kept->second.addresses;
        connectNext(call);
        return;
    }
    askEntries(call);
}

auto Callers::askEntries(const OpenCallPointer &call) -> void
{
    if (call->lookups >= MostLookups) {
        endAttempt(call, CallResult::Unreachable);
        return;
    }
    ++call->record.lookups;
    const auto seed = (call->plan.number + call->lookups++) % seeds_.size();
    const HttpRequest request{ .address = seeds_[seed], .path = "/v1/entries?workspace=" + call->plan.workspace + "&class=" + call->flow->requestClass };
    call->body.clear();
    const std::weak_ptr<OpenCall> weak = call;
    call->timer = loop_.after(LookupTimeout, [this, weak]() {
        if (const auto waiting = weak.lock()) {
            askEntries(waiting);
        }
    });
    call->http = client_.start(request,
                               { .onHead = [weak](const HttpHead &head) { weak.lock()->head = head; },
                                 .onBody = [weak](std::string_view bytes) { weak.lock()->body += bytes; },
                                 .onEnd =
                                     [this, weak](HttpEnd end) {
                                         const auto asking = weak.lock();
                                         asking->timer = {};
                                         if (end != HttpEnd::Complete || asking->head.status != StatusOk) {
                                             askEntries(asking);
                                             return;
                                         }
                                         takeEntries(asking, std::exchange(asking->body, {}));
                                     } });
}

auto Callers::takeEntries(const OpenCallPointer &call, const std::string &body) -> void
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (answer.is_discarded() || !answer.contains("addresses") || answer.at("addresses").empty()) {
        const std::weak_ptr<OpenCall> weak = call;
        call->timer = loop_.after(LookupDelay, [this, weak]() {
            if (const auto asking = weak.lock()) {
                askEntries(asking);
            }
        });
        return;
    }
    KeptEntries kept{ .addresses = answer.at("addresses").get<std::vector<std::string>>() };
    std::ranges::reverse(kept.addresses);
    kept.until = task::monotonicNow() + std::chrono::milliseconds(answer.value("keep_ms", 0));
    kept_[cacheKey(*call)] = kept;
    call->addresses = kept.addresses;
    connectNext(call);
}

auto Callers::connectNext(const OpenCallPointer &call) -> void
{
    if (call->addresses.empty()) {
        kept_.erase(cacheKey(*call));
        if (!options_.direct.empty()) {
            endAttempt(call, CallResult::Unreachable);
            return;
        }
        askEntries(call);
        return;
    }
    const auto address = call->addresses.back();
    call->addresses.pop_back();
    send(call, address, call->built.request.path);
}

auto Callers::send(const OpenCallPointer &call, const std::string &address, const std::string &path) -> void
{
    call->address = address;
    call->head = {};
    call->body.clear();
    call->check = std::make_unique<AnswerCheck>(call->built.answer);
    call->record.firstToken.reset();
    call->lastToken.reset();
    call->record.longestGap = {};
    auto request = call->built.request;
    request.address = address;
    request.path = path;
    const std::weak_ptr<OpenCall> weak = call;
    call->http = client_.start(request,
                               { .onHead = [this, weak](const HttpHead &head) { takeHead(*weak.lock(), head); },
                                 .onBody = [this, weak](std::string_view bytes) { takeBody(*weak.lock(), bytes); },
                                 .onEnd = [this, weak](HttpEnd end) { takeEnd(weak.lock(), end); } });
}

auto Callers::takeHead(OpenCall &call, const HttpHead &head) -> void
{
    call.head = head;
}

auto Callers::takeBody(OpenCall &call, std::string_view bytes) -> void
{
    if (call.head.status != StatusOk || !call.record.stream) {
        call.body += bytes;
        return;
    }
    if (call.check->feedStream(bytes) == 0) {
        return;
    }
    const auto now = elapsed(call);
    if (!call.record.firstToken) {
        call.record.firstToken = now;
    }
    if (call.lastToken) {
        call.record.longestGap = std::max(call.record.longestGap, now - *call.lastToken);
    }
    call.lastToken = now;
}

auto Callers::takeEnd(const OpenCallPointer &call, HttpEnd end) -> void
{
    if (end == HttpEnd::ConnectFailed) {
        connectNext(call);
        return;
    }
    if (call->head.status == StatusRedirect && followRedirect(call)) {
        return;
    }
    if (call->head.status == 0) {
        endAttempt(call, CallResult::Broken);
        return;
    }
    if (call->head.status != StatusOk) {
        endAttempt(call, CallResult::Refused);
        return;
    }
    if (call->record.service) {
        const bool own = isOwnServiceAnswer(call->body, call->built.request, call->flow->service);
        const auto result = end == HttpEnd::Broken ? CallResult::Broken : (own ? CallResult::Answered : CallResult::Wrong);
        call->record.detail = own ? std::string() : call->body;
        endAttempt(call, result);
        return;
    }
    if (!call->record.stream && end == HttpEnd::Broken) {
        endAttempt(call, CallResult::Broken);
        return;
    }
    if (!call->record.stream) {
        call->check->feedWhole(call->body);
    }
    endAttempt(call, resultOf(call->check->stateAtEnd()));
}

auto Callers::followRedirect(const OpenCallPointer &call) -> bool
{
    const auto location = call->head.header("location");
    if (!location.starts_with(Scheme) || call->redirects >= MostRedirects) {
        return false;
    }
    const auto slash = location.find('/', Scheme.size());
    if (slash == std::string::npos) {
        return false;
    }
    ++call->redirects;
    ++call->record.redirects;
    kept_.erase(cacheKey(*call));
    send(call, location.substr(Scheme.size(), slash - Scheme.size()), location.substr(slash));
    return true;
}

auto Callers::endAttempt(const OpenCallPointer &call, CallResult result) -> void
{
    AttemptRecord attempt{ .result = result, .status = call->head.status, .entry = call->address, .end = elapsed(*call) };
    if (result == CallResult::Refused) {
        attempt.reason = call->head.header("auburnspread-reason");
        attempt.outcome = call->head.header("auburnspread-outcome");
    }
    if (result == CallResult::CutWithError) {
        attempt.reason = call->check->errorReason();
        attempt.outcome = call->check->errorOutcome();
    }
    if (call->check) {
        call->record.tokens = call->check->tokens();
        call->record.detail = call->check->detail().empty() ? call->record.detail : call->check->detail();
    }
    call->record.attempts.push_back(attempt);
    call->http.reset();
    const auto delay = repeatDelay(attempt, call->head);
    if (!delay || call->record.attempts.size() > call->flow->repeats) {
        endCall(call);
        return;
    }
    const std::weak_ptr<OpenCall> weak = call;
    call->timer = loop_.after(*delay, [this, weak]() {
        if (const auto repeating = weak.lock()) {
            startAttempt(repeating);
        }
    });
}

auto Callers::endCall(const OpenCallPointer &call) -> void
{
    call->record.end = elapsed(*call);
    call->http.reset();
    call->timer = {};
    call->patience = {};
    records_.push_back(call->record);
    calls_.erase(call->plan.number);
    if (records_.size() == planned_ && onAllEnded_) {
        onAllEnded_();
    }
}

auto Callers::giveUp(const OpenCallPointer &call) -> void
{
    call->record.attempts.push_back({ .result = CallResult::GaveUp, .entry = call->address, .end = elapsed(*call) });
    endCall(call);
}

auto Callers::giveUpAll() -> void
{
    for (const auto &[number, call] : std::map(calls_)) {
        giveUp(call);
    }
}

auto Callers::open() const -> std::size_t
{
    return calls_.size();
}

auto Callers::begun() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(calls_, [](const auto &item) { return item.second->record.firstToken.has_value(); }));
}

auto Callers::takeRecords() -> std::vector<CallRecord>
{
    std::ranges::sort(records_, {}, &CallRecord::number);
    return std::exchange(records_, {});
}

auto Callers::elapsed(const OpenCall &call) const -> Duration
{
    return task::monotonicNow() - began_ - call.plan.at;
}

auto Callers::cacheKey(const OpenCall &call) const -> std::string
{
    return call.plan.workspace + " " + call.flow->requestClass + " " + std::to_string(call.plan.caller);
}

} // namespace auburnspread::load
