#include "gateway/tests/site.h"

#include "platform/standins/wiretext.h"
#include "standins/testing/loopback.h"

#include <array>
#include <atomic>
#include <chrono>
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

constexpr auto WaitBound = std::chrono::seconds(30);

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

struct Site::Running {
    task::EventLoop loop;
    std::unique_ptr<standins::StoreStandin> store;
    std::unique_ptr<Gateway> gateway;
    GatewaySettings settings;
    std::string callerAddress;
    std::atomic<bool> left = false;
};

Site::Site(const std::string &keyWithdrawalMs)
    : running_(std::make_unique<Running>())
{
    auto &running = *running_;
    running.store = std::make_unique<standins::StoreStandin>(running.loop);
    running.store->put(std::string(standins::ConfigurationKey), makeDocument(1, "key-1"));
    running.settings = {
        .name = "entry-1",
        .failureDomain = "a",
        .callerAddress = "127.0.0.1:0",
        .readinessAddress = auburnspread::standins::takeLoopbackAddress(),
        .addressesAddress = auburnspread::standins::takeLoopbackAddress(),
        .peerAddress = auburnspread::standins::takeLoopbackAddress(),
        .metricsAddress = auburnspread::standins::takeLoopbackAddress(),
        .storeAddress = running.store->address(),
        .leaseTime = std::chrono::milliseconds(3000),
        .keyWithdrawal = std::chrono::milliseconds(std::stoi(keyWithdrawalMs)),
        .leavingTime = std::chrono::seconds(8),
        .retryRatio = 0.2,
        .retryWindow = std::chrono::seconds(10),
        .retryAllowance = 50,
        .keepAddresses = std::chrono::seconds(5),
        .logLevel = "error",
    };
    running.gateway = std::make_unique<Gateway>(running.loop, running.settings);
    running.callerAddress = running.gateway->callerAddress();
    running.gateway->start();
    thread_ = std::thread([&running]() { running.loop.run(); });
    if (!waitUntil([this]() { return readiness().find("200") != std::string::npos; })) {
        throw std::runtime_error("the gateway does not become ready");
    }
}

Site::~Site()
{
    running_->loop.stop();
    thread_.join();
    running_->gateway.reset();
    running_->store.reset();
}

auto Site::callerAddress() const -> const std::string &
{
    return running_->callerAddress;
}

auto Site::readiness() const -> std::string
{
    return fetchPage(running_->settings.readinessAddress, std::string(standins::ReadinessPath));
}

auto Site::addresses() const -> std::string
{
    return fetchPage(running_->settings.addressesAddress, standins::addressesQuestion(Host, "a"));
}

auto Site::metrics() const -> std::string
{
    return fetchPage(running_->settings.metricsAddress, "/metrics");
}

auto Site::onLoop(const std::function<void(standins::StoreStandin &store)> &action) const -> void
{
    std::promise<void> done;
    const auto watch = running_->loop.after(Duration::zero(), [&]() {
        action(*running_->store);
        done.set_value();
    });
    done.get_future().wait();
}

auto Site::addServer(const std::string &id, const std::string &service, const std::string &address) -> void
{
    const auto entry = standins::serverText({ .service = service, .address = address, .failureDomain = "a", .slots = 6 });
    const auto known = [this]() {
        const auto page = metrics();
        const std::string name = "\nauburnspread_backend_servers ";
        const auto at = page.find(name);
        return at == std::string::npos ? 0 : std::stoi(page.substr(at + name.size()));
    };
    const auto before = known();
    onLoop([&](standins::StoreStandin &store) { store.put(standins::serverKey(id), entry); });
    if (!waitUntil([&]() { return known() > before; })) {
        throw std::runtime_error("the gateway does not see the server");
    }
}

auto Site::putConfiguration(std::uint64_t version, const std::string &key) -> void
{
    onLoop([&](standins::StoreStandin &store) { store.put(std::string(standins::ConfigurationKey), makeDocument(version, key)); });
}

auto Site::setKeyWithdrawal(Duration keyWithdrawal) -> bool
{
    auto isAllInForce = false;
    onLoop([&](standins::StoreStandin &) {
        auto changed = running_->settings;
        changed.keyWithdrawal = keyWithdrawal;
        isAllInForce = running_->gateway->takeSettings(changed);
    });
    return isAllInForce;
}

auto Site::leave() -> void
{
    onLoop([this](standins::StoreStandin &) { running_->gateway->leave([this]() { running_->left = true; }); });
}

auto Site::hasLeft() const -> bool
{
    return running_->left;
}

ServedSite::ServedSite()
    : caller(site.callerAddress())
{
    site.addServer("i-1", "portal", server.address());
}

auto ServedSite::receive(const std::string &request) const -> Connection
{
    caller.send(request);
    auto connection = server.accept();
    connection.readUntil(EndOfHead);
    return connection;
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

auto waitUntil(const std::function<bool()> &isTrue) -> bool
{
    const auto bound = std::chrono::steady_clock::now() + WaitBound;
    while (!isTrue()) {
        if (std::chrono::steady_clock::now() > bound) {
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
