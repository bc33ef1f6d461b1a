#include "gateway/peerexchange.h"

#include "gateway/clock.h"
#include "gateway/entryform.h"
#include "runtime/net/endpoint.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace auburnspread::gateway
{

namespace
{

using nlohmann::json;

/// Not every network transmits larger datagrams whole. A report of sixty servers takes about half of this size.
constexpr std::size_t MaxDatagramBytes = 8192;
/// Prompt parts in one report; further parts go into continuation messages.
constexpr std::size_t MaxParts = 300;
/// \name Maximum encoded sizes, in bytes
/// @{
constexpr std::size_t HeaderBytes = 400;
constexpr std::size_t UseBytes = 36;
constexpr std::size_t LimitBytes = 17; ///< additional size of a use whose server has a limit
constexpr std::size_t PartBytes = 15;
/// @}

/// Space that is left in one report.
struct RemainingSpace {
    std::size_t bytes = MaxDatagramBytes - HeaderBytes;
    std::size_t parts = MaxParts;
};

auto reserveUse(RemainingSpace &space, const passthrough::PeerReported::ServerUsage &use) -> void
{
    space.bytes -= std::min(space.bytes, UseBytes + (use.limit ? LimitBytes : 0));
}

auto tryReservePart(RemainingSpace &space) -> bool
{
    if (space.parts == 0 || space.bytes < PartBytes + UseBytes) {
        return false;
    }
    space.parts -= 1;
    space.bytes -= PartBytes;
    return true;
}

/// Datagrams read before control returns to the event loop, so that a flood of datagrams cannot block callers.
constexpr int MaxReadsPerWakeup = 64;

/// Reads a count of a load report. The conversion of the JSON library would wrap a figure that doesn't fit, such as 2^63, into a plausible one.
/// Throws std::runtime_error if it is no integer of 32 bits.
auto toCount(const json &figure) -> std::uint32_t
{
    const auto isNegative = figure.is_number_integer() && !figure.is_number_unsigned() && figure.get<std::int64_t>() < 0;
    if (!figure.is_number_integer() || isNegative || figure.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        throw std::runtime_error("figure out of range: " + (figure.is_number() ? figure.dump() : std::string(figure.type_name())));
    }
    return figure.get<std::uint32_t>();
}

/// Stands for a limit that was removed.
constexpr double AnyRate = -1;

/// Parts are encoded as a flat list, because a report goes to every entry several times a second.
auto partsToJson(const std::vector<passthrough::PromptPart> &parts) -> json
{
    auto list = json::array();
    for (const auto &part : parts) {
        list.push_back(part.id);
        list.push_back(part.tokens);
    }
    return list;
}

auto partsFromJson(const json &list) -> std::vector<passthrough::PromptPart>
{
    std::vector<passthrough::PromptPart> parts;
    for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
        parts.push_back({ .id = list.at(i).get<std::uint64_t>(), .tokens = toCount(list.at(i + 1)) });
    }
    return parts;
}

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Appends the limit fields to the use of a server that has a limit, or recently had one.
auto appendLimit(json &use, const passthrough::PeerReported::ServerUsage &from) -> void
{
    if (!from.limit && from.sentLately == 0) {
        return;
    }
    use.push_back(from.sentLately);
    if (from.limit) {
        use.push_back(from.limit->perSecond.value_or(AnyRate));
        use.push_back(toMilliseconds(from.limit->age));
    }
}

auto readLimit(const json &from, passthrough::PeerReported::ServerUsage &use) -> void
{
    constexpr std::size_t SentLately = 8;
    constexpr std::size_t Rate = 9;
    constexpr std::size_t Age = 10;
    if (from.size() > SentLately) {
        use.sentLately = toCount(from.at(SentLately));
    }
    if (from.size() > Age) {
        const auto rate = from.at(Rate).get<double>();
        use.limit = { .perSecond = rate == AnyRate ? std::nullopt : std::optional(rate), .age = std::chrono::milliseconds(toCount(from.at(Age))) };
    }
}

auto toJson(const passthrough::PeerReported &report) -> json
{
    auto uses = json::array();
    for (const auto &use : report.uses) {
        uses.push_back({ use.server,
                         use.inFlight,
                         use.unreadTokens,
                         use.heldTokens,
                         use.waitingTokens,
                         use.shortPrompts,
                         toMilliseconds(use.ejectedFor),
                         partsToJson(use.sent) });
        appendLimit(uses.back(), use);
    }
    auto arrivals = json::array();
    for (const auto &each : report.arrivals) {
        arrivals.push_back({ each.service, static_cast<float>(each.perSecond) });
    }
    return { { "entry", report.entry },          { "arrivals", std::move(arrivals) },
             { "domain", report.failureDomain }, { "scope", static_cast<int>(report.scope) },
             { "entries", report.entries },      { "relayed", report.isRelayed },
             { "rest", report.isContinuation },  { "uses", std::move(uses) } };
}

/// Adds the samples of the engines' speed, if the report has any.
auto toJsonWithSpeeds(const passthrough::PeerReported &report) -> json
{
    auto document = toJson(report);
    for (const auto &speed : report.speeds) {
        document["speeds"][speed.server] = { static_cast<float>(speed.samples), static_cast<float>(speed.logSum) };
    }
    return document;
}

auto readSpeeds(const json &document, passthrough::PeerReported &report) -> void
{
    const auto speeds = document.find("speeds");
    if (speeds == document.end()) {
        return;
    }
    for (const auto &[server, figures] : speeds->items()) {
        report.speeds.push_back({ .server = server, .samples = figures.at(0).get<double>(), .logSum = figures.at(1).get<double>() });
    }
}

/// Incidents are sent with their age, as the clocks of two VMs have nothing in common. A report on a prompt part has no fingerprint, so
/// entries of earlier builds ignore it.
auto toJson(const passthrough::CrashesReported &report) -> json
{
    const auto isPart = report.suspect.kind == passthrough::SuspectKind::PromptPart;
    auto incidents = json::array();
    for (const auto &incident : report.incidents) {
        incidents.push_back({ incident.server, toMilliseconds(now() - incident.at), incident.hadEvents });
        if (incident.sentAt != TimePoint()) {
            incidents.back().push_back(toMilliseconds(now() - incident.sentAt));
            incidents.back().push_back(static_cast<std::uint64_t>(incident.request));
            incidents.back().push_back(incident.startedAt);
        }
    }
    json document{ { "fingerprint", isPart ? 0 : report.suspect.id }, { "incidents", std::move(incidents) } };
    if (isPart) {
        document["part"] = report.suspect.id;
    }
    if (report.provenAt != TimePoint()) {
        document["proven"] = toMilliseconds(now() - report.provenAt);
    }
    return document;
}

auto timeOfAge(const json &milliseconds) -> TimePoint
{
    return now() - std::chrono::milliseconds(milliseconds.get<std::uint32_t>());
}

auto toCrashesReported(const json &document) -> passthrough::CrashesReported
{
    constexpr std::size_t SentAge = 3;
    constexpr std::size_t Request = 4;
    constexpr std::size_t StartedAt = 5;
    passthrough::CrashesReported report{ .suspect = passthrough::requestSuspect(Fingerprint{ document.at("fingerprint").get<std::uint64_t>() }) };
    if (document.contains("part")) {
        report.suspect = passthrough::partSuspect(document.at("part").get<std::uint64_t>());
    }
    if (document.contains("proven")) {
        report.provenAt = timeOfAge(document.at("proven"));
    }
    for (const auto &incident : document.at("incidents")) {
        report.incidents.push_back({
            .server = incident.at(0).get<std::string>(),
            .startedAt = incident.size() > StartedAt ? incident.at(StartedAt).get<std::int64_t>() : 0,
            .at = timeOfAge(incident.at(1)),
            .hadEvents = incident.at(2).get<bool>(),
            .sentAt = incident.size() > SentAge ? timeOfAge(incident.at(SentAge)) : TimePoint(),
            .request = incident.size() > Request ? Fingerprint{ incident.at(Request).get<std::uint64_t>() } : Fingerprint{},
        });
    }
    return report;
}

auto toScope(const json &number) -> passthrough::ReportScope
{
    constexpr auto Last = static_cast<int>(passthrough::ReportScope::Fleet);
    return static_cast<passthrough::ReportScope>(std::clamp(number.get<int>(), 0, Last));
}

auto toJson(const fleet::Heartbeat &heartbeat) -> json
{
    return { { "alive", detail::entryToJson(heartbeat.entry) }, { "leaving", heartbeat.isLeaving } };
}

auto toHeartbeat(const json &document) -> fleet::Heartbeat
{
    return { .entry = detail::entryFromJson(document.at("alive")), .isLeaving = document.at("leaving").get<bool>() };
}

auto toJson(const usage::Report &report) -> json
{
    auto windows = json::array();
    for (const auto &[window, counts] : report.windows) {
        windows.push_back({ window, json(counts) });
    }
    return { { "used", std::move(windows) }, { "entry", report.entry }, { "incarnation", report.incarnation }, { "current", report.current } };
}

auto toUsageReport(const json &document) -> usage::Report
{
    usage::Report report{
        .entry = document.at("entry").get<std::string>(),
        .incarnation = document.at("incarnation").get<std::uint64_t>(),
        .current = document.at("current").get<usage::Window>(),
    };
    for (const auto &window : document.at("used")) {
        report.windows[window.at(0).get<usage::Window>()] = window.at(1).get<usage::Counts>();
    }
    return report;
}

/// Short names, because there is one of these for each stream and keeper.
/// @{
auto toJson(const passthrough::OriginReported &report) -> json
{
    return { { "s", static_cast<std::uint64_t>(report.stream) }, { "b", report.origin.service }, { "v", report.origin.version.name } };
}

auto toJson(const passthrough::VersionReport &report) -> json
{
    auto seen = json::array();
    for (const auto &each : report.seen) {
        seen.push_back({ each.version, toMilliseconds(each.age) });
    }
    return { { "b", report.service }, { "known", toMilliseconds(report.knownFor) }, { "confirmed", toMilliseconds(report.confirmedAge) }, { "seen", seen } };
}

auto toJson(const passthrough::OriginUnknown &answer) -> json
{
    json document{ { "s", static_cast<std::uint64_t>(answer.stream) }, { "unknown", answer.entry } };
    if (answer.versions) {
        document["history"] = toJson(*answer.versions);
    }
    return document;
}

auto toJson(const OriginQuestion &question) -> json
{
    return { { "s", static_cast<std::uint64_t>(question.stream) }, { "ask", question.peerAddress }, { "b", question.service } };
}
/// @}

auto readAge(const json &milliseconds) -> Duration
{
    return std::chrono::milliseconds(toCount(milliseconds));
}

auto versionReportFromJson(const json &document) -> passthrough::VersionReport
{
    passthrough::VersionReport report{ .service = document.at("b").get<std::string>(),
                                       .knownFor = readAge(document.at("known")),
                                       .confirmedAge = readAge(document.at("confirmed")) };
    for (const auto &each : document.at("seen")) {
        report.seen.push_back({ .version = each.at(0).get<std::string>(), .age = readAge(each.at(1)) });
    }
    return report;
}

auto originMessageFromJson(const json &document) -> PeerMessage
{
    const auto stream = passthrough::StreamId{ document.at("s").get<std::uint64_t>() };
    if (document.contains("ask")) {
        return OriginQuestion{ .stream = stream, .service = document.value("b", ""), .peerAddress = document.at("ask").get<std::string>() };
    }
    if (document.contains("unknown")) {
        passthrough::OriginUnknown unknown{ .stream = stream, .entry = document.at("unknown").get<std::string>() };
        if (document.contains("history")) {
            unknown.versions = versionReportFromJson(document.at("history"));
        }
        return unknown;
    }
    return passthrough::OriginReported{ .stream = stream,
                                        .origin = { .service = document.at("b").get<std::string>(), .version = { document.at("v").get<std::string>() } } };
}

auto readLoadReport(const json &document) -> passthrough::PeerReported
{
    passthrough::PeerReported report{ .entry = document.at("entry").get<std::string>(),
                                      .failureDomain = document.at("domain").get<std::string>(),
                                      .scope = toScope(document.at("scope")),
                                      .entries = toCount(document.at("entries")),
                                      .isRelayed = document.at("relayed").get<bool>(),
                                      .isContinuation = document.at("rest").get<bool>() };
    for (const auto &each : document.at("arrivals")) {
        report.arrivals.push_back({ .service = each.at(0).get<std::string>(), .perSecond = each.at(1).get<double>() });
    }
    for (const auto &use : document.at("uses")) {
        report.uses.push_back({
            .server = use.at(0).get<std::string>(),
            .inFlight = toCount(use.at(1)),
            .unreadTokens = toCount(use.at(2)),
            .heldTokens = toCount(use.at(3)),
            .waitingTokens = toCount(use.at(4)),
            .shortPrompts = toCount(use.at(5)),
            .ejectedFor = std::chrono::milliseconds(toCount(use.at(6))),
            .sent = partsFromJson(use.at(7)),
        });
        readLimit(use, report.uses.back());
    }
    readSpeeds(document, report);
    return report;
}

/// Throws std::runtime_error with the name of the sender if a figure of the report is out of range.
auto toLoadReport(const json &document) -> passthrough::PeerReported
{
    try {
        return readLoadReport(document);
    } catch (const std::runtime_error &error) {
        throw std::runtime_error("load report of " + document.at("entry").get<std::string>() + ": " + error.what());
    }
}

auto fromJson(const json &document) -> PeerMessage
{
    if (document.contains("s")) {
        return originMessageFromJson(document);
    }
    if (document.contains("used")) {
        return toUsageReport(document);
    }
    if (document.contains("alive")) {
        return toHeartbeat(document);
    }
    if (document.contains("fingerprint")) {
        return toCrashesReported(document);
    }
    return toLoadReport(document);
}

/// An empty continuation message for further prompt parts of the report.
auto makeContinuation(const passthrough::PeerReported &report) -> passthrough::PeerReported
{
    return {
        .entry = report.entry,
        .failureDomain = report.failureDomain,
        .scope = report.scope,
        .entries = report.entries,
        .isRelayed = report.isRelayed,
        .isContinuation = true,
    };
}

} // namespace

