#include "wire/peer/messages.h"

#include "wire/peer/internal/cborbounds.h"
#include "wire/peer/internal/fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace auburnspread::peer
{

namespace
{

using detail::Fields;
using detail::Json;

/// Leaves room to raise an incarnation or version for ever without overflow.
constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 53U;
constexpr std::uint32_t MaxVersion = std::uint32_t(1) << 31U;

template <typename Bytes>
auto toBinary(const Bytes &bytes) -> Json
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

auto readIncarnation(Fields &fields) -> std::uint64_t
{
    const auto incarnation = fields.number64();
    if (incarnation > MaxIncarnation) {
        throw DecodeError("incarnation is too large");
    }
    return incarnation;
}

// Each body is a positional list: encodeBody and its read function name the same fields in the same order.

auto encodeBody(const Hello &hello) -> Json
{
    return Json::array({ toBinary(hello.nonce) });
}

auto readHello(Fields &fields) -> Hello
{
    return { .nonce = fields.fixedBytes<NonceBytes>() };
}

auto encodeBody(const Challenge &challenge) -> Json
{
    return Json::array({ toBinary(challenge.nonce), toBinary(challenge.proof) });
}

auto readChallenge(Fields &fields) -> Challenge
{
    Challenge challenge;
    challenge.nonce = fields.fixedBytes<NonceBytes>();
    challenge.proof = fields.fixedBytes<ProofBytes>();
    return challenge;
}

auto encodeBody(const Proof &proof) -> Json
{
    return Json::array({ toBinary(proof.proof) });
}

auto readProof(Fields &fields) -> Proof
{
    return { .proof = fields.fixedBytes<ProofBytes>() };
}

auto encodeBody(const Ping &ping) -> Json
{
    return Json::array({ ping.number });
}

auto readPing(Fields &fields) -> Ping
{
    return { .number = fields.number32() };
}

auto encodeBody(const Pong &pong) -> Json
{
    return Json::array({ pong.number });
}

auto readPong(Fields &fields) -> Pong
{
    return { .number = fields.number32() };
}

auto encodeRecord(const membership::MemberRecord &record) -> Json
{
    return Json::array({ record.name,
                         record.callerAddress,
                         record.peerAddress,
                         record.adminAddress,
                         record.failureDomain,
                         record.region,
                         record.incarnation,
                         record.version,
                         membership::memberStateName(record.state) });
}

auto readState(Fields &fields) -> membership::MemberState
{
    const auto state = membership::memberStateFromName(fields.text());
    if (!state) {
        throw DecodeError("member record: no such state");
    }
    return *state;
}

auto readRecord(const Json &json) -> membership::MemberRecord
{
    Fields fields(json, "member record");
    membership::MemberRecord record;
    record.name = fields.text();
    record.callerAddress = fields.text();
    record.peerAddress = fields.text();
    record.adminAddress = fields.text();
    record.failureDomain = fields.text();
    record.region = fields.text();
    record.incarnation = readIncarnation(fields);
    record.version = fields.number32();
    record.state = readState(fields);
    if (record.name.empty() || record.version > MaxVersion) {
        throw DecodeError("member record: no name or a version too large");
    }
    return record;
}

auto encodeBody(const Members &members) -> Json
{
    auto records = Json::array();
    for (const auto &record : members.records) {
        records.push_back(encodeRecord(record));
    }
    return Json::array({ std::move(records), members.digest ? Json(members.digest->buckets) : Json() });
}

auto readDigest(Fields &fields) -> std::optional<membership::TableDigest>
{
    if (fields.isNull()) {
        return std::nullopt;
    }
    Fields buckets(fields.list(), "table digest");
    membership::TableDigest digest;
    for (auto &bucket : digest.buckets) {
        bucket = buckets.number64();
    }
    return digest;
}

auto readMembers(Fields &fields) -> Members
{
    Members members;
    for (const auto &record : fields.list()) {
        members.records.push_back(readRecord(record));
    }
    members.digest = readDigest(fields);
    return members;
}

/// The three lists of a report, with names or with numbers for them.
template <typename Backends, typename Demand, typename Workspaces>
auto encodeLists(const Backends &backends, const Demand &demand, const Workspaces &workspaces) -> Json
{
    auto lists = Json::array({ Json::array(), Json::array(), Json::array() });
    for (const auto &[backend, inFlight] : backends) {
        lists[0].push_back(Json::array({ backend, inFlight }));
    }
    for (const auto &[model, waiting, inFlight] : demand) {
        lists[1].push_back(Json::array({ model, waiting, inFlight }));
    }
    for (const auto &[workspace, requests, tokens, inFlight] : workspaces) {
        lists[2].push_back(Json::array({ workspace, requests, tokens, inFlight }));
    }
    return lists;
}

auto encodeBody(const Report &report) -> Json
{
    return encodeLists(report.report.backends, report.report.demand, report.report.workspaces);
}

auto encodeBody(const IndexedReport &report) -> Json
{
    return encodeLists(report.backends, report.demand, report.workspaces);
}

auto readName(Fields &fields, std::string &name) -> void
{
    name = fields.text();
}

auto readName(Fields &fields, std::uint32_t &number) -> void
{
    number = fields.number32();
}

template <typename Backends, typename Demand, typename Workspaces>
auto readLists(Fields &fields, Backends &backends, Demand &demand, Workspaces &workspaces) -> void
{
    for (const auto &json : fields.list()) {
        Fields use(json, "backend use");
        auto &[backend, inFlight] = backends.emplace_back();
        readName(use, backend);
        inFlight = use.number32();
    }
    for (const auto &json : fields.list()) {
        Fields use(json, "model demand");
        auto &[model, waiting, inFlight] = demand.emplace_back();
        readName(use, model);
        waiting = use.number32();
        inFlight = use.number32();
    }
    for (const auto &json : fields.list()) {
        Fields use(json, "workspace use");
        auto &[workspace, requests, tokens, inFlight] = workspaces.emplace_back();
        readName(use, workspace);
        requests = use.number32();
        tokens = use.number32();
        inFlight = use.number32();
    }
}

auto readReport(Fields &fields) -> Report
{
    Report report;
    readLists(fields, report.report.backends, report.report.demand, report.report.workspaces);
    return report;
}

auto readIndexedReport(Fields &fields) -> IndexedReport
{
    IndexedReport report;
    readLists(fields, report.backends, report.demand, report.workspaces);
    return report;
}

auto encodeBody(const Names &names) -> Json
{
    return Json::array({ names.first, names.names });
}

auto readNames(Fields &fields) -> Names
{
    Names names{ .first = fields.number32(), .names = {} };
    const auto &list = fields.list();
    Fields texts(list, "names");
    for (std::size_t i = 0; i < list.size(); ++i) {
        names.names.push_back(texts.text());
    }
    return names;
}

using Mark = routing::QuarantineHeard::Mark;

constexpr auto Marks = std::to_array<NamedValue<Mark>>({
    { Mark::Suspect, "suspect" },
    { Mark::Retrying, "retrying" },
    { Mark::RetryEnded, "retry-ended" },
    { Mark::Cleared, "cleared" },
    { Mark::Quarantined, "quarantined" },
    { Mark::Released, "released" },
});

auto encodeBody(const Quarantine &quarantine) -> Json
{
    return Json::array({ static_cast<std::uint64_t>(quarantine.notice.fingerprint), findName(Marks, quarantine.notice.mark), quarantine.notice.server });
}

auto readQuarantine(Fields &fields) -> Quarantine
{
    Quarantine quarantine;
    quarantine.notice.fingerprint = static_cast<Fingerprint>(fields.number64());
    const auto mark = findValue(Marks, fields.text());
    if (!mark) {
        throw DecodeError("quarantine: no such mark");
    }
    quarantine.notice.mark = *mark;
    quarantine.notice.server = fields.text();
    return quarantine;
}

auto encodeBody(const Leaving & /*leaving*/) -> Json
{
    return Json::array();
}

auto encodeBody(const Configuration &configuration) -> Json
{
    return Json::array({ configuration.version, configuration.digest });
}

auto readConfiguration(Fields &fields) -> Configuration
{
    Configuration configuration;
    configuration.version = fields.number64();
    configuration.digest = fields.text();
    return configuration;
}

auto encodeBody(const ConfigurationRequest &request) -> Json
{
    return Json::array({ request.digest, request.offset });
}

auto readConfigurationRequest(Fields &fields) -> ConfigurationRequest
{
    ConfigurationRequest request;
    request.digest = fields.text();
    request.offset = fields.number32();
    return request;
}

auto encodeBody(const ConfigurationPart &part) -> Json
{
    return Json::array({ part.digest, part.version, part.offset, part.total, toBinary(part.bytes) });
}

auto readConfigurationPart(Fields &fields) -> ConfigurationPart
{
    ConfigurationPart part;
    part.digest = fields.text();
    part.version = fields.number64();
    part.offset = fields.number32();
    part.total = fields.number32();
    const auto &bytes = fields.bytes(MaxPartBytes);
    part.bytes.assign(bytes.begin(), bytes.end());
    if (part.bytes.size() > part.total || part.offset > part.total - part.bytes.size()) {
        throw DecodeError("configuration part: bytes beyond its total");
    }
    return part;
}

auto encodeBody(const Unknown & /*unknown*/) -> Json
{
    return Json::array();
}

auto readBody(MessageType type, const Json &body) -> Message
{
    Fields fields(body, std::string(messageTypeName(type)));
    switch (type) {
    case MessageType::Hello:
        return readHello(fields);
    case MessageType::Challenge:
        return readChallenge(fields);
    case MessageType::Proof:
        return readProof(fields);
    case MessageType::Ping:
        return readPing(fields);
    case MessageType::Pong:
        return readPong(fields);
    case MessageType::Members:
        return readMembers(fields);
    case MessageType::Report:
        return readReport(fields);
    case MessageType::Names:
        return readNames(fields);
    case MessageType::IndexedReport:
        return readIndexedReport(fields);
    case MessageType::Quarantine:
        return readQuarantine(fields);
    case MessageType::Leaving:
        return Leaving{};
    case MessageType::Configuration:
        return readConfiguration(fields);
    case MessageType::ConfigurationRequest:
        return readConfigurationRequest(fields);
    case MessageType::ConfigurationPart:
        return readConfigurationPart(fields);
    }
    return Unknown{};
}

/// The envelope's fields by their keys, as a list in this order.
auto readEnvelopeFields(const Json &json) -> Json
{
    auto list = Json::array();
    if (!json.is_object()) {
        return list;
    }
    for (const auto *key : { "v", "type", "from", "incarnation" }) {
        const auto found = json.find(key);
        list.push_back(found == json.end() ? Json() : *found);
    }
    return list;
}

} // namespace

auto typeOf(const Message &message) -> std::optional<MessageType>
{
    static_assert(std::variant_size_v<Message> == MessageTypeCount + 1);
    if (std::holds_alternative<Unknown>(message)) {
        return std::nullopt;
    }
    return static_cast<MessageType>(message.index());
}

auto encode(const Envelope &envelope) -> std::string
{
    const auto type = typeOf(envelope.message);
    Json json;
    json["v"] = ProtocolVersion;
    json["type"] = type ? messageTypeName(*type) : "unknown";
    json["from"] = envelope.from;
    json["incarnation"] = envelope.incarnation;
    json["body"] = std::visit([](const auto &body) { return encodeBody(body); }, envelope.message);
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

auto decode(std::string_view bytes) -> Envelope
{
    if (!detail::isWithinBounds(bytes)) {
        throw DecodeError("message is not CBOR within bounds");
    }
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const auto list = readEnvelopeFields(json);
    Fields fields(list, "envelope");
    const auto version = fields.number32();
    const auto type = messageTypeFromName(fields.text());
    Envelope envelope;
    envelope.from = fields.text();
    envelope.incarnation = readIncarnation(fields);
    if (version != ProtocolVersion || !type) {
        envelope.message = Unknown{};
        return envelope;
    }
    const auto body = json.find("body");
    if (body == json.end()) {
        throw DecodeError("envelope has no body");
    }
    envelope.message = readBody(*type, *body);
    return envelope;
}

} // namespace auburnspread::peer
