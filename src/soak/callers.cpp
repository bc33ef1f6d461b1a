#include "soak/callers.h"

#include "platform/standins/wiretext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace auburnspread::soak
{

namespace
{

namespace standins = adapter::standins;

constexpr Duration AskInterval = std::chrono::seconds(1); ///< callers keep an answer for this long
constexpr Duration PatienceAfterLimit = std::chrono::seconds(2);
constexpr int OkStatus = 200;
constexpr int FirstRedirectStatus = 300;
/// One caller in so many keeps to an entry whatever the addresses say, as one that can't get a new answer does.
constexpr std::size_t StickyCallers = 4;
/// An entry that has not heard of a key after this time knows that its configuration is old, and admits none.
constexpr Duration KeyKnownAfter = std::chrono::seconds(4);
/// One request in so many comes with a key that was taken away, if any was.
constexpr std::size_t WithdrawnKeys = 10;
/// While a part of prompts crashes servers, one request in so many has it, and all others share its first part.
constexpr std::size_t CrashingRequests = 5;

auto splitLine(const std::string &line) -> http::Header
{
    const auto colon = line.find(": ");
    return { line.substr(0, colon), line.substr(colon + 2) };
}

/// The lines of a prompt that begins with a part which all requests share and ends with one of its own.
auto promptHeaders(const std::string &crashingPart, std::uint64_t number) -> http::Headers
{
    const auto middle = crashingPart.empty() ? "" : crashingPart + ":40,";
    const auto lines = standins::promptLines("200,20", "5a:100," + middle + std::to_string(number) + ":60");
    const auto end = lines.find('\n');
    return { splitLine(lines.substr(0, end)), splitLine(lines.substr(end + 1)) };
}

/// One caller of a resumable stream in so many leaves early, when it has got an event or two.
constexpr std::uint64_t EarlyCallers = 3;
constexpr Duration EarlyPatience = std::chrono::milliseconds(120);

auto streamAnswers(const std::string &id, int events, int first) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> answers;
    for (const auto *version : ServerVersions) {
        answers[version] = standins::streamAnswerOf(id, events, version, first);
    }
    return answers;
}

auto eventsOf(const KindRoute &route) -> int
{
    return route.kind == RequestKind::Draft ? standins::LongStreamEvents : StreamEvents;
}

auto makeBody(const std::string &id) -> std::string
{
    constexpr std::size_t Filling = 200;
    return "request " + id + std::string(Filling, '.');
}

} // namespace

Callers::Callers(task::EventLoop &loop, CallersOptions options, const Site &site, Ledger &ledger)
    : loop_(loop)
    , options_(options)
    , site_(site)
    , ledger_(ledger)
    , client_(loop, { .idlePerAddress = 16 })
    , random_(options.seed)
{
}

auto Callers::drawBelow(std::size_t end) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
}

auto Callers::start() -> void
{
    askAddresses();
    asker_ = loop_.every(AskInterval, [this]() { askAddresses(); });
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / options_.requestsPerSecond));
    sender_ = loop_.every(interval, [this]() { send(); });
}

auto Callers::stop() -> void
{
    sender_ = {};
    asker_ = {};
}

auto Callers::isIdle() const -> bool
{
    return open_ == 0;
}

auto Callers::servedInRow() const -> std::size_t
{
    return servedInRow_;
}

auto Callers::askAddresses() -> void
{
    const http::Request question{
        .address = site_.addressesPage(drawBelow(site_.entries())),
        .path = standins::addressesQuestion(SiteHost, "a"),
        .timeout = AskInterval,
    };
    client_.fetch(question, [this](const http::Result &result) {
        const auto *response = std::get_if<http::Response>(&result);
        if (response != nullptr && response->status == OkStatus) {
            takeAddresses(response->body);
        }
    });
}

auto Callers::takeAddresses(const std::string &body) -> void
{
    entries_.clear();
    for (const auto &address : standins::readAddresses(body)) {
        entries_.push_back(site_.findEntry(address));
    }
}

auto Callers::chooseEntry() -> std::size_t
{
    const auto isSticky = entries_.empty() || drawBelow(StickyCallers) == 0;
    return isSticky ? drawBelow(site_.entries()) : entries_.at(drawBelow(entries_.size()));
}

auto Callers::send() -> void
{
    if (site_.hasDrafts() && drawBelow(2) == 0) {
        // to any entry, on connections that stand, also while it is leaving
        sendKind(DraftRoute, drawBelow(site_.entries()));
        return;
    }
    sendKind(KindRoutes.at(drawBelow(KindRoutes.size())), chooseEntry());
}

