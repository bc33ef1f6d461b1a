// Memory and processor time of an idle entry with a document of the planned size. Run by hand; docs/CAPACITY.md has the
// figures.

#include "failuretests/site.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

using namespace auburnspread;
using namespace auburnspread::failuretests;

namespace
{

auto makeDocument(int workspaces, int backendServers) -> configuration::Document
{
    configuration::Document document{ .name = "planned" };
    document.failureDomains = { { .name = "fd-a", .region = "north" } };
    for (int number = 0; number < 16; ++number) {
        document.models.push_back({ .name = "model-" + std::to_string(number), .versions = { "1" } });
    }
    for (int tier = 0; tier < configuration::TierCount; ++tier) {
        configuration::RequestClass requestClass{ .name = "class-" + std::to_string(tier), .tier = tier };
        for (const auto &model : document.models) {
            requestClass.models.push_back({ .model = model.name });
        }
        document.classes.push_back(requestClass);
    }
    for (int number = 0; number < workspaces; ++number) {
        document.workspaces.push_back({ .name = "workspace-" + std::to_string(number),
                                        .classes = { "class-0", "class-3", "class-5", "class-7" },
                                        .requestsPerSecond = 10,
                                        .requestBurst = 20,
                                        .concurrency = 8 });
    }
    for (int number = 0; number < backendServers; ++number) {
        document.backendServers.push_back({ .name = "engine-" + std::to_string(number),
                                            .address = "127.0.0.1:" + std::to_string(1 + number % 1000),
                                            .failureDomain = "fd-a",
                                            .models = { { .model = "model-" + std::to_string(number % 16), .version = "1", .adapters = {} } } });
    }
    return document;
}

struct Usage {
    long residentKilobytes = 0;
    double processorSeconds = 0;
};

auto usageOf(const Process &process) -> Usage
{
    Usage usage;
    const auto folder = "/proc/" + std::to_string(process.pid());
    std::ifstream status(folder + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            status >> usage.residentKilobytes;
        }
    }
    std::ifstream stat(folder + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    constexpr int FieldsBeforeUserTime = 11;
    for (int skipped = 0; skipped < FieldsBeforeUserTime; ++skipped) {
        fields >> field;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    usage.processorSeconds = (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    return usage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const int workspaces = argc > 1 ? std::atoi(argv[1]) : 29'000;
    const int backendServers = argc > 2 ? std::atoi(argv[2]) : 600;
    constexpr Duration IdleTime = std::chrono::seconds(20);
    Site site;
    site.publish(makeDocument(workspaces, backendServers));
    auto &entry = site.startEntry("entry-1");
    if (!site.waitUntilReady(entry) || entry.process->exitCode()) {
        std::cerr << site.logs();
        return 1;
    }
    const auto before = usageOf(*entry.process);
    site.caller.waitUntil([]() { return false; }, IdleTime);
    const auto after = usageOf(*entry.process);
    const auto share = 100.0 * (after.processorSeconds - before.processorSeconds) / std::chrono::duration<double>(IdleTime).count();
    std::cout << workspaces << " workspaces, " << backendServers << " backend servers: " << after.residentKilobytes / 1024 << " MB resident, "
              << before.processorSeconds << " s of processor until ready, " << share << "% of a core idle\n";
    return 0;
}
