/// \file
/// The deployment of a soak on one machine: entries as processes of their own, backend servers and the store as stand-ins on
/// the driver's event loop, and a proxy on each way that a fault can harm.

#pragma once

#include "failuretests/process.h"
#include "platform/standins/serverstandin.h"
#include "platform/standins/storestandin.h"
#include "runtime/task/eventloop.h"
#include "soak/ledger.h"
#include "soak/plan.h"
#include "soak/proxy.h"

#include <cstdint>
#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnspread::soak
{

constexpr auto SiteHost = "quotes.example"; ///< of all routes
constexpr auto SiteWorkspace = "roofers";
constexpr int StreamEvents = 8;
/// Software versions that the backend servers have in turn.
constexpr auto ServerVersions = std::to_array<const char *>({ "v1", "v1.1" });

/// Kinds of requests, each with a route of its own.
enum class RequestKind {
    Quote,  ///< a stream that runs once
    Check,  ///< a stream that may be resumed
    Notice, ///< at most once
    Fetch,  ///< idempotent
    Draft,  ///< a long stream that runs once, beside slow servers alone
    Marker, ///< idempotent, on a route that one version of the configuration has
};

struct KindRoute {
    RequestKind kind;
    const char *prefix;
    const char *method;
    std::uint32_t attempts;
    Duration timeLimit = std::chrono::seconds(5);
};
constexpr auto KindRoutes = std::to_array<KindRoute>({
    { RequestKind::Quote, "/stream/quote/", "POST", 1 },
    { RequestKind::Check, "/stream/check/", "POST", 2 },
    { RequestKind::Notice, "/notice/", "POST", 1 },
    { RequestKind::Fetch, "/fetch/", "GET", 2 },
    { RequestKind::Marker, "/version-", "GET", 1 },
});
/// Sent only where servers slow down.
constexpr KindRoute DraftRoute{ RequestKind::Draft, "/stream/draft/", "POST", 1, std::chrono::seconds(15) };
constexpr auto StreamPrefix = "/stream/"; ///< of all routes whose answers are streams

struct SiteOptions {
    std::size_t entries = 3;
    std::size_t servers = 4;
    bool hasVersions = false; ///< the backend servers have software versions, in turn
    std::uint32_t serverSlots = 64;
    bool hasDrafts = false;                       ///< a route of drafts, and entries that have the time for them when they are stopped
    std::string gateway = "auburnspread-gateway"; ///< program of the entries
    std::filesystem::path folder;                 ///< for settings and logs
};

class Site
{
public:
    Site(task::EventLoop &loop, SiteOptions options, Ledger &ledger);

    auto begin(const Fault &fault) -> void;
    auto end(const Fault &fault) -> void;
    /// Starts entries anew that have ended. \return how many ended by themselves, unasked
    auto restartEnded() -> int;

    /// \name For callers
    /// @{
    [[nodiscard]] auto hasDrafts() const -> bool;
    [[nodiscard]] auto entries() const -> std::size_t;
    [[nodiscard]] auto addressesPage(std::size_t entry) const -> const std::string &;
    /// Where a caller connects for an entry's address.
    [[nodiscard]] auto callerAddress(std::size_t entry) const -> const std::string &;
    /// The entry of an address that an entry told.
    [[nodiscard]] auto findEntry(const std::string &address) const -> std::size_t;
    [[nodiscard]] auto incarnation(std::size_t entry) const -> std::uint32_t;
    [[nodiscard]] auto version() const -> std::uint64_t;
    /// 0: there was none.
    [[nodiscard]] auto previousVersion() const -> std::uint64_t;
    /// The oldest of the keys in force, and since when the store has it.
    struct Key {
        std::string name;
        TimePoint since;
    };
    [[nodiscard]] auto key() const -> const Key &;
    /// The key that was taken away last; empty: none yet.
    [[nodiscard]] auto withdrawnKey() const -> const std::string &;
    /// Id of the part of prompts that crashes servers now, in hexadecimal; empty: none.
    [[nodiscard]] auto crashingPart() const -> const std::string &;
    /// @}

private:
    struct Entry {
        std::string name;
        std::string caller;
        std::string addresses;
        std::string readiness;
        std::string peer;
        std::string metrics;
        std::unique_ptr<Proxy> callerProxy;
        std::unique_ptr<Proxy> storeProxy;
        std::unique_ptr<failuretests::Process> process;
        std::uint32_t incarnation = 0;
        bool mayEnd = false;             ///< it was killed or asked to end
        PathFault cut = PathFault::None; ///< between it and all backend servers
        int cuts = 0;                    ///< that last
        task::Watch cutAgain;            ///< of a cut that comes again and again
    };
    struct Server {
        std::string id;
        std::string version; ///< of its software; empty: it states none
        std::unique_ptr<adapter::standins::ServerStandin> standin;
        std::unique_ptr<Proxy> proxy;
        bool isLeaving = false;    ///< and said so
        bool isLimited = false;    ///< its answers name a limit
        bool isOverloaded = false; ///< it rejects requests and asks for a backoff
        task::Watch replacement;   ///< of a server that leaves
        TimePoint silentUntil;
        task::Watch silence;  ///< ends it
        task::Watch slowness; ///< ends it
    };

    auto addEntry(std::size_t number) -> void;
    auto writeSettings(const Entry &entry) const -> std::string;
    auto startProcess(Entry &entry) -> void;
    auto signal(Entry &entry, int number) -> void;
    auto startServer(std::size_t number) -> void;
    auto beginLimit(const Fault &fault) -> void;
    auto endLimit(const Fault &fault) -> void;
    auto beginOverload(const Fault &fault) -> void;
    auto endOverload(const Fault &fault) -> void;
    auto beginSilence(const Fault &fault) -> void;
    auto beginSlowdown(const Fault &fault) -> void;
    auto beginCut(const Fault &fault) -> void;
    auto setCut(std::size_t entry, PathFault path) -> void;
    auto endCut(const Fault &fault) -> void;
    auto setBrittleness(std::optional<double> rejections) -> void;
    auto setCrashingPart(const std::string &part) -> void;
    /// The server has crashed by itself; another one takes its place some time later.
    auto serverCrashed(std::size_t number) -> void;
    /// Tells the ledger what the fault excuses from keeping to limits.
    auto noteHarm(const Fault &fault) -> void;
    /// Tells the ledger which running requests the fault may end.
    auto noteBreak(const Fault &fault) -> void;
    auto putServer(const Server &server) -> void;
    auto stopServer(std::size_t number) -> void;
    /// The server states in its answers that it is leaving, and tells the store as well unless it leaves silently.
    auto beginLeaving(const Fault &fault) -> void;
    auto replaceAfter(std::size_t number, Duration delay) -> void;
    auto putConfiguration() -> void;
    /// The operators and the backend servers write again what a copy of the store may lack.
    auto writeAgain() -> void;
    auto addKey() -> void;
    auto rotateKeys() -> void;

    task::EventLoop &loop_;
    SiteOptions options_;
    Ledger &ledger_;
    adapter::standins::StoreStandin store_;
    std::vector<Entry> entries_;
    std::vector<Server> servers_;
    std::uint64_t lastServer_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t lastKey_ = 0;
    std::deque<Key> keys_;
    std::string withdrawnKey_;
    std::optional<double> rejections_; ///< a second that the servers bear
    std::string crashingPart_;
    std::uint64_t lastPart_ = 0;
    std::string configuration_; ///< as written last
    task::Watch writer_;
};

} // namespace auburnspread::soak
