/// \file
/// What the platform's store tells this entry, and what it keeps there: the operators' configuration, the backend
/// servers, the entries that are alive, and this entry's own registration under a lease.

#pragma once

#include "core/base/time.h"
#include "core/passthrough/configuration.h"
#include "platform/documents.h"
#include "platform/store.h"
#include "runtime/task/eventloop.h"
#include "wire/http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::gateway
{

struct DirectoryOptions {
    std::string store; ///< address
    adapter::EntryRecord self;
    Duration leaseTime = std::chrono::milliseconds(3000);
    Duration serversInterval = std::chrono::milliseconds(500);   ///< between two reads of the backend servers
    Duration configurationWait = std::chrono::milliseconds(800); ///< of one watch; its return confirms the configuration
};

struct DirectoryCallbacks {
    /// \p asOf: it was the newest then.
    std::function<void(const passthrough::Configuration &configuration)> onConfiguration;
    std::function<void(TimePoint asOf)> onConfirmed;
    std::function<void(const std::vector<passthrough::Server> &servers, bool afterOutage)> onServers;
    std::function<void(const std::vector<adapter::EntryRecord> &entries)> onEntries;
    /// A call got no answer, or the first one after that did. \p detail: of the failure.
    std::function<void(bool reachable, std::string_view call, const std::string &detail)> onReachable;
    std::function<void(std::string_view what, const std::string &detail)> onInvalid; ///< something stored makes no sense
};

class Directory
{
public:
    Directory(task::EventLoop &loop, DirectoryOptions options, DirectoryCallbacks callbacks);

    auto start() -> void;
    /// Registers this entry, and keeps it registered.
    auto registerSelf() -> void;
    /// Ends the registration for good.
    auto withdraw() -> void;

    /// Calls to the store so far, for metrics.
    [[nodiscard]] auto calls() const -> std::uint64_t;

private:
    using OnItems = std::function<void(const adapter::StoreItems &items)>;
    using OnFailure = std::function<void(adapter::StoreOutcome outcome)>;

    auto call(std::string_view name, const http::Request &request, std::function<void(adapter::StoreOutcome, const http::Result &)> onDone) -> void;
    auto fetchItems(std::string_view name, const http::Request &request, OnItems onItems, OnFailure onFailure) -> void;
    auto noteReachable(std::string_view name, adapter::StoreOutcome outcome, const http::Result &result) -> void;

    auto readConfiguration() -> void;
    auto watchConfiguration() -> void;
    auto takeConfiguration(const adapter::StoreItems &items, TimePoint askedAt) -> void;

    auto readServers() -> void;
    auto readServersPage(const std::string &after) -> void;
    auto takeServers() -> void;

    auto readEntries() -> void;
    auto watchEntries() -> void;
    auto takeEntries(const adapter::StoreItems &items) -> void;
    auto publishEntries() -> void;

    auto takeLease() -> void;
    auto putSelf() -> void;
    auto renewLease() -> void;

    task::EventLoop &loop_;
    DirectoryOptions options_;
    DirectoryCallbacks callbacks_;
    http::Client client_;
    std::uint64_t calls_ = 0;
    std::optional<bool> reachable_; ///< as last told

    std::uint64_t configurationRevision_ = 0;
    std::uint64_t entriesRevision_ = 0;
    std::map<std::string, adapter::EntryRecord> entries_; ///< by key
    std::vector<passthrough::Server> page_;               ///< of the list that is being read
    std::optional<TimePoint> serversReadAt_;
    bool serversFailed_ = false; ///< since the last list that was read

    std::uint64_t lease_ = 0;
    bool isWithdrawn_ = false;

    task::Watch configurationTimer_;
    task::Watch serversTimer_;
    task::Watch entriesTimer_;
    task::Watch leaseTimer_;
};

} // namespace auburnspread::gateway
