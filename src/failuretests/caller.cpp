#include "failuretests/caller.h"

#include <utility>

namespace auburnspread::failuretests
{

auto Call::isWhole() const -> bool
{
    return head.status == 200 && ended() && check && check->stateAtEnd() == load::AnswerState::Whole;
}

auto Call::outcome() const -> std::string
{
    const auto told = head.header("auburnspread-outcome");
    return told.empty() && check ? check->errorOutcome() : told;
}

auto Call::reason() const -> std::string
{
    const auto told = head.header("auburnspread-reason");
    return told.empty() && check ? check->errorReason() : told;
}

auto Call::describe() const -> std::string
{
    constexpr std::size_t LongestExcerpt = 300;
    auto text = request.method + " " + request.address + request.path + ": status " + std::to_string(head.status) + ", " + std::to_string(tokens())
        + " tokens, " + (ended() ? "ended" : "open") + ", outcome '" + outcome() + "', reason '" + reason() + "'";
    if (check) {
        text += ", detail '" + check->detail() + "'";
    }
    return text + ", body ends '" + body.substr(body.size() - std::min(body.size(), LongestExcerpt)) + "'";
}

Caller::Caller()
    : client_(loop_)
{
}

auto Caller::start(load::HttpRequest request) -> CallPointer
{
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    load::HttpHandlers handlers;
    handlers.onHead = [call = call.get()](const load::HttpHead &head) { call->head = head; };
    handlers.onBody = [call = call.get()](std::string_view bytes) {
        call->body += bytes;
        if (call->check) {
            call->check->feedStream(bytes);
        }
    };
    handlers.onEnd = [call = call.get()](load::HttpEnd end) { call->end = end; };
    call->handle = client_.start(call->request, std::move(handlers));
    return call;
}

auto Caller::startChat(const std::string &address, const nlohmann::json &body, const load::Headers &headers) -> CallPointer
{
    auto call = start({ .address = address, .method = "POST", .path = "/v1/chat/completions", .headers = headers, .body = body.dump() });
    call->check.emplace(standins::answerTo(body));
    return call;
}

auto Caller::fetch(load::HttpRequest request) -> CallPointer
{
    auto call = start(std::move(request));
    waitUntil([&]() { return call->ended(); });
    return call;
}

auto Caller::fetchJson(const std::string &address, const std::string &path) -> nlohmann::json
{
    const auto call = fetch({ .address = address, .path = path });
    return nlohmann::json::parse(call->body, nullptr, false);
}

auto Caller::waitUntil(const std::function<bool()> &condition, Duration longest) -> bool
{
    constexpr Duration PollInterval = std::chrono::milliseconds(5);
    const auto end = task::monotonicNow() + longest;
    // The condition may make calls of its own, so it is asked while the loop does not run.
    while (!condition()) {
        if (task::monotonicNow() >= end) {
            return false;
        }
        const auto slice = loop_.after(PollInterval, [this]() { loop_.stop(); });
        loop_.run();
    }
    return true;
}

} // namespace auburnspread::failuretests
