#include "standins/engine/engineserver.h"

#include "standins/controlmessage.h"
#include "standins/crash.h"
#include "standins/engine/sampling.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace auburnspread::standins
{

namespace
{

constexpr int Accepted = 202;
constexpr int Conflict = 409;
constexpr int DefaultUrgency = 3;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t KvTokensPerSlot = 4096;
constexpr double TokensPerThousand = 1000;
constexpr auto MostCatchUp = std::chrono::milliseconds(20);

auto readUrgency(const HttpRequest &request) -> int
{
    const auto priority = request.header("priority").value_or("");
    const auto at = priority.find("u=");
    if (at == std::string::npos || at + 2 >= priority.size()) {
        return DefaultUrgency;
    }
    const int urgency = priority[at + 2] - '0';
    return urgency >= 0 && urgency <= 7 ? urgency : DefaultUrgency;
}

auto readOffset(const HttpRequest &request) -> std::size_t
{
    return parseCount(request.header("resume-offset").value_or("0"));
}

auto contains(const std::string &text, const std::string &part) -> bool
{
    return !part.empty() && text.find(part) != std::string::npos;
}

} // namespace

EngineServer::EngineServer(task::EventLoop &loop, EngineOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , batch_{ .options = options_.batch }
    , cache_(options_.prefixCacheBlocks)
    , cacheEvents_{ .lag = options_.cacheEventLag }
    , server_({ .loop = loop, .address = options_.listen, .handle = [this](const auto &exchange) { handle(exchange); } })
    , control_({ .loop = loop, .address = options_.control, .handle = [this](const auto &exchange) { handleControl(exchange); } })
{
    wanted_.models = options_.models;
    wanted_.anyModel = options_.models.empty();
    if (options_.platform) {
        weights_.emplace(loop_, *options_.platform);
    }
    takeReport();
    if (options_.reportLag > Duration::zero()) {
        reportTimer_ = loop_.every(options_.reportLag, [this]() { takeReport(); });
    }
}

auto EngineServer::server() const -> const HttpServer &
{
    return server_;
}

auto EngineServer::control() const -> const HttpServer &
{
    return control_;
}

auto EngineServer::handle(const ExchangePointer &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.method == "POST" && request.path == "/v1/chat/completions") {
        handleChat(exchange);
    } else if (request.method == "GET" && request.path == "/health") {
        exchange->replyJson(200, { { "name", options_.name } });
    } else if (request.method == "GET" && request.path == "/load") {
        exchange->replyJson(200, loadJson());
    } else if (request.method == "GET" && request.path == "/cache-events") {
        const auto since = parseCount(request.parameter("since").value_or("0"));
        exchange->replyJson(200, eventsSince(cacheEvents_, since, task::monotonicNow()));
    } else if (request.method == "GET" && request.path == "/orders") {
        exchange->replyJson(200, toJson(wanted_));
    } else if (request.method == "PUT" && request.path == "/orders") {
        handleOrder(exchange);
    } else {
        replyNoSuchCall(exchange);
    }
}

auto EngineServer::handleControl(const ExchangePointer &exchange) -> void
{
    answerControl(exchange,
                  { .apply = [this](const auto &message) { applyControlMessage(message); },
                    .reportPath = "/control/executions",
                    .report = [this]() { return executions_.toJson(); } });
}

auto EngineServer::applyControlMessage(const nlohmann::json &message) -> void
{
    const auto orders = applyControl(faults_, message);
    if (orders.crash) {
        crashProcess();
    }
    cacheEvents_.gapEvery = faults_.cacheGapEvery;
    if (orders.tokenTime) {
        batch_.options.tokenTime = *orders.tokenTime;
    }
    if (orders.silenceOpen) {
        server_.silenceOpen();
    }
    if (orders.silent) {
        server_.setSilent(*orders.silent);
    }
}

auto EngineServer::handleChat(const ExchangePointer &exchange) -> void
{
    if (faults_.refuse || isFull(batch_)) {
        refuseNotStarted(exchange, faults_.refuse ? "refused" : "queue full");
        return;
    }
    const auto &request = exchange->request();
    const auto body = nlohmann::json::parse(request.body);
    Stream stream{ .exchange = exchange, .answer = answerTo(body), .attempt = request.header("x-request-id").value_or("") };
    if (!serves(wanted_, body.at("model").get<std::string>())) {
        refuseNotStarted(exchange, "model not served");
        return;
    }
    stream.firstToken = readOffset(request);
    if (stream.firstToken > stream.answer.tokenCount) {
        throw std::invalid_argument("Resume-Offset is beyond the answer");
    }
    stream.streaming = body.value("stream", false);
    stream.promptTokens = stream.answer.canonical.size() / BytesPerToken + 1;
    stream.cachedTokens = cache_.use(stream.answer.canonical) / BytesPerToken;
    addChanges(cacheEvents_, cache_.takeChanges(), task::monotonicNow());
    const auto prefill
        = options_.prefillPerThousand * (static_cast<double>(stream.promptTokens - stream.cachedTokens) / TokensPerThousand) * faults_.slowFactor;

    const BatchId id{ ++lastId_ };
    enqueue(batch_,
            { .id = id,
              .urgency = readUrgency(request),
              .nextToken = stream.firstToken,
              .tokenCount = stream.answer.tokenCount,
              .promptTokens = stream.promptTokens,
              .prefill = std::chrono::duration_cast<Duration>(prefill) });
    exchange->whenClosed([this, id]() { cancel(id); });
    streams_.emplace(id, std::move(stream));
    startRequests();
}

auto EngineServer::startRequests() -> void
{
    for (const auto id : startWaiting(batch_, task::monotonicNow())) {
        beginAnswer(id);
    }
    planStep();
}

auto EngineServer::beginAnswer(BatchId id) -> void
{
    auto &stream = streams_.at(id);
    if (contains(stream.answer.canonical, faults_.crashText)) {
        crashProcess();
    }
    executions_.start(id, stream.attempt, digestOf(stream.answer));
    if (isHit(++answersStarted_, faults_.truncateEvery)) {
        stream.stopAfter = std::max<std::size_t>(1, (stream.answer.tokenCount - stream.firstToken) / 2);
    }
    if (stream.streaming) {
        stream.exchange->beginStream({ .contentType = "text/event-stream", .headers = { { "X-Request-Id", stream.attempt } } });
    }
}

auto EngineServer::planStep() -> void
{
    if (stepPlanned_) {
        return;
    }
    if (batch_.running.empty()) {
        idle_ = true;
        return;
    }
    const auto now = task::monotonicNow();
    //! NOTE planned from the last planned step: timers are late by some milliseconds, and without catching up the
    //! lateness of every step would add to the pace
    const auto lastStep = std::exchange(idle_, false) ? now : std::max(nextStep_, now - MostCatchUp);
    nextStep_ = std::max(lastStep + stepTime(batch_, faults_.slowFactor), firstReady(batch_));
    stepPlanned_ = true;
    stepTimer_ = loop_.after(std::max(nextStep_ - now, Duration::zero()), [this]() { step(); });
}

auto EngineServer::step() -> void
{
    stepPlanned_ = false;
    for (const auto &output : runStep(batch_, task::monotonicNow())) {
        const auto found = streams_.find(output.id);
        if (found == streams_.end()) {
            continue;
        }
        auto &stream = found->second;
        if (isCutNow(stream)) {
            stream.exchange->sever();
            cancel(output.id);
            continue;
        }
        if (isTruncatedNow(stream)) {
            stream.exchange->endStream();
            cancel(output.id);
            continue;
        }
        if (output.token) {
            executions_.countToken(output.id);
            sendToken(stream, *output.token);
        }
        if (output.finished) {
            finish(output.id);
        }
    }
    startRequests();
}

auto EngineServer::isCutNow(const Stream &stream) const -> bool
{
    return faults_.cutAfter != 0 && stream.sentTokens >= faults_.cutAfter;
}

auto EngineServer::isTruncatedNow(const Stream &stream) -> bool
{
    return stream.streaming && stream.stopAfter != 0 && stream.sentTokens >= stream.stopAfter;
}

auto EngineServer::otherStream(const Stream &stream) const -> const Stream *
{
    for (const auto &[id, other] : streams_) {
        if (&other != &stream && other.streaming) {
            return &other;
        }
    }
    return nullptr;
}

auto EngineServer::sendToken(Stream &stream, std::size_t token) -> void
{
    ++stream.sentTokens;
    if (!stream.streaming) {
        return;
    }
    ++chunksSent_;
    if (faults_.rubbish) {
        stream.exchange->sendPiece("\x01\x02 no event at all }{\n\n");
        return;
    }
    const auto *other = isHit(chunksSent_, faults_.crossedEvery) ? otherStream(stream) : nullptr;
    const auto &source = other != nullptr ? *other : stream;
    const auto id = isHit(chunksSent_, faults_.wrongIdEvery) ? "unknown-" + std::to_string(chunksSent_) : source.attempt;
    stream.exchange->sendPiece(tokenEvent(id, token, tokenAt(source.answer, token)));
}

auto EngineServer::finish(BatchId id) -> void
{
    const auto stream = std::move(streams_.extract(id).mapped());
    executions_.finish(id);
    const Usage usage{ .promptTokens = stream.promptTokens, .cachedTokens = stream.cachedTokens, .completionTokens = stream.answer.tokenCount };
    const auto *reason = stream.answer.cutByLimit ? "length" : "stop";
    if (!stream.streaming) {
        const auto text = faults_.rubbish ? std::string("}{") : completionDocument(stream.attempt, textOf(stream.answer), reason, usage);
        stream.exchange->reply({ .headers = { { "X-Request-Id", stream.attempt } }, .body = text });
        return;
    }
    if (!faults_.rubbish) {
        stream.exchange->sendPiece(finalEvents(stream.attempt, reason, usage));
    }
    stream.exchange->endStream();
}

auto EngineServer::cancel(BatchId id) -> void
{
    removeRequest(batch_, id);
    executions_.abandon(id);
    streams_.erase(id);
    startRequests();
}

auto EngineServer::handleOrder(const ExchangePointer &exchange) -> void
{
    const auto order = nlohmann::json::parse(exchange->request().body);
    if (options_.checksFencing && order.at("fence").get<std::uint64_t>() < wanted_.fence) {
        exchange->replyJson(Conflict, { { "fence", wanted_.fence } });
        return;
    }
    applyOrder(wanted_, order);
    loadModels();
    exchange->replyJson(Accepted, toJson(wanted_));
}

auto EngineServer::loadModels() -> void
{
    for (auto &model : wanted_.models) {
        if (model.loaded || model.loading) {
            continue;
        }
        model.loading = true;
        if (!weights_) {
            model.loaded = true;
            continue;
        }
        const auto isWanted = [this, name = model.model, version = model.version]() {
            return std::any_of(wanted_.models.begin(), wanted_.models.end(), [&](const auto &entry) {
                return entry.model == name && entry.version == version && !entry.loaded;
            });
        };
        const auto load = [this, name = model.model, version = model.version]() { markLoaded(wanted_, name, version); };
        weights_->fetch(model.model, model.version, isWanted, load);
    }
}

auto EngineServer::takeReport() -> void
{
    const auto capacity = static_cast<double>(KvTokensPerSlot * std::max<std::size_t>(1, batch_.options.slots));
    report_ = { .running = batch_.running.size(),
                .waiting = batch_.waiting.size(),
                .kvUsed = std::min(1.0, static_cast<double>(heldTokens(batch_)) / capacity),
                .taken = task::monotonicNow() };
}

auto EngineServer::loadJson() -> nlohmann::json
{
    if (options_.reportLag == Duration::zero()) {
        takeReport();
    }
    const auto lie = [this](std::size_t count) { return static_cast<std::size_t>(static_cast<double>(count) * faults_.reportLie); };
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(task::monotonicNow() - report_.taken);
    return { { "running", lie(report_.running) }, { "waiting", lie(report_.waiting) }, { "age_ms", age.count() }, { "kv_used", report_.kvUsed } };
}

} // namespace auburnspread::standins
