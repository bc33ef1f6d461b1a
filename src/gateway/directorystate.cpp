#include "gateway/directorystate.h"

#include "core/passthrough/events.h"
#include "gateway/contenttag.h"
#include "gateway/entryform.h"
#include "wire/text/deflate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace auburnspread::gateway
{

namespace
{

using nlohmann::json;

auto toJson(const passthrough::Server &server) -> json
{
    return { server.id,        server.service,       server.address,   server.failureDomain, server.slots,
             server.isLeaving, server.isPreemptible, server.startedAt, server.version.name };
}

auto serverFromJson(const json &item) -> passthrough::Server
{
    return {
        .id = item.at(0).get<std::string>(),
        .service = item.at(1).get<std::string>(),
        .address = item.at(2).get<std::string>(),
        .failureDomain = item.at(3).get<std::string>(),
        .slots = item.at(4).get<std::uint32_t>(),
        .isLeaving = item.at(5).get<bool>(),
        .isPreemptible = item.at(6).get<bool>(),
        .startedAt = item.at(7).get<std::int64_t>(),
        .version = { item.size() > 8 ? item.at(8).get<std::string>() : std::string() },
    };
}

auto toJson(const fleet::EntryRecord &entry) -> json
{
    return detail::entryToJson(entry);
}

template <typename Item>
auto listToJson(const std::vector<Item> &items) -> json
{
    auto list = json::array();
    for (const auto &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

template <typename Item, typename Convert>
auto listFromJson(const json &list, Convert convert) -> std::vector<Item>
{
    std::vector<Item> items;
    for (const auto &item : list) {
        items.push_back(convert(item));
    }
    return items;
}

/// Longest list that is unpacked; no real fleet has a longer one.
constexpr std::size_t MaxListBytes = std::size_t{ 4 } * 1024 * 1024;

template <typename Item>
auto packList(const std::vector<Item> &items) -> PackedList
{
    std::string bytes;
    json::to_cbor(listToJson(items), bytes);
    return { .bytes = text::pack(bytes), .size = bytes.size() };
}

template <typename Item, typename Convert>
auto unpackList(const PackedList &list, Convert convert) -> std::vector<Item>
{
    const auto bytes = list.size > MaxListBytes ? std::nullopt : text::unpack(list.bytes, list.size);
    if (!bytes) {
        throw std::runtime_error("directory answer: a list cannot be unpacked");
    }
    try {
        return listFromJson<Item>(json::from_cbor(*bytes), convert);
    } catch (const json::exception &error) {
        throw std::runtime_error(std::string("directory answer: ") + error.what());
    }
}

auto toJson(const PackedList &list) -> json
{
    return { list.size, json::binary(std::vector<std::uint8_t>(list.bytes.begin(), list.bytes.end())) };
}

auto quarantinedToJson(const std::vector<DirectoryAnswer::Quarantined> &suspects, passthrough::SuspectKind kind) -> json
{
    auto list = json::array();
    for (const auto &each : suspects) {
        if (each.suspect.kind == kind) {
            list.push_back({ each.suspect.id, each.age.count() });
        }
    }
    return list;
}

auto addQuarantinedFromJson(const json &list, passthrough::SuspectKind kind, std::vector<DirectoryAnswer::Quarantined> &suspects) -> void
{
    for (const auto &item : list) {
        suspects.push_back({ .suspect = { .kind = kind, .id = item.at(0).get<std::uint64_t>() }, .age = Duration(item.at(1).get<Duration::rep>()) });
    }
}

auto toJson(const StoreRevision &revision) -> json
{
    return { revision.era, revision.number };
}

auto toRevision(const json &item) -> StoreRevision
{
    return { .era = item.at(0).get<std::uint64_t>(), .number = item.at(1).get<std::uint64_t>() };
}

auto toPackedList(const json &item) -> PackedList
{
    const auto &bytes = item.at(1).get_binary();
    return { .bytes = std::string(bytes.begin(), bytes.end()), .size = item.at(0).get<std::size_t>() };
}

} // namespace

auto applyConfiguration(DirectoryState &state, const ConfigurationSnapshot &read) -> void
{
    if (read.revision <= state.tags.configuration) {
        return;
    }
    recordConfigurationRead(state, read.revision);
    state.configurations.insert(state.configurations.begin(), makeOfferedDocument(read));
    dropOldDocuments(state.configurations);
}

auto recordConfigurationRead(DirectoryState &state, StoreRevision revision) -> void
{
    state.tags.configuration = std::max(state.tags.configuration, revision);
    state.offeredAt.erase(state.offeredAt.begin(), state.offeredAt.upper_bound(revision));
}

auto recordConfirmation(DirectoryState &state, StoreRevision revision, TimePoint asOf) -> bool
{
    constexpr std::size_t MaxPending = 100;
    if (revision <= state.tags.configuration) {
        applyConfirmation(state, asOf);
        return true;
    }
    auto &pending = state.pendingConfirmations;
    auto &confirmedAt = pending.try_emplace(revision, asOf).first->second;
    confirmedAt = std::max(confirmedAt, asOf);
    if (pending.size() > MaxPending) {
        pending.erase(std::prev(pending.end(), 2)); // the oldest belong to the document in transfer, the newest to the one after it
    }
    return false;
}

auto applyPendingConfirmations(DirectoryState &state) -> std::optional<TimePoint>
{
    std::optional<TimePoint> confirmedAt;
    const auto end = state.pendingConfirmations.upper_bound(state.tags.configuration);
    for (auto each = state.pendingConfirmations.begin(); each != end; ++each) {
        confirmedAt = std::max(confirmedAt.value_or(each->second), each->second);
    }
    state.pendingConfirmations.erase(state.pendingConfirmations.begin(), end);
    if (confirmedAt) {
        applyConfirmation(state, *confirmedAt);
    }
    return confirmedAt;
}

auto applyConfirmation(DirectoryState &state, TimePoint asOf) -> void
{
    state.confirmedAt = std::max(state.confirmedAt.value_or(asOf), asOf);
    std::erase_if(state.offeredAt, [asOf](const auto &offer) { return offer.second < asOf; });
}

auto recordOffer(DirectoryState &state, StoreRevision revision, TimePoint now) -> bool
{
    constexpr std::size_t MaxOffers = 100; // offers recorded while a configuration is being fetched; the oldest one determines outdatedSince()
    if (revision <= state.tags.configuration || state.offeredAt.size() >= MaxOffers) {
        return false;
    }
    return state.offeredAt.try_emplace(revision, now).second;
}

auto configurationKnownAt(const DirectoryState &state) -> std::optional<TimePoint>
{
    auto knownAt = state.confirmedAt;
    for (const auto &[revision, asOf] : state.pendingConfirmations) {
        knownAt = std::max(knownAt.value_or(asOf), asOf);
    }
    return knownAt;
}

auto outdatedSince(const DirectoryState &state) -> std::optional<TimePoint>
{
    return state.offeredAt.empty() ? std::nullopt : std::optional(state.offeredAt.begin()->second);
}

namespace
{

auto recordServersRead(DirectoryState &state, StoreRevision revision, TimePoint asOf, std::optional<TimePoint> outageEndedAt) -> void
{
    state.serversRevision = revision;
    state.serversAt = std::max(state.serversAt.value_or(asOf), asOf);
    if (outageEndedAt) {
        state.outageEndedAt = std::max(state.outageEndedAt.value_or(*outageEndedAt), *outageEndedAt);
    }
}

} // namespace

auto applyServers(DirectoryState &state, const ServersSnapshot &read) -> std::optional<ServerChanges>
{
    if (read.revision < state.serversRevision) {
        return std::nullopt;
    }
    auto servers = read.servers;
    sortServers(servers);
    auto changes = diffServers(state.servers, servers);
    if (!state.serversAt || !isEmpty(changes)) {
        if (state.tags.servers != 0) {
            appendChanges(state.serverLog, state.tags.servers, changes);
        }
        state.servers = std::move(servers);
        state.tags.servers = tagOf(state.servers);
    }
    recordServersRead(state, read.revision, read.asOf, read.outageEndedAt);
    return changes;
}

auto applyServersDelta(DirectoryState &state, const ServersDelta &change) -> bool
{
    if (tagAfter(state.servers, state.tags.servers, change.changes) != change.tag) {
        return false;
    }
    appendChanges(state.serverLog, state.tags.servers, change.changes);
    applyChanges(state.servers, change.changes);
    state.tags.servers = change.tag;
    recordServersRead(state, change.revision, change.asOf, change.outageEndedAt);
    return true;
}

auto applyQuarantined(DirectoryState &state, std::vector<passthrough::QuarantinedSuspect> suspects) -> void
{
    state.quarantined = std::move(suspects);
    std::string names;
    for (const auto &each : state.quarantined) {
        names += (each.suspect.kind == passthrough::SuspectKind::PromptPart ? 'p' : 'r') + std::to_string(each.suspect.id) + ' ';
    }
    state.tags.quarantined = names.empty() ? 0 : detail::contentTag(names);
}

auto confirmEntries(DirectoryState &state, TimePoint asOf) -> void
{
    state.entriesAt = std::max(state.entriesAt.value_or(asOf), asOf);
}

auto applyEntries(DirectoryState &state, const std::vector<fleet::EntryRecord> &alive, TimePoint asOf) -> bool
{
    confirmEntries(state, asOf);
    if (alive == state.entries) {
        return false;
    }
    state.entries = alive;
    state.packedEntries = packList(state.entries);
    state.tags.entries = detail::contentTag(state.packedEntries.bytes);
    return true;
}

namespace
{

auto getPackedServers(const DirectoryState &state) -> const PackedList &
{
    if (state.packedServersTag != state.tags.servers) {
        state.packedServers = packList(state.servers);
        state.packedServersTag = state.tags.servers;
    }
    return state.packedServers;
}

} // namespace

auto makeAnswer(const DirectoryState &state, const DirectoryTags &known, TimePoint now) -> DirectoryAnswer
{
    DirectoryAnswer answer{ .serversRevision = state.serversRevision };
    if (state.serversAt) {
        answer.serversAge = now - *state.serversAt;
    }
    if (state.confirmedAt) {
        answer.confirmedAge = now - *state.confirmedAt;
    }
    if (!state.configurations.empty()) {
        answer.configuration = state.configurations.front().offer;
    }
    if (state.tags.servers != known.servers && state.serversAt) {
        answer.serversTag = state.tags.servers;
        answer.serverChanges = changesSince(state.serverLog, known.servers);
        if (!answer.serverChanges) {
            answer.servers = getPackedServers(state);
        }
        const auto isRecent = state.outageEndedAt && now - *state.outageEndedAt < passthrough::ReregistrationTime;
        answer.outageAge = isRecent ? std::optional(now - *state.outageEndedAt) : std::nullopt;
    }
    if (state.entriesAt) {
        answer.entriesAge = now - *state.entriesAt;
    }
    if (state.tags.entries != known.entries && state.entriesAt) {
        answer.entries = state.packedEntries;
    }
    if (state.tags.quarantined != known.quarantined) {
        answer.quarantinedTag = state.tags.quarantined;
        answer.quarantined.emplace();
        for (const auto &each : state.quarantined) {
            answer.quarantined->push_back({ .suspect = each.suspect, .age = now - each.at });
        }
    }
    return answer;
}

auto encodeAnswer(const DirectoryAnswer &answer) -> std::string
{
    json document = { { "servers_revision", toJson(answer.serversRevision) } };
    if (answer.serversAge) {
        document["servers_age"] = answer.serversAge->count();
    }
    if (answer.confirmedAge) {
        document["age"] = answer.confirmedAge->count();
    }
    if (answer.configuration) {
        const auto &offer = *answer.configuration;
        document["configuration"] = { toJson(offer.revision), offer.tag, offer.bytes, offer.documentBytes };
    }
    if (answer.servers) {
        document["servers"] = toJson(*answer.servers);
    }
    if (answer.serverChanges) {
        document["server_changes"] = { answer.serversTag, listToJson(answer.serverChanges->changed), answer.serverChanges->removed };
    }
    if (answer.outageAge) {
        document["outage_age"] = answer.outageAge->count();
    }
    if (answer.entriesAge) {
        document["entries_age"] = answer.entriesAge->count();
    }
    if (answer.entries) {
        document["entries"] = toJson(*answer.entries);
    }
    if (answer.quarantined) {
        document["quarantined"] = { answer.quarantinedTag, quarantinedToJson(*answer.quarantined, passthrough::SuspectKind::Request) };
        document["quarantined_parts"] = quarantinedToJson(*answer.quarantined, passthrough::SuspectKind::PromptPart);
    }
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

auto decodeAnswer(std::string_view bytes) -> DirectoryAnswer
{
    try {
        const auto document = json::from_cbor(bytes);
        DirectoryAnswer answer;
        answer.serversRevision = toRevision(document.at("servers_revision"));
        if (document.contains("servers_age")) {
            answer.serversAge = Duration(document.at("servers_age").get<Duration::rep>());
        }
        if (document.contains("age")) {
            answer.confirmedAge = Duration(document.at("age").get<Duration::rep>());
        }
        if (document.contains("configuration")) {
            const auto &offer = document.at("configuration");
            answer.configuration = DocumentOffer{ .revision = toRevision(offer.at(0)), .tag = offer.at(1), .bytes = offer.at(2), .documentBytes = offer.at(3) };
        }
        if (document.contains("servers")) {
            answer.servers = toPackedList(document.at("servers"));
        }
        if (document.contains("server_changes")) {
            const auto &changes = document.at("server_changes");
            answer.serversTag = changes.at(0);
            answer.serverChanges = ServerChanges{ .changed = listFromJson<passthrough::Server>(changes.at(1), serverFromJson), .removed = changes.at(2) };
        }
        if (document.contains("outage_age")) {
            answer.outageAge = Duration(document.at("outage_age").get<Duration::rep>());
        }
        if (document.contains("entries_age")) {
            answer.entriesAge = Duration(document.at("entries_age").get<Duration::rep>());
        }
        if (document.contains("entries")) {
            answer.entries = toPackedList(document.at("entries"));
        }
        if (document.contains("quarantined")) {
            answer.quarantinedTag = document.at("quarantined").at(0);
            addQuarantinedFromJson(document.at("quarantined").at(1), passthrough::SuspectKind::Request, answer.quarantined.emplace());
        }
        if (answer.quarantined && document.contains("quarantined_parts")) {
            addQuarantinedFromJson(document.at("quarantined_parts"), passthrough::SuspectKind::PromptPart, *answer.quarantined);
        }
        return answer;
    } catch (const json::exception &error) {
        throw std::runtime_error(std::string("directory answer: ") + error.what());
    }
}

auto encodeList(const PackedList &list) -> std::string
{
    std::string bytes;
    json::to_cbor(toJson(list), bytes);
    return bytes;
}

auto decodeList(std::string_view bytes) -> PackedList
{
    try {
        return toPackedList(json::from_cbor(bytes));
    } catch (const json::exception &error) {
        throw std::runtime_error(std::string("list of entries: ") + error.what());
    }
}

auto unpackServers(const PackedList &list) -> std::vector<passthrough::Server>
{
    return unpackList<passthrough::Server>(list, serverFromJson);
}

auto unpackEntries(const PackedList &list) -> std::vector<fleet::EntryRecord>
{
    return unpackList<fleet::EntryRecord>(list, detail::entryFromJson);
}

} // namespace auburnspread::gateway
