/// \file
/// Opens a cell of N linked nodes on loopback in one thread and prints what control costs each of them.

#include "runtime/task/eventloop.h"
#include "wire/peer/links.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <getopt.h>
#include <memory>
#include <unistd.h>
#include <vector>

namespace
{

using namespace auburnspread;

struct Options {
    int seconds = 10;
    int reportsPerSecond = 2;
    int backends = 20;
    int workspaces = 10;
};

struct Node {
    Node(task::EventLoop &loop, int number)
        : links(loop,
                { .name = "entry-" + std::to_string(number),
                  .incarnation = 1'790'000'000'000,
                  .listenAddress = "127.0.0.1:0",
                  .secret = "a secret of all entries",
                  .seed = static_cast<std::uint64_t>(number) },
                { .opened = [this](const std::string &, std::uint64_t, const std::string &) { ++opened; },
                  .closed = [](const std::string &, membership::LinkEnd) {},
                  .dialFailed = [](const std::string &) {},
                  .received = [this](const std::string &, std::uint64_t, const peer::Message &) { ++received; } })
    {
    }

    int opened = 0;
    std::uint64_t received = 0;
    peer::Links links;
};

struct Sample {
    double cpuSeconds = 0;
    double residentKilobytes = 0;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

auto residentKilobytes() -> double
{
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    constexpr double BytesPerKilobyte = 1024;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerKilobyte;
}

auto takeSample(const std::vector<std::unique_ptr<Node>> &nodes) -> Sample
{
    Sample sample;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double Nano = 1e-9;
    sample.cpuSeconds = static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * Nano;
    sample.residentKilobytes = residentKilobytes();
    for (const auto &node : nodes) {
        for (const auto &traffic : node->links.counters().out) {
            sample.bytes += traffic.bytes;
            sample.messages += traffic.messages;
        }
    }
    return sample;
}

auto makeReport(const Options &options) -> peer::Report
{
    peer::Report report;
    for (int i = 0; i < options.backends; ++i) {
        report.report.backends.push_back({ .backend = "gpu-midrand-a-" + std::to_string(i), .inFlight = 6 });
    }
    for (int i = 0; i < options.workspaces; ++i) {
        report.report.workspaces.push_back({ .workspace = "workspace-" + std::to_string(i), .requests = 3, .tokens = 900, .inFlight = 4 });
    }
    report.report.demand = { { .model = "quote-7b", .waiting = 12, .inFlight = 40 }, { .model = "clause-3b", .waiting = 1, .inFlight = 9 } };
    return report;
}

auto runFor(task::EventLoop &loop, int seconds) -> void
{
    const auto end = loop.after(std::chrono::seconds(seconds), [&]() { loop.stop(); });
    loop.run();
}

auto openCell(task::EventLoop &loop, int count) -> std::vector<std::unique_ptr<Node>>
{
    std::vector<std::unique_ptr<Node>> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        nodes.push_back(std::make_unique<Node>(loop, i));
    }
    for (const auto &node : nodes) {
        for (const auto &other : nodes) {
            if (node != other) {
                node->links.connect(other->links.listenAddress());
            }
        }
    }
    constexpr int SettleSeconds = 5;
    runFor(loop, SettleSeconds);
    return nodes;
}

auto measure(const Options &options, int count) -> void
{
    task::EventLoop loop;
    const auto residentBefore = residentKilobytes();
    const auto nodes = openCell(loop, count);
    for (const auto &node : nodes) {
        if (node->links.linkedNames().size() != nodes.size() - 1) {
            std::printf("| %d | not all linked |\n", count);
            return;
        }
    }
    const auto report = makeReport(options);
    std::vector<task::Watch> senders;
    if (options.reportsPerSecond > 0) {
        for (const auto &node : nodes) {
            senders.push_back(loop.every(Duration(std::chrono::seconds(1)) / options.reportsPerSecond, [&node, &report]() { node->links.broadcast(report); }));
        }
    }
    const auto before = takeSample(nodes);
    runFor(loop, options.seconds);
    const auto after = takeSample(nodes);
    const double perNodeSecond = 1.0 / count / options.seconds;
    const auto bytes = static_cast<double>(after.bytes - before.bytes) * perNodeSecond;
    const auto messages = static_cast<double>(after.messages - before.messages) * perNodeSecond;
    constexpr double HeaderBytes = 58; // IP and TCP with timestamps 52, WebSocket 4 and a mask of 4 one way
    constexpr double Percent = 100;
    std::printf("| %d | %d | %.0f | %.1f | %.0f | %.3f | %.0f |\n",
                count,
                options.reportsPerSecond,
                bytes,
                messages,
                bytes + messages * HeaderBytes,
                (after.cpuSeconds - before.cpuSeconds) * perNodeSecond * Percent,
                (after.residentKilobytes - residentBefore) / count);
}

auto readNumber(const char *text, int least) -> int
{
    const int number = std::atoi(text); // NOLINT(cert-err34-c): checked against the least value
    if (number < least) {
        std::fprintf(stderr, "peer-cost: %s: expected a number from %d\n", text, least);
        std::exit(2);
    }
    return number;
}

auto readOptions(int argc, char **argv) -> Options
{
    Options options;
    const std::array<option, 5> table{ {
        { "seconds", required_argument, nullptr, 's' },
        { "reports", required_argument, nullptr, 'r' },
        { "backends", required_argument, nullptr, 'b' },
        { "workspaces", required_argument, nullptr, 'w' },
        { nullptr, 0, nullptr, 0 },
    } };
    for (int key = 0; (key = getopt_long(argc, argv, "", table.data(), nullptr)) != -1;) {
        switch (key) {
        case 's':
            options.seconds = readNumber(optarg, 1);
            break;
        case 'r':
            options.reportsPerSecond = readNumber(optarg, 0);
            break;
        case 'b':
            options.backends = readNumber(optarg, 0);
            break;
        case 'w':
            options.workspaces = readNumber(optarg, 0);
            break;
        default:
            std::fprintf(stderr, "usage: peer-cost [--seconds N] [--reports PER_SECOND] [--backends N] [--workspaces N]\n");
            std::exit(2);
        }
    }
    return options;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto options = readOptions(argc, argv);
    std::printf("| nodes in the cell | reports/s | bytes/s sent by a node | messages/s | bytes/s with headers (worked out) | %% of a core a node | KB resident "
                "a node |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    for (const int count : { 8, 12, 16, 32 }) {
        measure(options, count);
        std::fflush(stdout);
    }
    return 0;
}
