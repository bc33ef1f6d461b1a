#include "soak/site.h"

#include "platform/standins/wiretext.h"
#include "standins/testing/loopback.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

namespace auburnspread::soak
{

namespace
{

namespace standins = adapter::standins;
using passthrough::Repeatability;

constexpr auto ServiceName = "portal";
/// Until a server that has crashed is back.
constexpr Duration CrashLength = std::chrono::seconds(2);
/// Entries learn by then that servers are brittle.
constexpr Duration BrittlenessKnownAfter = std::chrono::seconds(2);
/// Of a process that is asked to end: long enough for the addresses that callers keep, short enough for many ends in a run.
constexpr auto LeavingSeconds = "6";
constexpr auto LeavingSecondsWithDrafts = "8";
constexpr Duration ServesOn = std::chrono::seconds(4); ///< a backend server that leaves
constexpr std::size_t KeysInForce = 3;
constexpr std::uint64_t VersionStep = 3; ///< versions grow unevenly

auto repeatabilityOf(RequestKind kind) -> Repeatability
{
    switch (kind) {
    case RequestKind::Quote:
    case RequestKind::Check:
    case RequestKind::Draft:
        return Repeatability::Stream;
    case RequestKind::Notice:
        return Repeatability::AtMostOnce;
    case RequestKind::Fetch:
    case RequestKind::Marker:
        return Repeatability::Idempotent;
    }
    return Repeatability::AtMostOnce;
}

auto makeRoutes(std::uint64_t version, bool hasDrafts) -> std::vector<passthrough::Route>
{
    std::vector<KindRoute> kinds(KindRoutes.begin(), KindRoutes.end());
    if (hasDrafts) {
        kinds.push_back(DraftRoute);
    }
    std::vector<passthrough::Route> routes;
    for (const auto &each : kinds) {
        const std::string prefix = each.prefix;
        passthrough::Route route{
            .name = prefix,
            .host = SiteHost,
            .prefix = each.kind == RequestKind::Marker ? prefix + std::to_string(version) + "/" : prefix,
            .repeatability = repeatabilityOf(each.kind),
            .timeout = each.timeLimit,
            .target = std::chrono::milliseconds(300),
            .attempts = each.attempts,
        };
        route.isResumable = each.kind == RequestKind::Check;
        routes.push_back(route);
    }
    return routes;
}

} // namespace

Site::Site(task::EventLoop &loop, SiteOptions options, Ledger &ledger)
    : loop_(loop)
    , options_(std::move(options))
    , ledger_(ledger)
    , store_(loop)
{
    for (std::size_t i = 0; i < KeysInForce; ++i) {
        addKey();
    }
    putConfiguration();
    servers_.resize(options_.servers);
    for (std::size_t number = 0; number < options_.servers; ++number) {
        startServer(number);
    }
    for (std::size_t number = 0; number < options_.entries; ++number) {
        addEntry(number);
    }
}

auto Site::addEntry(std::size_t number) -> void
{
    Entry entry{ .name = "entry-" + std::to_string(number) };
    for (auto *address : { &entry.caller, &entry.addresses, &entry.readiness, &entry.peer, &entry.metrics }) {
        *address = auburnspread::standins::takeLoopbackAddress();
    }
    entry.callerProxy = std::make_unique<Proxy>(loop_, entry.caller);
    entry.storeProxy = std::make_unique<Proxy>(loop_, store_.address());
    startProcess(entry);
    entries_.push_back(std::move(entry));
}

auto Site::writeSettings(const Entry &entry) const -> std::string
{
    const auto path = options_.folder / (entry.name + ".ini");
    std::ofstream file(path);
    file << "[gateway]\nname = " << entry.name << "\nfailure_domain = a\n"
         << "[listen]\ncaller = " << entry.caller << "\nreadiness = " << entry.readiness << "\naddresses = " << entry.addresses << "\npeer = " << entry.peer
         << "\nmetrics = " << entry.metrics << "\n[platform]\nstore = " << entry.storeProxy->address()
         << "\n[bounds]\nleaving_s = " << (options_.hasDrafts ? LeavingSecondsWithDrafts : LeavingSeconds) << "\n";
    return path;
}

auto Site::startProcess(Entry &entry) -> void
{
    entry.incarnation += 1;
    entry.mayEnd = false;
    entry.cut = PathFault::None;
    entry.cutAgain = {};
    entry.process = std::make_unique<failuretests::Process>(failuretests::ProcessOptions{
        .program = options_.gateway,
        .arguments = { "--config", writeSettings(entry) },
        .output = options_.folder / (entry.name + "." + std::to_string(entry.incarnation) + ".log"),
    });
}

auto Site::signal(Entry &entry, int number) -> void
{
    if (!entry.process->exitCode()) {
        entry.process->signal(number);
    }
}

auto Site::restartEnded() -> int
{
    int unasked = 0;
    for (auto &entry : entries_) {
        if (entry.process->exitCode()) {
            unasked += entry.mayEnd ? 0 : 1;
            startProcess(entry);
        }
    }
    return unasked;
}

auto Site::startServer(std::size_t number) -> void
{
    auto &server = servers_.at(number);
    server.id = "i-" + std::to_string(++lastServer_);
    server.version = options_.hasVersions ? ServerVersions.at(lastServer_ % ServerVersions.size()) : "";
    ledger_.serverStarts(server.id, server.version);
    server.standin = std::make_unique<standins::ServerStandin>(
        loop_,
        standins::ServerStandinOptions{
            .id = server.id,
            .streamPrefix = StreamPrefix,
            .longPrefix = DraftRoute.prefix,
            .events = StreamEvents,
            .version = server.version,
            .onExecuted = [this](const standins::Execution &run) { ledger_.ran(run); },
            .onRejected = [this](const standins::Rejection &rejection) { ledger_.rejected(rejection); },
            .slots = options_.serverSlots,
            .onCrashed = [this, number]() { serverCrashed(number); },
            .onFinished = [this, id = server.id](const std::string &request) { ledger_.finished(request, id, task::monotonicNow()); },
        });
    server.proxy = std::make_unique<Proxy>(loop_, server.standin->address());
    server.replacement = {};
    server.silence = {};
    server.slowness = {};
    server.silentUntil = {};
    server.isLeaving = false;
    server.isLimited = false;
    server.isOverloaded = false;
    server.standin->setBrittleness(rejections_);
    server.standin->crashOnPart(crashingPart_);
    for (const auto &entry : entries_) {
        server.proxy->setFaultOf(entry.process->pid(), entry.cut);
    }
    putServer(server);
}

auto Site::putServer(const Server &server) -> void
{
    const passthrough::Server record{ .service = ServiceName,
                                      .address = server.proxy->address(),
                                      .failureDomain = "a",
                                      .slots = options_.serverSlots,
                                      .isLeaving = server.isLeaving,
                                      .version = { server.version } };
    store_.put(standins::serverKey(server.id), standins::serverText(record));
}

auto Site::stopServer(std::size_t number) -> void
{
    auto &server = servers_.at(number);
    server.replacement = {};
    server.silence = {};
    server.slowness = {};
    ledger_.broken(server.id, task::monotonicNow(), TimePoint::max());
    server.standin.reset();
    server.proxy.reset();
    store_.remove(standins::serverKey(server.id));
}

auto Site::beginLeaving(const Fault &fault) -> void
{
    const auto number = fault.target;
    auto &server = servers_.at(number);
    if (!server.standin || server.isLeaving) {
        return;
    }
    const auto now = task::monotonicNow();
    server.isLeaving = true;
    if (fault.kind == FaultKind::ServerLeaves) {
        putServer(server);
        ledger_.serverLeaves(server.id, now);
    }
    server.standin->stateLeaving();
    ledger_.serverStatesLeaving(server.id, now);
    replaceAfter(number, ServesOn);
}

/// It serves on for some time, also after a silence, so that what is under way ends, and gives its place to a new one.
auto Site::replaceAfter(std::size_t number, Duration delay) -> void
{
    servers_.at(number).replacement = loop_.after(delay, [this, number]() {
        const auto earliest = servers_.at(number).silentUntil + ServesOn;
        if (const auto now = task::monotonicNow(); now < earliest) {
            replaceAfter(number, earliest - now);
            return;
        }
        stopServer(number);
        startServer(number);
    });
}

auto Site::putConfiguration() -> void
{
    version_ += VersionStep;
    std::vector<std::string> names;
    std::transform(keys_.begin(), keys_.end(), std::back_inserter(names), [](const Key &key) { return key.name; });
    configuration_ = standins::configurationText(version_, makeRoutes(version_, options_.hasDrafts), ServiceName, SiteWorkspace, names);
    store_.put(std::string(standins::ConfigurationKey), configuration_);
}

auto Site::writeAgain() -> void
{
    store_.put(std::string(standins::ConfigurationKey), configuration_);
    for (const auto &server : servers_) {
        if (server.standin) {
            putServer(server);
        }
    }
}

auto Site::addKey() -> void
{
    keys_.push_back({ .name = "key-" + std::to_string(++lastKey_), .since = task::monotonicNow() });
}

auto Site::rotateKeys() -> void
{
    withdrawnKey_ = keys_.front().name;
    keys_.pop_front();
    addKey();
    putConfiguration();
    ledger_.keyWithdrawn(withdrawnKey_, task::monotonicNow());
}

auto Site::beginLimit(const Fault &fault) -> void
{
    auto &server = servers_.at(fault.target);
    if (server.standin && !server.isLimited) {
        server.isLimited = true;
        server.standin->setLimit(fault.perSecond);
        ledger_.limitBegins(server.id, fault.perSecond, task::monotonicNow());
    }
}

auto Site::endLimit(const Fault &fault) -> void
{
    auto &server = servers_.at(fault.target);
    if (server.standin && std::exchange(server.isLimited, false)) {
        server.standin->setLimit(std::nullopt);
        ledger_.limitEnds(server.id, task::monotonicNow());
    }
}

auto Site::beginOverload(const Fault &fault) -> void
{
    auto &server = servers_.at(fault.target);
    if (server.standin && !std::exchange(server.isOverloaded, true)) {
        server.standin->rejectRequests(fault.backoff);
    }
}

auto Site::endOverload(const Fault &fault) -> void
{
    auto &server = servers_.at(fault.target);
    if (server.standin && std::exchange(server.isOverloaded, false)) {
        server.standin->rejectRequests(std::nullopt);
    }
}

auto Site::beginSilence(const Fault &fault) -> void
{
    const auto now = task::monotonicNow();
    for (std::size_t i = 0; i < fault.servers; ++i) {
        auto &server = servers_.at((fault.target + i) % servers_.size());
        if (!server.standin || server.silentUntil > now + fault.length) {
            continue;
        }
        server.silentUntil = now + fault.length;
        server.standin->setSilent(true);
        ledger_.serverSilent(server.id, now, server.silentUntil);
        server.silence = loop_.after(fault.length, [&server]() { server.standin->setSilent(false); });
    }
}

/// The slowdown that began last counts.
auto Site::beginSlowdown(const Fault &fault) -> void
{
    for (std::size_t i = 0; i < fault.servers; ++i) {
        auto &server = servers_.at((fault.target + i) % servers_.size());
        if (server.standin) {
            server.standin->setSlowness(fault.slowness);
            server.slowness = loop_.after(fault.length, [&server]() { server.standin->setSlowness(1); });
        }
    }
}

/// A cut ends with the process of the entry.
auto Site::setCut(std::size_t entry, PathFault path) -> void
{
    entries_.at(entry).cut = path;
    for (const auto &server : servers_) {
        if (server.proxy) {
            server.proxy->setFaultOf(entries_.at(entry).process->pid(), path);
        }
    }
}

auto Site::beginCut(const Fault &fault) -> void
{
    auto &entry = entries_.at(fault.target);
    entry.cuts += 1;
    entry.cutAgain = {};
    setCut(fault.target, fault.path);
    if (fault.again > Duration::zero()) {
        entry.cutAgain = loop_.every(
            fault.again, [this, fault]() { setCut(fault.target, entries_.at(fault.target).cut == PathFault::None ? fault.path : PathFault::None); });
    }
}

auto Site::endCut(const Fault &fault) -> void
{
    auto &entry = entries_.at(fault.target);
    entry.cuts -= 1;
    if (entry.cuts == 0) {
        entry.cutAgain = {};
        setCut(fault.target, PathFault::None);
    }
}

auto Site::setBrittleness(std::optional<double> rejections) -> void
{
    rejections_ = rejections;
    for (const auto &server : servers_) {
        if (server.standin) {
            server.standin->setBrittleness(rejections);
        }
    }
}

auto Site::setCrashingPart(const std::string &part) -> void
{
    crashingPart_ = part;
    for (const auto &server : servers_) {
        if (server.standin) {
            server.standin->crashOnPart(part);
        }
    }
}

auto Site::serverCrashed(std::size_t number) -> void
{
    const auto now = task::monotonicNow();
    ledger_.serverCrashed(crashingPart_, now);
    ledger_.disturbed(now, now + CrashLength);
    stopServer(number);
    servers_.at(number).replacement = loop_.after(CrashLength, [this, number]() { startServer(number); });
}

auto Site::noteBreak(const Fault &fault) -> void
{
    const auto now = task::monotonicNow();
    const auto to = now + fault.length;
    switch (fault.kind) {
    case FaultKind::EntryKilled:
    case FaultKind::EntryPaused:
    case FaultKind::AllKilled:
        ledger_.broken(Ledger::AnyEntry, now, to);
        break;
    case FaultKind::EntryCutOff:
        ledger_.broken(std::to_string(fault.target), now, to + Ledger::Aftermath);
        break;
    case FaultKind::CallerPath:
    case FaultKind::ServerPath:
        if (fault.path != PathFault::Delayed) {
            const auto isOfServer = fault.kind == FaultKind::ServerPath;
            ledger_.broken(isOfServer ? servers_.at(fault.target).id : std::to_string(fault.target), now, to + Ledger::Aftermath);
        }
        break;
    default:
        break;
    }
}

auto Site::noteHarm(const Fault &fault) -> void
{
    const auto now = task::monotonicNow();
    switch (fault.kind) {
    case FaultKind::EntryKilled:
    case FaultKind::EntryStopped:
    case FaultKind::EntryPaused:
    case FaultKind::CallerPath:
    case FaultKind::StorePath:
    case FaultKind::EntryCutOff:
        ledger_.harmed(std::to_string(fault.target), now, now + fault.length);
        break;
    case FaultKind::AllKilled:
        for (std::size_t number = 0; number < entries_.size(); ++number) {
            ledger_.harmed(std::to_string(number), now, now + fault.length);
        }
        break;
    case FaultKind::ServerPath:
        ledger_.harmed(servers_.at(fault.target).id, now, now + fault.length);
        break;
    default:
        break;
    }
}

auto Site::begin(const Fault &fault) -> void
{
    noteHarm(fault);
    noteBreak(fault);
    switch (fault.kind) {
    case FaultKind::ServerLimit:
        beginLimit(fault);
        break;
    case FaultKind::ServerBackoff:
        beginOverload(fault);
        break;
    case FaultKind::ServerSilent:
        beginSilence(fault);
        break;
    case FaultKind::ServersSlow:
        beginSlowdown(fault);
        break;
    case FaultKind::EntryCutOff:
        beginCut(fault);
        break;
    case FaultKind::ServersBrittle:
        setBrittleness(fault.perSecond);
        ledger_.brittle(task::monotonicNow() + BrittlenessKnownAfter, task::monotonicNow() + fault.length, servers_.size());
        break;
    case FaultKind::CrashingPart:
        lastPart_ += 1;
        setCrashingPart("c" + std::to_string(lastPart_));
        break;
    case FaultKind::EntryKilled:
    case FaultKind::EntryStopped: {
        auto &entry = entries_.at(fault.target);
        entry.mayEnd = true;
        if (fault.kind == FaultKind::EntryStopped) {
            ledger_.stopped(std::to_string(fault.target), entry.incarnation, task::monotonicNow());
        }
        signal(entry, fault.kind == FaultKind::EntryKilled ? SIGKILL : SIGTERM);
        break;
    }
    case FaultKind::AllKilled:
        for (auto &entry : entries_) {
            entry.mayEnd = true;
            signal(entry, SIGKILL);
        }
        break;
    case FaultKind::EntryPaused:
        signal(entries_.at(fault.target), SIGSTOP);
        break;
    case FaultKind::EntryReloads:
        signal(entries_.at(fault.target), SIGHUP);
        break;
    case FaultKind::CallerPath:
        entries_.at(fault.target).callerProxy->setFault(fault.path);
        break;
    case FaultKind::StorePath:
        entries_.at(fault.target).storeProxy->setFault(fault.path);
        break;
    case FaultKind::ServerPath:
        if (servers_.at(fault.target).proxy) {
            servers_.at(fault.target).proxy->setFault(fault.path);
        }
        break;
    case FaultKind::ServerCrashes:
        stopServer(fault.target);
        break;
    case FaultKind::ServerLeaves:
    case FaultKind::ServerSilentlyLeaves:
        beginLeaving(fault);
        break;
    case FaultKind::StoreBusy:
        store_.setBusy(true);
        break;
    case FaultKind::StoreSilent:
        store_.setSilent(true);
        break;
    case FaultKind::StoreForgets:
        store_.dropHistory();
        break;
    case FaultKind::StoreRestored:
        store_.saveCopy();
        break;
    case FaultKind::LeasesEnd:
        store_.endLeases();
        break;
    case FaultKind::Configuration:
        rotateKeys();
        break;
    }
}

auto Site::end(const Fault &fault) -> void
{
    switch (fault.kind) {
    case FaultKind::EntryPaused:
        signal(entries_.at(fault.target), SIGCONT);
        break;
    case FaultKind::CallerPath:
        entries_.at(fault.target).callerProxy->setFault(PathFault::None);
        break;
    case FaultKind::StorePath:
        entries_.at(fault.target).storeProxy->setFault(PathFault::None);
        break;
    case FaultKind::ServerPath:
        if (servers_.at(fault.target).proxy) {
            servers_.at(fault.target).proxy->setFault(PathFault::None);
        }
        break;
    case FaultKind::ServerCrashes:
        if (!servers_.at(fault.target).standin) {
            startServer(fault.target);
        }
        break;
    case FaultKind::ServerLimit:
        endLimit(fault);
        break;
    case FaultKind::ServerBackoff:
        endOverload(fault);
        break;
    case FaultKind::EntryCutOff:
        endCut(fault);
        break;
    case FaultKind::ServersBrittle:
        setBrittleness(std::nullopt);
        break;
    case FaultKind::CrashingPart:
        setCrashingPart("");
        break;
    case FaultKind::StoreBusy:
        store_.setBusy(false);
        break;
    case FaultKind::StoreSilent:
        store_.setSilent(false);
        break;
    case FaultKind::StoreRestored: {
        constexpr Duration WritesAgainAfter = std::chrono::milliseconds(300);
        store_.restoreCopy();
        writer_ = loop_.after(WritesAgainAfter, [this]() { writeAgain(); });
        break;
    }
    default:
        break;
    }
}

auto Site::hasDrafts() const -> bool
{
    return options_.hasDrafts;
}

auto Site::entries() const -> std::size_t
{
    return entries_.size();
}

auto Site::addressesPage(std::size_t entry) const -> const std::string &
{
    return entries_.at(entry).addresses;
}

auto Site::callerAddress(std::size_t entry) const -> const std::string &
{
    return entries_.at(entry).callerProxy->address();
}

auto Site::findEntry(const std::string &address) const -> std::size_t
{
    std::size_t number = 0;
    while (number < entries_.size() && entries_[number].caller != address) {
        ++number;
    }
    return number;
}

auto Site::incarnation(std::size_t entry) const -> std::uint32_t
{
    return entries_.at(entry).incarnation;
}

auto Site::version() const -> std::uint64_t
{
    return version_;
}

auto Site::previousVersion() const -> std::uint64_t
{
    return version_ - VersionStep;
}

auto Site::key() const -> const Key &
{
    return keys_.front();
}

auto Site::withdrawnKey() const -> const std::string &
{
    return withdrawnKey_;
}

auto Site::crashingPart() const -> const std::string &
{
    return crashingPart_;
}

} // namespace auburnspread::soak
