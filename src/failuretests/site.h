/// \file
/// A small site of real processes on loopback: the platform's stand-in, engines, services and entries. Settings, logs
/// and documents live in a temporary folder that is removed with the site.

#pragma once

#include "core/configuration/document.h"
#include "failuretests/caller.h"
#include "failuretests/process.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnspread::failuretests
{

/// A stand-in: where it serves and where its faults are set.
struct StandIn {
    std::string name;
    std::unique_ptr<Process> process;
    std::string address;
    std::string control;
};

struct Entry {
    std::string name;
    std::unique_ptr<Process> process;
    std::string callerAddress;
    std::string adminAddress;
    std::string peerAddress;
};

struct Placer {
    std::string name;
    std::unique_ptr<Process> process;
    std::string adminAddress;
};

struct Console {
    std::unique_ptr<Process> process;
    std::string address;
};

class Site
{
public:
    Site();
    ~Site();
    Site(const Site &) = delete;
    auto operator=(const Site &) -> Site & = delete;

    /// Starts \p program on an address of its own; \p arguments besides --name, --listen and --control.
    auto startStandIn(const std::string &program, const std::string &name, std::vector<std::string> arguments = {}) -> StandIn &;
    /// Starts it again on the address that it had: a VM that came back.
    auto restartStandIn(StandIn &standIn) -> void;
    /// Sets a fault at a stand-in's control address.
    auto control(const StandIn &standIn, const nlohmann::json &fault) -> void;

    /// Writes the document to the platform's stand-in as an operator's submission would.
    auto publish(const configuration::Document &document) -> void;

    /// Starts an entry that knows all earlier ones as seeds.
    auto startEntry(const std::string &name) -> Entry &;
    /// Waits until \p entry says that it is ready.
    auto waitUntilReady(const Entry &entry) -> bool;

    /// Starts a placer with a short lease.
    auto startPlacer(const std::string &name) -> Placer &;

    auto startConsole() -> Console &;

    /// Writes a file into the site's folder.
    auto writeFile(const std::string &name, const std::string &text) -> std::filesystem::path;
    [[nodiscard]] auto folder() const -> const std::filesystem::path &;

    /// How often a request with this answer was started, over all engines that can still be asked.
    auto countExecutions(const standins::Answer &answer) -> std::size_t;
    /// How often the service stand-in ran calls with this key.
    auto countServiceRuns(const StandIn &service, const std::string &key) -> std::size_t;

    /// What all processes wrote, for failure messages.
    [[nodiscard]] auto logs() const -> std::string;

    Caller caller;
    StandIn *platform = nullptr;
    std::map<std::string, std::unique_ptr<StandIn>> standIns;
    std::map<std::string, std::unique_ptr<Entry>> entries;
    std::map<std::string, std::unique_ptr<Placer>> placers;
    Console console; ///< without a process until startConsole()

private:
    auto launch(StandIn &standIn) -> void;

    std::filesystem::path folder_;
    std::map<std::string, std::pair<std::string, std::vector<std::string>>> commands_; ///< program and arguments by stand-in
    std::uint64_t version_ = 0;
};

} // namespace auburnspread::failuretests
