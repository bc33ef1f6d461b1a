/// \file
/// A gateway as a process of its own, with the store and three backend servers as stand-ins on a loop of the test.

#pragma once

#include "core/passthrough/configuration.h"
#include "failuretests/process.h"
#include "platform/standins/serverstandin.h"
#include "platform/standins/storestandin.h"
#include "runtime/task/eventloop.h"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburnspread::failuretests
{

/// \name Paths of the routes
/// @{
constexpr auto PlainPath = "/plain/";              ///< a short answer
constexpr auto LargePath = "/large/";              ///< an answer of CrowdSiteOptions::answerBytes
constexpr auto LargeStreamPath = "/large/stream/"; ///< the same as a stream
/// @}

struct CrowdSiteOptions {
    std::size_t answerBytes = 4'000'000;
    passthrough::CallerLimits limits = {};
    std::optional<std::size_t> descriptors = {}; ///< of the gateway
};

class CrowdSite
{
public:
    /// Waits until the gateway is ready. \throws std::runtime_error
    explicit CrowdSite(const CrowdSiteOptions &options);
    ~CrowdSite();
    CrowdSite(const CrowdSite &) = delete;
    auto operator=(const CrowdSite &) -> CrowdSite & = delete;

    struct Addresses {
        std::string host; ///< of all that follow
        std::string caller;
        std::string readiness;
        std::string addresses;
        std::string peer;
        std::string metrics;
    };
    [[nodiscard]] auto addresses() const -> const Addresses &;
    auto gateway() -> Process &;

    /// A complete request without a body, or the head of one with a body, whose length \p framing states in lines of a head.
    [[nodiscard]] static auto makeRequest(const std::string &method, const std::string &path, const std::string &framing = "") -> std::string;
    /// Status of the answer to \p request on a connection of its own; 0 if none comes within half a minute.
    [[nodiscard]] auto ask(const std::string &request) const -> int;
    /// Whether an ordinary request is answered with success.
    [[nodiscard]] auto serves() const -> bool;

private:
    auto writeSettings() const -> std::string;

    std::filesystem::path folder_;
    Addresses addresses_;
    task::EventLoop loop_;
    adapter::standins::StoreStandin store_;
    std::vector<std::unique_ptr<adapter::standins::ServerStandin>> servers_;
    std::unique_ptr<Process> gateway_;
    std::thread thread_;
};

} // namespace auburnspread::failuretests
