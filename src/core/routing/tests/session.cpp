#include "core/routing/tests/session.h"

#include "core/routing/router.h"
#include "core/routing/tests/words.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace auburnspread::routing
{

namespace
{

using configuration::Document;

template <typename Part>
auto findOrAdd(std::vector<Part> &parts, const std::string &name) -> Part &
{
    const auto place = std::find_if(parts.begin(), parts.end(), [&](const Part &part) { return part.name == name; });
    if (place != parts.end()) {
        return *place;
    }
    parts.push_back({ .name = name });
    return parts.back();
}

template <typename Part>
auto removeNamed(std::vector<Part> &parts, const std::string &name) -> void
{
    std::erase_if(parts, [&](const Part &part) { return part.name == name; });
}

auto setModel(Document &document, const Words &words) -> void
{
    auto &model = findOrAdd(document.models, words.plain.at(0));
    model.versions = list(words, "versions");
    model.adapters = list(words, "adapters");
}

auto setClass(Document &document, const Words &words) -> void
{
    auto &part = findOrAdd(document.classes, words.plain.at(0));
    part.tier = static_cast<int>(number(words, "tier", 0));
    part.models.clear();
    for (const auto &model : list(words, "models")) {
        part.models.push_back({ .model = model });
    }
    part.firstTokenTarget = duration(words, "first", std::chrono::milliseconds(550));
    part.answerTarget = duration(words, "answer", std::chrono::seconds(30));
    part.starvationBound = duration(words, "starvation", std::chrono::seconds(5));
    part.floorSlots = static_cast<std::uint32_t>(number(words, "floor", 1));
    part.hedge = text(words, "hedge") == "yes";
    part.repeatable = text(words, "repeatable", "yes") == "yes";
}

auto setWorkspace(Document &document, const Words &words) -> void
{
    auto &part = findOrAdd(document.workspaces, words.plain.at(0));
    part.classes = list(words, "classes");
    part.requestsPerSecond = static_cast<std::uint32_t>(number(words, "rate", 0));
    part.requestBurst = static_cast<std::uint32_t>(number(words, "burst", 0));
    part.concurrency = static_cast<std::uint32_t>(number(words, "concurrency", 0));
}

/// A served model is written MODEL:VERSION or MODEL:VERSION:ADAPTER.
auto setServer(Document &document, const Words &words) -> void
{
    auto &part = findOrAdd(document.backendServers, words.plain.at(0));
    part.address = part.name + ":80";
    part.failureDomain = text(words, "domain", "midrand-a");
    part.concurrency = static_cast<std::uint32_t>(number(words, "slots", 1));
    part.canResume = text(words, "resumes", "yes") == "yes";
    part.models.clear();
    for (const auto &served : list(words, "models")) {
        const auto names = split(served, ':');
        part.models.push_back({ .model = names.at(0), .version = names.at(1) });
        if (names.size() > 2) {
            part.models.back().adapters = { names.at(2) };
        }
    }
}

/// Servers are names; a repeatable call is written METHOD:PREFIX.
auto setService(Document &document, const Words &words) -> void
{
    auto &part = findOrAdd(document.services, words.plain.at(0));
    part.servers.clear();
    for (const auto &server : list(words, "servers")) {
        part.servers.push_back({ .name = server, .address = server + ":80", .failureDomain = "midrand-a", .concurrency = 1 });
    }
    part.calls.clear();
    for (const auto &call : list(words, "repeatable")) {
        const auto names = split(call, ':');
        part.calls.push_back({ .method = names.at(0), .pathPrefix = names.at(1), .repeatable = true });
    }
}

auto removePart(Document &document, const Words &words) -> void
{
    const auto &kind = words.plain.at(0);
    const auto &name = words.plain.at(1);
    if (kind == "class") {
        removeNamed(document.classes, name);
    } else if (kind == "workspace") {
        removeNamed(document.workspaces, name);
    } else if (kind == "server") {
        removeNamed(document.backendServers, name);
    } else {
        throw std::runtime_error("unknown kind " + kind);
    }
}

const std::map<std::string, std::function<void(Document &, const Words &)>> documentVerbs = {
    { "model", setModel },
    { "class", setClass },
    { "workspace", setWorkspace },
    { "server", setServer },
    { "service", setService },
    { "remove", removePart },
    { "queue", [](Document &document, const Words &words) { document.limits.queueLength = static_cast<std::uint32_t>(std::stoul(words.plain.at(0))); } },
};

auto requestOf(const Words &words) -> RequestId
{
    return static_cast<RequestId>(std::stoull(words.plain.at(0)));
}

auto attemptOf(const Words &words) -> AttemptId
{
    return static_cast<AttemptId>(std::stoull(words.plain.at(0)));
}

auto count(const Words &words, const std::string &key) -> std::uint32_t
{
    return static_cast<std::uint32_t>(number(words, key, 0));
}

auto readArrival(const Words &words) -> RequestArrived
{
    RequestArrived call{ .request = requestOf(words) };
    call.workspace = text(words, "workspace");
    call.requestClass = text(words, "class");
    call.model = text(words, "model");
    call.version = text(words, "version");
    call.adapter = text(words, "adapter");
    call.service = text(words, "service");
    call.kind = call.service.empty() ? CallKind::Chat : CallKind::Service;
    call.method = text(words, "method");
    call.path = text(words, "path");
    call.idempotencyKey = text(words, "key");
    if (words.named.contains("repeatable")) {
        call.repeatable = text(words, "repeatable") == "yes";
    }
    if (words.named.contains("deadline")) {
        call.deadline = parseDuration(text(words, "deadline"));
    }
    call.promptTokens = count(words, "prompt");
    call.fingerprint = static_cast<Fingerprint>(number(words, "fingerprint", 0));
    call.stream = text(words, "stream", "yes") == "yes";
    return call;
}

auto readFailure(const Words &words) -> AttemptFailed
{
    const auto name = text(words, "failure");
    const auto table = failureTable();
    const auto entry = std::find_if(table.begin(), table.end(), [&](const auto &value) { return value.name == name; });
    if (entry == table.end()) {
        throw std::runtime_error("unknown failure " + name);
    }
    return { .attempt = attemptOf(words), .failure = entry->value, .relayedTokens = count(words, "relayed"), .wastedTokens = count(words, "wasted") };
}

auto readClaim(const Words &words) -> ClaimSettled
{
    const auto &result = words.plain.at(1);
    if (result == "claimed") {
        return { .request = requestOf(words), .result = ClaimResult::Claimed };
    }
    return { .request = requestOf(words), .result = result == "duplicate" ? ClaimResult::Duplicate : ClaimResult::Unavailable };
}

const std::map<std::string, std::function<Event(const Words &)>> eventVerbs = {
    { "arrive", readArrival },
    { "gone", [](const Words &words) { return CallerGone{ requestOf(words) }; } },
    { "started", [](const Words &words) { return AttemptStarted{ attemptOf(words) }; } },
    { "progress",
      [](const Words &words) {
          return AttemptProgress{ attemptOf(words), count(words, "tokens") };
      } },
    { "finished",
      [](const Words &words) {
          return AttemptFinished{ attemptOf(words), count(words, "tokens") };
      } },
    { "failed", readFailure },
    { "claim", readClaim },
    { "leaving", [](const Words &words) { return BackendLeaving{ words.plain.at(0) }; } },
    { "release",
      [](const Words &words) {
          return QuarantineHeard{ static_cast<Fingerprint>(std::stoull(words.plain.at(0))), QuarantineHeard::Mark::Released };
      } },
    { "drain", [](const Words &) { return DrainStarted{}; } },
    { "tick", [](const Words &) { return Tick{}; } },
};

constexpr auto MarkNames = std::to_array<NamedValue<QuarantineHeard::Mark>>({
    { QuarantineHeard::Mark::Suspect, "suspect" },
    { QuarantineHeard::Mark::Retrying, "retrying" },
    { QuarantineHeard::Mark::RetryEnded, "retry-ended" },
    { QuarantineHeard::Mark::Cleared, "cleared" },
    { QuarantineHeard::Mark::Quarantined, "quarantined" },
    { QuarantineHeard::Mark::Released, "released" },
});

template <typename Id>
auto digits(Id id) -> std::string
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

struct Formatter {
    auto operator()(const Dispatch &action) const -> std::string
    {
        std::string line = "dispatch " + digits(action.request) + " attempt=" + digits(action.attempt) + " to=" + action.backend;
        line += action.model.empty() ? "" : " model=" + action.model + ":" + action.version;
        line += action.adapter.empty() ? "" : ":" + action.adapter;
        line += action.resumeOffset == 0 ? "" : " resume=" + std::to_string(action.resumeOffset);
        return line + (action.freshConnection ? " fresh" : "");
    }
    auto operator()(const CommitAttempt &action) const -> std::string
    {
        return "commit " + digits(action.request) + " attempt=" + digits(action.attempt);
    }
    auto operator()(const CancelAttempt &action) const -> std::string
    {
        return "cancel attempt=" + digits(action.attempt);
    }
    auto operator()(const Refuse &action) const -> std::string
    {
        std::string line = "refuse " + digits(action.request) + " reason=" + std::string(reasonInfo(action.reason).name);
        line += " outcome=" + std::string(outcomeName(action.outcome)) + " step=" + action.step;
        line += action.peer.empty() ? "" : " peer=" + action.peer;
        return line + (action.retryAfter ? " retry-after=" + formatDuration(*action.retryAfter) : "");
    }
    auto operator()(const Completed &action) const -> std::string
    {
        return "completed " + digits(action.request) + " tokens=" + std::to_string(action.tokens) + " first=" + formatDuration(action.firstToken)
            + " answer=" + formatDuration(action.answer) + (action.onTime ? " on-time" : " late");
    }
    auto operator()(const Retried &action) const -> std::string
    {
        return "retried " + digits(action.request) + " failure=" + std::string(failureName(action.failure)) + (action.resumed ? " resumed" : "");
    }
    auto operator()(const ClaimKey &action) const -> std::string
    {
        return "claim " + digits(action.request) + " workspace=" + action.workspace + " key=" + action.idempotencyKey;
    }
    auto operator()(const TellQuarantine &action) const -> std::string
    {
        const std::string line = "tell fingerprint=" + digits(action.fingerprint) + " mark=" + std::string(findName(MarkNames, action.mark));
        return line + (action.server.empty() ? "" : " server=" + action.server);
    }
    auto operator()(const ProbeBackend &action) const -> std::string
    {
        return "probe " + action.backend;
    }
    auto operator()(const Drained &) const -> std::string
    {
        return "drained";
    }
};

class Session
{
public:
    auto play(const std::string &line) -> void
    {
        if (line.starts_with("<")) {
            return;
        }
        text_ += line + "\n";
        if (line.empty() || line.starts_with("#")) {
            return;
        }
        if (line.starts_with(">")) {
            playEvent(splitWords(line.substr(1)));
            return;
        }
        const auto words = splitWords(line);
        if (words.verb == "at") {
            now_ = TimePoint(parseDuration(words.plain.at(0)));
            return;
        }
        documentVerbs.at(words.verb)(document_, words);
    }

    [[nodiscard]] auto text() const -> std::string
    {
        return text_ + "# wasted tokens: " + std::to_string(statusOf(*router_).wastedTokens) + "\n";
    }

private:
    auto playEvent(const Words &words) -> void
    {
        for (const auto &action : step(*router_, readEvent(words), now_)) {
            text_ += "< " + std::visit(Formatter{}, action) + "\n";
        }
    }

    auto readEvent(const Words &words) -> Event
    {
        if (words.verb != "configure") {
            return eventVerbs.at(words.verb)(words);
        }
        version_ += 1;
        auto adopted = std::make_shared<configuration::AdoptedDocument>();
        adopted->version = version_;
        adopted->document = document_;
        return ConfigurationAdopted{ adopted };
    }

    RouterStatePointer router_ = makeRouter({ .entry = "entry-1", .failureDomain = "midrand-a" });
    Document document_;
    std::uint64_t version_ = 0;
    TimePoint now_;
    std::string text_;
};

} // namespace

auto replaySession(const std::filesystem::path &file) -> std::string
{
    std::ifstream stream(file);
    Session session;
    int place = 0;
    for (std::string line; std::getline(stream, line);) {
        ++place;
        if (line.starts_with("# wasted tokens:")) {
            continue;
        }
        try {
            session.play(line);
        } catch (const std::exception &error) {
            throw std::runtime_error(file.string() + ":" + std::to_string(place) + ": " + line + ": " + error.what());
        }
    }
    return session.text();
}

} // namespace auburnspread::routing