auto splitIntoDatagrams(const PeerMessage &message) -> std::vector<PeerMessage>
{
    const auto *report = std::get_if<passthrough::PeerReported>(&message);
    if (report == nullptr) {
        return { message };
    }
    auto first = *report;
    std::vector<passthrough::PeerReported> continuations;
    RemainingSpace space;
    std::for_each(first.uses.begin(), first.uses.end(), [&space](const auto &use) { reserveUse(space, use); });
    for (auto &use : first.uses) {
        std::vector<passthrough::PromptPart> kept;
        for (const auto &part : use.sent) {
            if (!tryReservePart(space)) {
                space = {};
                tryReservePart(space);
                continuations.push_back(makeContinuation(first));
            }
            if (continuations.empty()) {
                kept.push_back(part);
                continue;
            }
            auto &uses = continuations.back().uses;
            if (uses.empty() || uses.back().server != use.server) {
                uses.push_back({ .server = use.server });
                reserveUse(space, uses.back());
            }
            uses.back().sent.push_back(part);
        }
        use.sent = std::move(kept);
    }
    std::vector<PeerMessage> messages{ std::move(first) };
    messages.insert(messages.end(), continuations.begin(), continuations.end());
    return messages;
}

auto encodePeerMessage(const PeerMessage &message) -> std::string
{
    const auto *report = std::get_if<passthrough::PeerReported>(&message);
    const auto document = report != nullptr ? toJsonWithSpeeds(*report) : std::visit([](const auto &each) { return toJson(each); }, message);
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

auto decodePeerMessage(std::string_view bytes) -> PeerMessage
{
    try {
        return fromJson(json::from_cbor(bytes));
    } catch (const json::exception &error) {
        throw std::runtime_error(std::string("peer message: ") + error.what());
    }
}

PeerExchange::PeerExchange(task::EventLoop &loop, const std::string &address, OnMessage onMessage, OnInvalid onInvalid)
    : onMessage_(std::move(onMessage))
    , onInvalid_(std::move(onInvalid))
{
    const auto endpoint = net::parseEndpoint(address);
    if (!endpoint) {
        throw std::runtime_error("bind " + address + ": not an IP number and port");
    }
    auto target = net::toSocketAddress(*endpoint);
    descriptor_ = ::socket(target.get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0 || ::bind(descriptor_, target.get(), target.size) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind " + address);
    }
    readable_ = loop.whenReadable(descriptor_, [this]() { receive(); });
}

PeerExchange::~PeerExchange()
{
    ::close(descriptor_);
}

auto PeerExchange::setPeers(std::vector<std::string> addresses) -> void
{
    peers_ = std::move(addresses);
}

auto PeerExchange::peerCount() const -> std::size_t
{
    return peers_.size();
}

auto PeerExchange::send(const PeerMessage &message) -> void
{
    sendTo(peers_, message);
}

auto PeerExchange::sendToSubset(int part, int parts, const PeerMessage &message) -> void
{
    std::vector<std::string> addresses;
    for (auto i = static_cast<std::size_t>(part); i < peers_.size(); i += static_cast<std::size_t>(parts)) {
        addresses.push_back(peers_[i]);
    }
    sendTo(addresses, message);
}

auto PeerExchange::sendTo(const std::vector<std::string> &addresses, const PeerMessage &message) -> void
{
    for (const auto &each : splitIntoDatagrams(message)) {
        sendDatagram(addresses, each);
    }
}

auto PeerExchange::sendDatagram(const std::vector<std::string> &addresses, const PeerMessage &message) -> void
{
    const auto bytes = encodePeerMessage(message);
    if (bytes.size() > MaxDatagramBytes) {
        onInvalid_("own message is too long: " + std::to_string(bytes.size()) + " bytes");
        return;
    }
    for (const auto &peer : addresses) {
        const auto endpoint = net::parseEndpoint(peer);
        if (!endpoint) {
            continue; // the entry's registration is invalid, which was logged when it was read
        }
        const auto target = net::toSocketAddress(*endpoint);
        // the next report makes up for a datagram that cannot be sent now
        ::sendto(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, target.get(), target.size);
    }
}

auto PeerExchange::receive() -> void
{
    std::array<char, MaxDatagramBytes> buffer{};
    for (auto i = 0; i < MaxReadsPerWakeup; ++i) {
        const auto length = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length < 0) {
            return;
        }
        try {
            onMessage_(decodePeerMessage({ buffer.data(), static_cast<std::size_t>(length) }));
        } catch (const std::runtime_error &error) {
            onInvalid_(error.what());
        }
    }
}

} // namespace auburnspread::gateway
