#include "gateway/tests/site.h"

#include "gateway/entryform.h"
#include "gateway/peerexchange.h"
#include "platform/documents.h"
#include "platform/standins/wiretext.h"
#include "standins/testing/loopback.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <future>
#include <sstream>
#include <stdexcept>

#include <netinet/in.h>
#include <sys/socket.h>

namespace auburnspread::gateway::tests
{

namespace standins = adapter::standins;

namespace
{

constexpr auto WaitTimeout = std::chrono::seconds(30);

auto makeRoute(const std::string &prefix, passthrough::Repeatability repeatability, std::uint32_t attempts) -> passthrough::Route
{
    return {
        .name = prefix,
        .host = Host,
        .prefix = prefix,
        .repeatability = repeatability,
        .timeout = std::chrono::seconds(5),
        .target = std::chrono::milliseconds(300),
        .attempts = attempts,
    };
}

auto makeDocument(std::uint64_t version, const std::string &key) -> std::string
{
    using passthrough::Repeatability;
    auto check = makeRoute("/check/", Repeatability::Stream, 2);
    check.isResumable = true;
    const std::vector<passthrough::Route> routes = {
        makeRoute("/quote/", Repeatability::Stream, 1),
        check,
        makeRoute("/notice/", Repeatability::AtMostOnce, 1),
        makeRoute("/fetch/", Repeatability::Idempotent, 2),
    };
    return standins::configurationText(version, routes, "portal", "roofers", { key, "key-other" });
}

auto fetchPage(const std::string &address, const std::string &path) -> std::string
{
    Caller caller(address);
    caller.send("GET " + path + " HTTP/1.1\r\nHost: page\r\nConnection: close\r\n\r\n");
    return caller.readToEnd();
}

} // namespace

struct Site::State {
    task::EventLoop loop;
    std::unique_ptr<standins::StoreStandin> store;
    std::unique_ptr<Gateway> gateway;
    GatewaySettings settings;
    std::string callerAddress;
    std::atomic<bool> hasDrained = false;
    std::unique_ptr<PeerExchange> otherEntries;
    std::vector<task::Watch> heartbeats;
};

Site::Site(const std::string &keyWithdrawalMs)
    : state_(std::make_unique<State>())
{
    auto &state = *state_;
    state.store = std::make_unique<standins::StoreStandin>(state.loop);
    state.store->put(std::string(standins::ConfigurationKey), makeDocument(1, "key-1"));
    state.settings = {
        .name = "entry-1",
        .failureDomain = "a",
        .callerAddress = "127.0.0.1:0",
        .readinessAddress = auburnspread::standins::takeLoopbackAddress(),
        .addressesAddress = auburnspread::standins::takeLoopbackAddress(),
        .peerAddress = auburnspread::standins::takeLoopbackAddress(),
        .metricsAddress = auburnspread::standins::takeLoopbackAddress(),
        .storeAddress = state.store->address(),
        .leaseTime = std::chrono::milliseconds(3000),
        .keyWithdrawal = std::chrono::milliseconds(std::stoi(keyWithdrawalMs)),
        .leavingTime = std::chrono::seconds(8),
        .retryRatio = 0.2,
        .retryWindow = std::chrono::seconds(10),
        .retryAllowance = 50,
        .keepAddresses = std::chrono::seconds(5),
        .logLevel = "error",
    };
    state.gateway = std::make_unique<Gateway>(state.loop, state.settings);
    state.callerAddress = state.gateway->callerAddress();
    state.gateway->start();
    thread_ = std::thread([&state]() { state.loop.run(); });
    if (!waitUntil([this]() { return readiness().find("200") != std::string::npos; })) {
        throw std::runtime_error("the gateway did not become ready");
    }
}

Site::~Site()
{
    state_->loop.stop();
    thread_.join();
    state_->heartbeats.clear();
    state_->otherEntries.reset();
    state_->gateway.reset();
    state_->store.reset();
}

auto Site::callerAddress() const -> const std::string &
{
    return state_->callerAddress;
}

auto Site::readiness() const -> std::string
{
    return fetchPage(state_->settings.readinessAddress, std::string(standins::ReadinessPath));
}

auto Site::addresses() const -> std::string
{
    return fetchPage(state_->settings.addressesAddress, standins::addressesQuestion(Host, "a"));
}

auto Site::metrics() const -> std::string
{
    return fetchPage(state_->settings.metricsAddress, "/metrics");
}

auto Site::runOnLoop(const std::function<void(standins::StoreStandin &store)> &action) const -> void
{
    std::promise<void> done;
    const auto watch = state_->loop.after(Duration::zero(), [&]() {
        action(*state_->store);
        done.set_value();
    });
    done.get_future().wait();
}

auto Site::addServer(const std::string &id, const std::string &service, const std::string &address, const std::string &version) -> void
{
    const auto entry = standins::serverText({ .service = service, .address = address, .failureDomain = "a", .slots = 6, .version = { version } });
    const auto countServers = [this]() {
        const auto page = metrics();
        const std::string name = "\nauburnspread_backend_servers ";
        const auto at = page.find(name);
        return at == std::string::npos ? 0 : std::stoi(page.substr(at + name.size()));
    };
    const auto countBefore = countServers();
    runOnLoop([&](standins::StoreStandin &store) { store.put(standins::serverKey(id), entry); });
    if (!waitUntil([&]() { return countServers() > countBefore; })) {
        throw std::runtime_error("the gateway did not read the registration of the server");
    }
}

auto Site::addEntry(const std::string &name, const std::string &callerAddress) -> void
{
    const fleet::EntryRecord entry{ .name = name, .callerAddress = callerAddress, .peerAddress = auburnspread::standins::takeLoopbackAddress() };
    runOnLoop([&](standins::StoreStandin &store) {
        store.put("auburnspread/entries/" + name,
                  adapter::encodeEntry(
                      { .name = name, .callerAddress = entry.callerAddress, .peerAddress = entry.peerAddress, .failureDomain = "a", .strength = 10 }));
        state_->otherEntries = std::make_unique<PeerExchange>(
            state_->loop, entry.peerAddress, [](const PeerMessage &) {}, [](const std::string &) {});
        state_->heartbeats.push_back(state_->loop.every(
            fleet::HeartbeatInterval, [this, entry]() { state_->otherEntries->sendTo({ state_->settings.peerAddress }, fleet::Heartbeat{ .entry = entry }); }));
    });
    if (!waitUntil([&]() { return addresses().find(callerAddress) != std::string::npos; })) {
        throw std::runtime_error("the gateway did not learn of the entry");
    }
}

auto Site::putConfiguration(std::uint64_t version, const std::string &key) -> void
{
    runOnLoop([&](standins::StoreStandin &store) { store.put(std::string(standins::ConfigurationKey), makeDocument(version, key)); });
}

auto Site::setKeyWithdrawal(Duration keyWithdrawal) -> bool
{
    auto isFullyApplied = false;
    runOnLoop([&](standins::StoreStandin &) {
        auto changed = state_->settings;
        changed.keyWithdrawal = keyWithdrawal;
        isFullyApplied = state_->gateway->applySettings(changed);
    });
    return isFullyApplied;
}

auto Site::drain() -> void
{
    runOnLoop([this](standins::StoreStandin &) { state_->gateway->drain([this]() { state_->hasDrained = true; }); });
}

auto Site::hasDrained() const -> bool
{
    return state_->hasDrained;
}

SiteWithServer::SiteWithServer()
    : caller(site.callerAddress())
{
    site.addServer("i-1", "portal", server.address());
}

auto SiteWithServer::sendAndAccept(const std::string &request) const -> Connection
{
    caller.send(request);
    auto connection = server.accept();
    connection.readUntil(EndOfHead);
    return connection;
}

auto sendConcurrently(const Site &site, const std::string &path, int requests, const std::string &headers) -> std::vector<std::string>
{
    std::deque<Caller> callers;
    for (auto i = 0; i < requests; ++i) {
        callers.emplace_back(site.callerAddress());
        callers.back().send(makeRequest(path, "id-" + std::to_string(i), "", headers));
    }
    std::vector<std::string> answers(callers.size());
    std::transform(callers.begin(), callers.end(), answers.begin(), [](Caller &caller) { return caller.readUntil(EndOfHead); });
    return answers;
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

auto makeRefusingAddress() -> std::string
{
    Server refusing;
    auto address = refusing.address();
    refusing.close();
    return address;
}

auto waitUntil(const std::function<bool()> &isTrue) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + WaitTimeout;
    while (!isTrue()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

auto makeHead(const std::string &methodAndPath, const std::string &id, const std::string &key) -> std::string
{
    std::ostringstream text;
    text << methodAndPath << " HTTP/1.1\r\nHost: " << Host << "\r\n" << standins::attemptIdLine(id) << "\r\n" << standins::keyLine(key) << "\r\n";
    return text.str();
}

auto makeRequest(const std::string &path, const std::string &id, const std::string &body, const std::string &headers) -> std::string
{
    std::ostringstream text;
    text << makeHead((body.empty() ? "GET " : "POST ") + path, id) << headers;
    if (!body.empty()) {
        text << "Content-Length: " << body.size() << "\r\n";
    }
    text << "\r\n" << body;
    return text.str();
}

auto makeAnswerHead(const std::string &id, const std::string &status) -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + standins::attemptIdLine(id) + "\r\n" + standins::signatureLine("sig-" + id) + "\r\n";
}

auto makeAnswer(const std::string &id, const std::string &body, const std::string &status) -> std::string
{
    return makeAnswerHead(id, status) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto makeStreamHead(const std::string &id) -> std::string
{
    return makeAnswerHead(id, "200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto makeChunk(const std::string &bytes) -> std::string
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

} // namespace auburnspread::gateway::tests
