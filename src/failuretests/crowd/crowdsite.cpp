#include "failuretests/crowd/crowdsite.h"

#include "platform/standins/wiretext.h"
#include "runtime/net/endpoint.h"
#include "standins/testing/loopback.h"

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <stdexcept>

#include <stdlib.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace auburnspread::failuretests
{

namespace
{

namespace standins = adapter::standins;
using passthrough::Repeatability;

constexpr auto Host = "quotes.example";
constexpr auto Key = "key-1";
constexpr int OkStatus = 200;
constexpr std::size_t Servers = 3;
constexpr int LargeEvents = 64;
constexpr auto ReadyTimeout = std::chrono::seconds(30);
constexpr timeval AnswerTimeout{ .tv_sec = 30, .tv_usec = 0 };

auto makeFolder() -> std::filesystem::path
{
    auto name = (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("crowd site: no folder for its files");
    }
    return name;
}

auto makeRoute(const std::string &prefix, Repeatability repeatability) -> passthrough::Route
{
    return { .name = prefix,
             .host = Host,
             .prefix = prefix,
             .repeatability = repeatability,
             .timeout = std::chrono::seconds(15),
             .target = std::chrono::milliseconds(300),
             .attempts = 1 };
}

} // namespace

CrowdSite::CrowdSite(const CrowdSiteOptions &options)
    : folder_(makeFolder())
    , store_(loop_)
{
    for (auto *address : { &addresses_.caller, &addresses_.addresses, &addresses_.readiness, &addresses_.peer, &addresses_.metrics }) {
        *address = auburnspread::standins::takeLoopbackAddress();
    }
    addresses_.host = addresses_.caller.substr(0, addresses_.caller.find(':'));
    const std::vector<passthrough::Route> routes = { makeRoute(PlainPath, Repeatability::Idempotent),
                                                     makeRoute(LargeStreamPath, Repeatability::Stream),
                                                     makeRoute(LargePath, Repeatability::Idempotent) };
    store_.put(std::string(standins::ConfigurationKey), standins::configurationText(1, routes, "portal", "roofers", { Key }, options.limits));
    for (std::size_t number = 0; number < Servers; ++number) {
        const auto id = "i-" + std::to_string(number);
        servers_.push_back(std::make_unique<standins::ServerStandin>(loop_,
                                                                     standins::ServerStandinOptions{
                                                                         .id = id,
                                                                         .streamPrefix = LargeStreamPath,
                                                                         .events = LargeEvents,
                                                                         .eventPause = std::chrono::milliseconds(1),
                                                                         .onExecuted = [](const standins::Execution &) {},
                                                                         .largePrefix = LargePath,
                                                                         .largeBytes = options.answerBytes,
                                                                     }));
        constexpr std::uint32_t Slots = 1000; // a crowd is not to wait for room
        store_.put(standins::serverKey(id),
                   standins::serverText({ .service = "portal", .address = servers_.back()->address(), .failureDomain = "a", .slots = Slots }));
    }
    thread_ = std::thread([this]() { loop_.run(); });
    gateway_ = std::make_unique<Process>(ProcessOptions{ .program = "auburnspread-gateway",
                                                         .arguments = { "--config", writeSettings() },
                                                         .output = folder_ / "gateway.log",
                                                         .descriptors = options.descriptors });
    const auto deadline = std::chrono::steady_clock::now() + ReadyTimeout;
    while (!serves()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("crowd site: the gateway does not serve: " + gateway_->output());
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

CrowdSite::~CrowdSite()
{
    gateway_.reset();
    loop_.stop();
    thread_.join();
    std::error_code ignored; // files of a test that is over
    std::filesystem::remove_all(folder_, ignored);
}

auto CrowdSite::writeSettings() const -> std::string
{
    const auto path = folder_ / "gateway.ini";
    std::ofstream file(path);
    file << "[gateway]\nname = entry-1\nfailure_domain = a\n[listen]\ncaller = " << addresses_.caller << "\nreadiness = " << addresses_.readiness
         << "\naddresses = " << addresses_.addresses << "\npeer = " << addresses_.peer << "\nmetrics = " << addresses_.metrics
         << "\n[platform]\nstore = " << store_.address() << "\n";
    return path;
}

auto CrowdSite::addresses() const -> const Addresses &
{
    return addresses_;
}

auto CrowdSite::gateway() -> Process &
{
    return *gateway_;
}

auto CrowdSite::makeRequest(const std::string &method, const std::string &path, const std::string &framing) -> std::string
{
    static std::atomic<int> lastId = 0;
    return method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\n" + standins::attemptIdLine("id-" + std::to_string(++lastId)) + "\r\n"
        + standins::keyLine(Key) + "\r\n" + standins::deadlineLine(14'000) + "\r\n" + framing + "\r\n";
}

auto CrowdSite::ask(const std::string &request) const -> int
{
    auto target = net::toSocketAddress(*net::parseEndpoint(addresses_.caller));
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &AnswerTimeout, sizeof AnswerTimeout);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &AnswerTimeout, sizeof AnswerTimeout);
    std::string answer;
    if (::connect(descriptor, target.get(), target.size) == 0) {
        ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
        std::array<char, 4096> bytes{};
        const auto got = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        answer.assign(bytes.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
    }
    ::close(descriptor);
    constexpr std::string_view Start = "HTTP/1.1 ";
    return answer.starts_with(Start) ? std::stoi(answer.substr(Start.size())) : 0;
}

auto CrowdSite::serves() const -> bool
{
    return ask(makeRequest("GET", PlainPath + std::string("1"))) == OkStatus;
}

} // namespace auburnspread::failuretests
