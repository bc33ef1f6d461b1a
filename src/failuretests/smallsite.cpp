#include "failuretests/smallsite.h"

#include <algorithm>
#include <stdexcept>

namespace auburnspread::failuretests
{

SmallSite::SmallSite(const SmallSiteOptions &options)
    : options_(options)
{
    for (int number = 1; number <= options.engines; ++number) {
        startStandIn("fake-engine",
                     "engine-" + std::to_string(number),
                     { "--models", "quote-7b:1", "--slots", "16", "--token-ms", std::to_string(options.tokenMilliseconds) });
    }
    if (options.service) {
        startStandIn("fake-service", "service", { "--journal", (folder() / "journal").string() });
    }
    publish(makeDocument());
    for (int number = 1; number <= options.entries; ++number) {
        startEntry("entry-" + std::to_string(number));
    }
    for (const auto &[name, entry] : entries) {
        if (!isReady(*entry)) {
            throw std::runtime_error("site: " + name + " did not become ready\n" + logs());
        }
    }
}

/// Whether \p entry serves and knows all others: only then can it redirect and share.
auto SmallSite::isReady(const Entry &entry) -> bool
{
    const auto listsAll = [&]() {
        const auto view = caller.fetchJson(entry.callerAddress, "/v1/entries?workspace=roofs&class=quote");
        return view.is_object() && view["addresses"].size() == entries.size();
    };
    return waitUntilReady(entry) && !entry.process->exitCode() && caller.waitUntil(listsAll);
}

auto SmallSite::engine(int number) -> StandIn &
{
    return *standIns.at("engine-" + std::to_string(number));
}

auto SmallSite::service() -> StandIn &
{
    return *standIns.at("service");
}

auto SmallSite::entry(int number) -> Entry &
{
    return *entries.at("entry-" + std::to_string(number));
}

auto SmallSite::makeDocument() const -> configuration::Document
{
    configuration::Document document{ .name = "small" };
    document.failureDomains = { { .name = "fd-a", .region = "north" }, { .name = "fd-b", .region = "north" } };
    document.models = { { .name = "quote-7b", .versions = { "1" } } };
    document.classes = {
        { .name = "quote",
          .tier = 0,
          .models = { { .model = "quote-7b" } },
          .firstTokenTarget = std::chrono::seconds(20),
          .answerTarget = std::chrono::seconds(60) },
    };
    document.workspaces = { { .name = "roofs", .classes = { "quote" } } };
    for (int number = 1; number <= options_.engines; ++number) {
        const auto name = "engine-" + std::to_string(number);
        document.backendServers.push_back({ .name = name,
                                            .address = standIns.at(name)->address,
                                            .failureDomain = number % 2 == 0 ? "fd-a" : "fd-b",
                                            .models = { { .model = "quote-7b", .version = "1", .adapters = {} } },
                                            .concurrency = options_.concurrency });
    }
    if (options_.service) {
        document.services = { { .name = "portal",
                                .servers = { { .name = "service", .address = standIns.at("service")->address, .failureDomain = "fd-a" } },
                                .calls = { { .method = "POST", .pathPrefix = "/notice", .repeatable = false } } } };
    }
    document.limits.progressTimeout = std::chrono::seconds(1);
    document.limits.retryBudgetPercent = 100;
    document.limits.queueLength = options_.queueLength;
    return document;
}

auto SmallSite::startQuote(const Entry &entry, int tokens, const std::string &text) -> CallPointer
{
    const auto question = text + " number " + std::to_string(++question_);
    const nlohmann::json body{ { "model", "quote-7b" },
                               { "messages", { { { "role", "user" }, { "content", question } } } },
                               { "stream", true },
                               { "metadata", { { "answer_tokens", std::to_string(tokens) } } } };
    return caller.startChat(
        entry.callerAddress, body, { { "Content-Type", "application/json" }, { "Auburnspread-Workspace", "roofs" }, { "Auburnspread-Class", "quote" } });
}

auto SmallSite::startQuotes(const Entry &entry, std::size_t count, int tokens) -> std::vector<CallPointer>
{
    std::vector<CallPointer> calls(count);
    std::ranges::generate(calls, [&]() { return startQuote(entry, tokens); });
    return calls;
}

auto SmallSite::startDispatch(const Entry &entry, const std::string &key) -> CallPointer
{
    return caller.start({ .address = entry.callerAddress,
                          .method = "POST",
                          .path = "/services/portal/notice",
                          .headers = { { "Auburnspread-Workspace", "roofs" }, { "Auburnspread-Class", "quote" }, { "Idempotency-Key", key } },
                          .body = "{}" });
}

auto SmallSite::answerOf(const Call &call) -> standins::Answer
{
    return standins::answerTo(nlohmann::json::parse(call.request.body));
}

auto SmallSite::engineRunning(const Call &call) -> int
{
    const auto digest = standins::digestOf(answerOf(call));
    for (int number = 1; number <= options_.engines; ++number) {
        if (engine(number).process->exitCode()) {
            continue;
        }
        for (const auto &execution : caller.fetchJson(engine(number).control, "/control/executions")) {
            if (execution.value("digest", "") == digest && execution.value("started", false) && !execution.value("finished", false)) {
                return number;
            }
        }
    }
    return 0;
}

} // namespace auburnspread::failuretests
