#include "standins/platform/platformserver.h"

#include "standins/controlmessage.h"
#include "standins/platform/storejson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace auburnspread::standins
{

namespace
{

constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int TooLarge = 413;
constexpr int Limited = 429;

constexpr std::size_t LargestValue = 1U << 20U;
constexpr std::size_t MostOperations = 64;
constexpr auto DefaultWait = std::chrono::minutes(5);
constexpr auto ExpiryCheck = std::chrono::milliseconds(10);
constexpr auto IndexHeader = "X-Consul-Index";
constexpr std::string_view KeyPath = "/v1/kv/";
constexpr std::string_view SessionPath = "/v1/session/";
constexpr std::string_view WeightsPath = "/v1/weights/";

auto keyOf(const HttpRequest &request) -> std::string
{
    return request.path.substr(KeyPath.size());
}

auto optionalCount(const std::optional<std::string> &text) -> std::optional<std::uint64_t>
{
    return text ? std::optional<std::uint64_t>(parseCount(*text)) : std::nullopt;
}

auto waitOf(const HttpRequest &request) -> Duration
{
    const auto wait = request.parameter("wait");
    return wait ? parseDuration(*wait) : Duration(DefaultWait);
}

auto booleanReply(bool value) -> HttpReply
{
    return { .body = value ? "true" : "false" };
}

auto isTooLarge(const std::vector<CasOperation> &operations) -> bool
{
    const auto exceeds = [](const CasOperation &operation) { return operation.value.size() > LargestValue; };
    return operations.size() > MostOperations || std::any_of(operations.begin(), operations.end(), exceeds);
}

auto toJson(const CallCounts &counts, std::size_t waiting) -> nlohmann::json
{
    return { { "arrived", counts.arrived },
             { "reads", counts.reads },
             { "watches", counts.watches },
             { "writes", counts.writes },
             { "transactions", counts.transactions },
             { "sessions", counts.sessions },
             { "vms", counts.vms },
             { "weights", counts.weights },
             { "limited", counts.limited },
             { "lost_replies", counts.lostReplies },
             { "waiting", waiting } };
}

} // namespace

PlatformServer::PlatformServer(task::EventLoop &loop, const PlatformOptions &options)
    : loop_(loop)
    , delayed_(loop)
    , keyWatches_(loop)
    , vmWatches_(loop)
    , readRate_{ .perSecond = options.readsPerSecond }
    , writeRate_{ .perSecond = options.writesPerSecond }
    , weightsTime_(options.weightsTime)
    , server_({ .loop = loop, .address = options.listen, .handle = [this](const auto &exchange) { handle(exchange); } })
    , control_({ .loop = loop, .address = options.control, .handle = [this](const auto &exchange) { handleControl(exchange); } })
{
    expiry_ = loop_.every(ExpiryCheck, [this]() {
        expireSessions(store_, task::monotonicNow());
        wakeWatches();
    });
}

auto PlatformServer::server() const -> const HttpServer &
{
    return server_;
}

auto PlatformServer::control() const -> const HttpServer &
{
    return control_;
}

//! NOTE a slow call takes effect at the end of its delay, even if its caller has given up on it by then: that late
//! effect is what callers have to cope with
auto PlatformServer::handle(const ExchangePointer &exchange) -> void
{
    ++counts_.arrived;
    delayed_.callAfter(faults_.slow, [this, exchange]() {
        try {
            route(exchange);
        } catch (const std::exception &error) {
            exchange->replyJson(400, { { "error", error.what() } });
        }
    });
}

auto PlatformServer::route(const ExchangePointer &exchange) -> void
{
    const auto &[method, path, query, headers, body, source] = exchange->request();
    const bool isKey = path.starts_with(KeyPath);
    if (isKey && method == "GET") {
        handleRead(exchange);
    } else if (isKey && method == "PUT") {
        handlePut(exchange);
    } else if (isKey && method == "DELETE") {
        handleDelete(exchange);
    } else if (method == "PUT" && path == "/v1/txn") {
        handleTransaction(exchange);
    } else if (method == "PUT" && path.starts_with(SessionPath)) {
        handleSession(exchange);
    } else if (method == "GET" && path == "/v1/vms") {
        handleVms(exchange);
    } else if (method == "GET" && path.starts_with(WeightsPath)) {
        handleWeights(exchange);
    } else {
        replyNoSuchCall(exchange);
    }
}

auto PlatformServer::admits(CallRate &rate, const ExchangePointer &exchange) -> bool
{
    if (admitCall(rate, task::monotonicNow())) {
        return true;
    }
    ++counts_.limited;
    exchange->replyJson(Limited, { { "error", "call rate exceeded" } });
    return false;
}

auto PlatformServer::handleRead(const ExchangePointer &exchange) -> void
{
    if (!admits(readRate_, exchange)) {
        return;
    }
    const auto &request = exchange->request();
    const bool isPrefix = request.parameter("recurse").has_value();
    const auto index = optionalCount(request.parameter("index")).value_or(0);
    const auto key = keyOf(request);
    const auto current = isPrefix ? indexOfPrefix(store_, key) : indexOfKey(store_, key);
    if (index == 0 || current > index) {
        ++counts_.reads;
        answerRead(exchange);
        return;
    }
    ++counts_.watches;
    keyWatches_.add(exchange, { .key = key, .isPrefix = isPrefix, .index = index }, waitOf(request), [this, exchange]() {
        delayed_.callAfter(faults_.slow, [this, exchange]() { answerRead(exchange); });
    });
}

auto PlatformServer::answerRead(const ExchangePointer &exchange) -> void
{
    const auto &request = exchange->request();
    const bool isPrefix = request.parameter("recurse").has_value();
    const auto key = keyOf(request);
    const auto index = isPrefix ? indexOfPrefix(store_, key) : indexOfKey(store_, key);
    HttpReply reply{ .headers = { { IndexHeader, std::to_string(index) } } };
    if (const auto *stored = findValue(store_, key); stored != nullptr && request.parameter("raw")) {
        reply.contentType = "application/octet-stream";
        reply.body = stored->value;
        exchange->reply(reply);
        return;
    }
    const auto list = listValues(store_, key, isPrefix);
    if (list.empty()) {
        reply.status = NotFound;
    } else {
        reply.body = list.dump();
    }
    exchange->reply(reply);
}

auto PlatformServer::handlePut(const ExchangePointer &exchange) -> void
{
    if (!admits(writeRate_, exchange)) {
        return;
    }
    ++counts_.writes;
    const auto &request = exchange->request();
    if (request.body.size() > LargestValue) {
        exchange->replyJson(TooLarge, { { "error", "value exceeds 1 MB" } });
        return;
    }
    const PutOptions options{ .cas = optionalCount(request.parameter("cas")),
                              .acquire = request.parameter("acquire"),
                              .release = request.parameter("release"),
                              .flags = optionalCount(request.parameter("flags")).value_or(0) };
    const auto key = keyOf(request);
    const bool written = putValue(store_, key, request.body, options);
    answerWrite(exchange, key, booleanReply(written));
}

auto PlatformServer::handleDelete(const ExchangePointer &exchange) -> void
{
    if (!admits(writeRate_, exchange)) {
        return;
    }
    ++counts_.writes;
    const auto key = keyOf(exchange->request());
    const bool deleted = deleteValue(store_, key, optionalCount(exchange->request().parameter("cas")));
    answerWrite(exchange, key, booleanReply(deleted));
}

auto PlatformServer::handleTransaction(const ExchangePointer &exchange) -> void
{
    if (!admits(writeRate_, exchange)) {
        return;
    }
    ++counts_.transactions;
    const auto operations = readOperations(nlohmann::json::parse(exchange->request().body));
    if (isTooLarge(operations)) {
        exchange->replyJson(TooLarge, { { "error", "more than 64 operations, or a value exceeds 1 MB" } });
        return;
    }
    const auto failed = runTransaction(store_, operations);
    const auto key = operations.empty() ? std::string() : operations.front().key;
    const auto body = failed.empty() ? transactionResults(store_, operations) : transactionErrors(failed);
    answerWrite(exchange, key, { .status = failed.empty() ? 200 : Conflict, .body = body.dump() });
}

auto PlatformServer::answerWrite(const ExchangePointer &exchange, const std::string &key, const HttpReply &reply) -> void
{
    if (faults_.loseReplies > 0 && key.starts_with(faults_.loseRepliesKey)) {
        --faults_.loseReplies;
        ++counts_.lostReplies;
        exchange->sever();
    } else {
        exchange->reply(reply);
    }
    wakeWatches();
}

auto PlatformServer::handleSession(const ExchangePointer &exchange) -> void
{
    if (!admits(writeRate_, exchange)) {
        return;
    }
    ++counts_.sessions;
    const auto &request = exchange->request();
    const auto call = request.path.substr(SessionPath.size());
    const auto now = task::monotonicNow();
    const auto slash = std::min(call.find('/'), call.size());
    const auto verb = call.substr(0, slash);
    const auto id = call.substr(std::min(slash + 1, call.size()));
    if (verb == "create") {
        exchange->replyJson(200, { { "ID", createSession(store_, readSession(request.body), now) } });
    } else if (verb == "renew") {
        if (const auto *session = renewSession(store_, id, now)) {
            exchange->replyJson(200, nlohmann::json::array({ toJson(id, *session) }));
        } else {
            exchange->replyJson(NotFound, { { "error", "no such session" } });
        }
    } else if (verb == "destroy") {
        endSession(store_, id);
        exchange->reply(booleanReply(true));
        wakeWatches();
    } else {
        replyNoSuchCall(exchange);
    }
}

auto PlatformServer::handleVms(const ExchangePointer &exchange) -> void
{
    if (!admits(readRate_, exchange)) {
        return;
    }
    ++counts_.vms;
    const auto &request = exchange->request();
    const auto index = optionalCount(request.parameter("index")).value_or(0);
    if (index == 0 || vms_.index > index) {
        answerVms(exchange);
        return;
    }
    vmWatches_.add(exchange, { .index = index }, waitOf(request), [this, exchange]() { answerVms(exchange); });
}

auto PlatformServer::answerVms(const ExchangePointer &exchange) -> void
{
    exchange->reply({ .headers = { { IndexHeader, std::to_string(vms_.index) } }, .body = standins::toJson(vms_).dump() });
}

auto PlatformServer::handleWeights(const ExchangePointer &exchange) -> void
{
    ++counts_.weights;
    const auto now = task::monotonicNow();
    weightsFree_ = std::max(weightsFree_, now) + weightsTime_;
    const auto name = exchange->request().path.substr(WeightsPath.size());
    delayed_.callAfter(weightsFree_ - now, [exchange, name]() { exchange->replyJson(200, { { "weights", name } }); });
}

auto PlatformServer::wakeWatches() -> void
{
    for (const auto &key : takeChangedKeys(store_)) {
        keyWatches_.wake(key, indexOfKey(store_, key));
    }
}

auto PlatformServer::endSessionNamed(const std::string &idOrName) -> void
{
    std::vector<std::string> ended;
    for (const auto &[id, session] : store_.sessions) {
        if (id == idOrName || session.name == idOrName) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        endSession(store_, id);
    }
    wakeWatches();
}

auto PlatformServer::handleControl(const ExchangePointer &exchange) -> void
{
    answerControl(exchange,
                  { .apply = [this](const auto &message) { applyControlMessage(message); },
                    .reportPath = "/control/counts",
                    .report = [this]() { return toJson(counts_, keyWatches_.size() + vmWatches_.size()); } });
}

auto PlatformServer::applyControlMessage(const nlohmann::json &message) -> void
{
    std::optional<Vm> vm;
    applyMembers(message,
                 { { "down", [&](const auto &value) { server_.setDown(value.template get<bool>()); } },
                   { "cut", [&](const auto &value) { server_.setCut(value.template get<std::vector<std::string>>()); } },
                   { "slow_ms", [&](const auto &value) { faults_.slow = readMilliseconds(value); } },
                   { "lose_replies", [&](const auto &value) { value.get_to(faults_.loseReplies); } },
                   { "lose_replies_key", [&](const auto &value) { value.get_to(faults_.loseRepliesKey); } },
                   { "vm_lag_ms", [&](const auto &value) { faults_.vmLag = readMilliseconds(value); } },
                   { "expire_session", [&](const auto &value) { endSessionNamed(value.template get<std::string>()); } },
                   { "vm", [&](const auto &value) { vm = readVm(value); } } });
    if (vm) {
        changeVmLater(*vm);
    }
}

auto PlatformServer::changeVmLater(const Vm &vm) -> void
{
    delayed_.callAfter(faults_.vmLag, [this, vm]() {
        applyVm(vms_, vm);
        vmWatches_.wake("", vms_.index);
    });
}

} // namespace auburnspread::standins
