#include "wire/platform/tests/fakestore.h"

#include "wire/platform/internal/codec.h"
#include "wire/text/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace auburnspread::platform::tests
{

namespace
{

constexpr std::string_view KeyPath = "/v1/kv/";
constexpr std::string_view SessionPath = "/v1/session/";

auto toJson(const Entry &entry) -> nlohmann::json
{
    return { { "Key", entry.key },
             { "Value", text::encodeBase64(entry.value) },
             { "ModifyIndex", entry.modifyIndex },
             { "CreateIndex", entry.createIndex },
             { "LockIndex", entry.lockIndex },
             { "Session", entry.session },
             { "Flags", 0 } };
}

auto parameter(const http::IncomingRequest &request, const std::string &name) -> std::string
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

} // namespace

FakeStore::FakeStore(task::EventLoop &loop)
    : loop_(loop)
    , server_(loop)
{
    server_.route(std::string(KeyPath), [this](const auto &request, const auto &replier) { serveKeys(request, replier); });
    server_.route("/v1/txn", [this](const auto &request, const auto &replier) { serveTransaction(request, replier); });
    server_.route(std::string(SessionPath), [this](const auto &request, const auto &replier) { serveSession(request, replier); });
    server_.route("/v1/vms", [this](const auto &, const auto &replier) {
        replier.replyJson(
            200, { { { "name", "vm-1" }, { "address", "127.0.0.1" }, { "state", "leaving" } } }, { { "X-Consul-Index", std::to_string(index_) } });
    });
    address_ = server_.listen("127.0.0.1:0");
}

auto FakeStore::Strike::take() -> Fault
{
    if (times == 0) {
        return Fault::None;
    }
    --times;
    return fault;
}

auto FakeStore::strike(Fault fault, int times) -> void
{
    writeStrike_ = { .fault = fault, .times = times };
}

auto FakeStore::strikeReads(Fault fault, int times) -> void
{
    readStrike_ = { .fault = fault, .times = times };
}

auto FakeStore::set(const std::string &key, const std::string &value, const std::string &session) -> void
{
    auto &entry = entries_[key];
    ++index_;
    if (entry.createIndex == 0) {
        entry.createIndex = index_;
    }
    entry.key = key;
    entry.value = value;
    entry.session = session;
    entry.modifyIndex = index_;
    answerWaiting(key);
}

auto FakeStore::expireSessions() -> void
{
    sessions_.clear();
    std::erase_if(entries_, [](const auto &item) { return !item.second.session.empty(); });
    ++index_;
}

auto FakeStore::answerSilenced() -> void
{
    for (const auto &answer : std::exchange(silenced_, {})) {
        answer();
    }
}

auto FakeStore::silencedCalls() const -> std::size_t
{
    return silenced_.size();
}

auto FakeStore::address() const -> const std::string &
{
    return address_;
}

auto FakeStore::find(const std::string &key) const -> const Entry *
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

auto FakeStore::writes() const -> int
{
    return writes_;
}

auto FakeStore::reads() const -> int
{
    return reads_;
}

auto FakeStore::waitingCalls() const -> std::size_t
{
    return waiting_.size();
}

auto FakeStore::serveKeys(const http::IncomingRequest &request, const http::Replier &replier) -> void
{
    if (request.method == http::Method::Get) {
        read(request, replier);
        return;
    }
    const auto fault = writeStrike_.take();
    if (fault == Fault::LoseRequest) {
        replier.abort();
        return;
    }
    if (fault == Fault::Late) {
        late_ = request;
        replier.abort();
        return;
    }
    if (fault == Fault::Limit) {
        replier.replyError(429, "over the rate");
        return;
    }
    if (const auto late = std::exchange(late_, std::nullopt)) {
        put(*late);
    }
    ++writes_;
    const auto isApplied = put(request);
    if (fault == Fault::LoseReply) {
        replier.abort();
    } else if (fault == Fault::Silence) {
        silenced_.emplace_back([replier, isApplied]() { replier.replyJson(200, isApplied); });
    } else {
        replier.replyJson(200, isApplied);
    }
}

auto FakeStore::put(const http::IncomingRequest &request) -> bool
{
    const auto key = request.path.substr(KeyPath.size());
    const auto *entry = find(key);
    const auto index = parameter(request, "cas");
    if (!index.empty() && std::to_string(entry == nullptr ? 0 : entry->modifyIndex) != index) {
        return false;
    }
    if (request.method == http::Method::Delete) {
        entries_.erase(key);
        ++index_;
        answerWaiting(key);
        return true;
    }
    const auto session = parameter(request, "acquire");
    if (!session.empty() && entry != nullptr && !entry->session.empty() && entry->session != session) {
        return false;
    }
    set(key, request.body, session);
    return true;
}

auto FakeStore::read(const http::IncomingRequest &request, const http::Replier &replier) -> void
{
    ++reads_;
    const auto fault = readStrike_.take();
    if (fault == Fault::Limit) {
        replier.replyError(429, "over the rate");
        return;
    }
    if (fault != Fault::None) {
        replier.abort();
        return;
    }
    const auto key = request.path.substr(KeyPath.size());
    const auto isPrefix = request.query.contains("recurse");
    const auto index = parameter(request, "index");
    if (index.empty() || index != std::to_string(index_)) {
        answerRead(key, isPrefix, replier);
        return;
    }
    auto limit = loop_.after(std::chrono::seconds(1), [this, key]() { answerWaiting(key); });
    waiting_.push_back({ .key = key, .isPrefix = isPrefix, .replier = replier, .limit = std::move(limit) });
}

auto FakeStore::answerRead(const std::string &key, bool isPrefix, const http::Replier &replier) -> void
{
    auto found = nlohmann::json::array();
    for (const auto &[name, entry] : entries_) {
        if (isPrefix ? name.starts_with(key) : name == key) {
            found.push_back(toJson(entry));
        }
    }
    const http::Headers headers = { { "X-Consul-Index", std::to_string(index_) } };
    if (found.empty()) {
        replier.reply(404, "text/plain", "", headers);
        return;
    }
    replier.replyJson(200, found, headers);
}

auto FakeStore::answerWaiting(const std::string &changed) -> void
{
    const auto firstOther = std::partition(
        waiting_.begin(), waiting_.end(), [&](const WaitingCall &call) { return !(call.isPrefix ? changed.starts_with(call.key) : changed == call.key); });
    std::vector<WaitingCall> answered(std::make_move_iterator(firstOther), std::make_move_iterator(waiting_.end()));
    waiting_.erase(firstOther, waiting_.end());
    for (const auto &call : answered) {
        answerRead(call.key, call.isPrefix, call.replier);
    }
}

auto FakeStore::serveTransaction(const http::IncomingRequest &request, const http::Replier &replier) -> void
{
    auto errors = nlohmann::json::array();
    std::vector<Creation> creations;
    for (const auto &operation : nlohmann::json::parse(request.body)) {
        const auto &pair = operation.at("KV");
        if (entries_.contains(pair.at("Key"))) {
            errors.push_back({ { "OpIndex", creations.size() }, { "What", "exists" } });
        }
        creations.push_back({ .key = pair.at("Key"), .value = text::decodeBase64(pair.at("Value").get<std::string>()).value() });
    }
    if (!errors.empty()) {
        replier.replyJson(409, { { "Errors", errors } });
        return;
    }
    for (const auto &creation : creations) {
        set(creation.key, creation.value);
    }
    replier.replyJson(200, { { "Results", nlohmann::json::array() }, { "Errors", nullptr } });
}

auto FakeStore::serveSession(const http::IncomingRequest &request, const http::Replier &replier) -> void
{
    const auto action = request.path.substr(SessionPath.size());
    const auto fault = writeStrike_.take();
    if (fault == Fault::LoseRequest || fault == Fault::LoseReply) {
        replier.abort();
        return;
    }
    if (action == "create") {
        const auto id = "session-" + std::to_string(++index_);
        sessions_.insert(id);
        const auto answer = [replier, id]() { replier.replyJson(200, { { "ID", id } }); };
        if (fault == Fault::Silence) {
            silenced_.emplace_back(answer);
        } else {
            answer();
        }
        return;
    }
    const auto id = action.substr(action.rfind('/') + 1);
    if (action.starts_with("destroy/")) {
        sessions_.erase(id);
        replier.replyJson(200, true);
        return;
    }
    if (!sessions_.contains(id)) {
        replier.replyError(404, "session not found");
        return;
    }
    replier.replyJson(200, { { { "ID", id } } });
}

} // namespace auburnspread::platform::tests