auto Callers::sendKind(const KindRoute &route, std::size_t entry) -> void
{
    const auto isMarker = route.kind == RequestKind::Marker;
    const auto takesWithdrawn = !site_.withdrawnKey().empty() && drawBelow(WithdrawnKeys) == 0;
    const auto isKeyKnown = task::monotonicNow() - site_.key().since > KeyKnownAfter;
    const auto version = site_.previousVersion() > 0 && drawBelow(2) == 0 ? site_.previousVersion() : site_.version();
    Sent request{
        .id = "a" + std::to_string(options_.seed) + "-" + std::to_string(++lastId_),
        .entry = std::to_string(entry),
        .incarnation = site_.incarnation(entry),
        .method = route.method,
        .key = takesWithdrawn ? site_.withdrawnKey() : site_.key().name,
        .workspace = SiteWorkspace,
        .mostRuns = route.attempts,
        .timeLimit = route.timeLimit,
        .isAllowed = !isMarker && !takesWithdrawn && isKeyKnown,
        .onlyVersion = isMarker ? version : 0,
        .at = task::monotonicNow(),
    };
    request.target = std::string(route.prefix) + (isMarker ? std::to_string(version) + "/" : "") + request.id;
    request.body = request.method == "POST" ? makeBody(request.id) : "";
    request.expectedAnswer
        = request.target.starts_with(StreamPrefix) ? standins::streamAnswerOf(request.id, eventsOf(route)) : standins::wholeAnswerOf(request.id);
    if (options_.takesStreamsUp && request.target.starts_with(StreamPrefix)) {
        request.answersByVersion = streamAnswers(request.id, eventsOf(route), 1);
    }
    request.leavesEarly = options_.takesStreamsUp && route.kind == RequestKind::Check && lastId_ % EarlyCallers == 0;
    const auto patience = request.leavesEarly ? EarlyPatience : request.timeLimit + PatienceAfterLimit;
    if (site_.crashingPart().empty()) {
        submit(std::move(request), {}, patience);
        return;
    }
    if (drawBelow(CrashingRequests) == 0) {
        request.crashingPart = site_.crashingPart();
        request.isAllowed = false;
    }
    const auto headers = promptHeaders(request.crashingPart, lastId_);
    submit(std::move(request), headers, patience);
}

auto Callers::submit(Sent request, const http::Headers &headers, Duration patience) -> void
{
    request.isAllowed = request.isAllowed && !request.leavesEarly;
    ledger_.sent(request);
    open_ += 1;
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(request.timeLimit).count();
    http::Request call{
        .method = http::methodFromName(request.method).value(),
        .address = site_.callerAddress(std::stoul(request.entry)),
        .path = request.target,
        .headers = { { "Host", SiteHost },
                     splitLine(standins::attemptIdLine(request.id)),
                     splitLine(standins::keyLine(request.key)),
                     splitLine(standins::deadlineLine(static_cast<int>(deadlineMs))) },
        .body = request.body,
        .timeout = patience,
    };
    call.headers.insert(call.headers.end(), headers.begin(), headers.end());
    client_.fetch(call, [this, request = std::move(request)](const http::Result &result) { takeResult(request, result); });
}

/// Goes on after an event that the caller got for sure, at once and at any entry.
auto Callers::takeStreamUp(const Sent &first) -> void
{
    constexpr int LastEvent = 1;
    const auto entry = chooseEntry();
    auto request = first;
    request.id = "a" + std::to_string(options_.seed) + "-" + std::to_string(++lastId_);
    request.resumes = first.id;
    request.leavesEarly = false;
    request.entry = std::to_string(entry);
    request.incarnation = site_.incarnation(entry);
    request.answersByVersion = streamAnswers(first.id, StreamEvents, LastEvent + 1);
    request.at = task::monotonicNow();
    submit(std::move(request),
           { splitLine(standins::lastEventLine(std::to_string(LastEvent))), splitLine(standins::resumesLine(first.id)) },
           first.timeLimit + PatienceAfterLimit);
}

auto Callers::takeResult(const Sent &request, const http::Result &result) -> void
{
    open_ -= 1;
    Ended ended{ .id = request.id, .at = task::monotonicNow() };
    if (const auto *error = std::get_if<http::Error>(&result)) {
        ended.cause = error->text;
        if (request.leavesEarly && error->step == http::Step::Receive) {
            takeStreamUp(request);
        }
    } else {
        const auto &response = std::get<http::Response>(result);
        ended.status = response.status;
        ended.signature = http::findHeader(response.headers, splitLine(standins::signatureLine("")).name);
        ended.body = response.body;
    }
    ledger_.ended(ended);
    const auto isServed = ended.status >= OkStatus && ended.status < FirstRedirectStatus;
    if (request.isAllowed) {
        servedInRow_ = isServed ? servedInRow_ + 1 : 0;
    }
}

} // namespace auburnspread::soak
