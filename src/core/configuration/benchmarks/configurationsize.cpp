/// \file
/// Measures what configuration costs at the planned size: bytes and parts in the platform's service, and processor
/// time for each step on a node. Prints a Markdown table: `configuration-size [WORKSPACES [BACKEND-SERVERS]]`.

#include "core/configuration/differences.h"
#include "core/configuration/manifest.h"
#include "core/configuration/parser.h"
#include "core/configuration/serializer.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <sys/resource.h>

namespace
{

using namespace auburnspread::configuration;

constexpr int DefaultWorkspaces = 29'000;
constexpr int DefaultServers = 600;
constexpr int ModelCount = 16;
constexpr int ClassCount = 24;
constexpr int DomainCount = 5;
constexpr int ServersPerSubnet = 250;
constexpr int Runs = 5;

auto addTopology(Document &document, int servers) -> void
{
    for (auto index = 0; index < DomainCount; ++index) {
        document.failureDomains.push_back({ .name = "failure-domain-" + std::to_string(index), .region = index < 3 ? "north" : "south" });
    }
    for (auto index = 0; index < ModelCount; ++index) {
        document.models.push_back({ .name = "model-" + std::to_string(index), .versions = { "2", "1" }, .adapters = { "first", "second" } });
    }
    for (auto index = 0; index < servers; ++index) {
        auto server = BackendServer{ .name = "engine-" + std::to_string(index), .failureDomain = "failure-domain-" + std::to_string(index % DomainCount) };
        server.address = "127.1." + std::to_string(index / ServersPerSubnet) + "." + std::to_string(1 + index % ServersPerSubnet) + ":9000";
        server.models.push_back({ .model = "model-" + std::to_string(index % ModelCount), .version = "2", .adapters = { "first" } });
        document.backendServers.push_back(std::move(server));
    }
}

auto addWorkspaces(Document &document, int workspaces) -> void
{
    for (auto index = 0; index < ClassCount; ++index) {
        auto requestClass = RequestClass{ .name = "request-class-" + std::to_string(index), .tier = index % TierCount };
        requestClass.models.push_back({ .model = "model-" + std::to_string(index % ModelCount) });
        document.classes.push_back(std::move(requestClass));
    }
    for (auto index = 0; index < workspaces; ++index) {
        auto workspace = Workspace{ .name = "workspace-" + std::to_string(index), .requestsPerSecond = 20, .requestBurst = 60, .concurrency = 40 };
        for (auto offset = 0; offset < 4; ++offset) {
            workspace.classes.push_back("request-class-" + std::to_string((index + offset) % ClassCount));
        }
        document.workspaces.push_back(std::move(workspace));
    }
}

/// Shortest of several runs, which other load on the machine disturbs least.
template <typename Run>
auto measureMilliseconds(const Run &run) -> double
{
    auto shortest = std::chrono::duration<double, std::milli>::max();
    for (auto index = 0; index < Runs; ++index) {
        const auto begin = std::chrono::steady_clock::now();
        run();
        shortest = std::min(shortest, std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin));
    }
    return shortest.count();
}

/// What a node spends on adopting \p changed when it holds \p document.
auto measureChange(const Document &document, const Document &changed) -> double
{
    const auto before = split(document);
    const auto after = split(changed);
    auto parsedParts = ParsedParts();
    assemble({ .version = 1, .digest = before.digest, .parts = before.references }, before.contents, parsedParts);
    return measureMilliseconds([&] {
        auto known = parsedParts;
        assemble({ .version = 2, .digest = after.digest, .parts = after.references }, after.contents, known);
    });
}

auto peakMegabytes() -> long
{
    constexpr long KilobytesPerMegabyte = 1024;
    auto usage = rusage();
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss / KilobytesPerMegabyte;
}

template <typename Value>
auto printRow(const std::string &what, Value value, const std::string &unit) -> void
{
    std::cout << "| " << what << " | " << value << " | " << unit << " |\n";
}

auto measure(const Document &document) -> void
{
    const auto text = serializeDocument(document);
    const auto parts = split(document);
    const auto manifest = Manifest{ .version = 1, .digest = parts.digest, .author = "operator", .nonce = std::string(32, 'x'), .parts = parts.references };
    auto largest = std::size_t{ 0 };
    for (const auto &[digest, content] : parts.contents) {
        largest = std::max(largest, content->size());
    }
    printRow("workspaces", document.workspaces.size(), "");
    printRow("backend servers", document.backendServers.size(), "");
    printRow("document as JSON", text.size(), "bytes");
    printRow("parts", parts.references.size(), "");
    printRow("largest part", largest, "bytes");
    printRow("manifest", serializeManifest(manifest).size(), "bytes");

    auto changed = document;
    changed.workspaces.front().concurrency += 1;
    auto changedBytes = std::size_t{ 0 };
    auto changedParts = 0;
    for (const auto &[digest, content] : split(changed).contents) {
        if (!parts.contents.contains(digest)) {
            changedBytes += content->size();
            ++changedParts;
        }
    }
    printRow("parts written for a change of one workspace", changedParts, "");
    printRow("bytes of those parts", changedBytes, "bytes");

    printRow("parse and validate (operator's side)", measureMilliseconds([&] { parseDocument(text); }), "ms");
    printRow("split (operator's side)", measureMilliseconds([&] { split(document); }), "ms");
    printRow("differences (operator's side)", measureMilliseconds([&] { differences(document, changed); }), "ms");
    printRow("assemble and validate (each node at its start)", measureMilliseconds([&] { assemble(manifest, parts.contents); }), "ms");
    printRow("the same after a change of one workspace", measureChange(document, changed), "ms");
    printRow("peak memory of this program", peakMegabytes(), "MB");
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto document = Document{ .name = "planned-fleet" };
    addTopology(document, argc > 2 ? std::stoi(argv[2]) : DefaultServers);
    addWorkspaces(document, argc > 1 ? std::stoi(argv[1]) : DefaultWorkspaces);
    const auto problems = parseDocument(serializeDocument(document)).problems;
    if (!problems.empty()) {
        std::cerr << problems.front().path << ": " << problems.front().text << "\n";
        return 1;
    }
    std::cout << "| quantity | value | unit |\n|---|---|---|\n";
    measure(document);
    return 0;
}
