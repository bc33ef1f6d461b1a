#include "gateway/serverchanges.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace auburnspread::gateway
{

namespace
{

using passthrough::Server;

/// Servers and ids kept in a log. An entry whose list is further behind gets the whole list.
constexpr std::size_t MaxLoggedRecords = 512;

auto countRecords(const ServerChanges &changes) -> std::size_t
{
    return changes.changed.size() + changes.removed.size();
}

auto isSameRecord(const Server &one, const Server &other) -> bool
{
    return one.id == other.id && one.service == other.service && one.address == other.address && one.failureDomain == other.failureDomain
        && one.slots == other.slots && one.isLeaving == other.isLeaving && one.isPreemptible == other.isPreemptible && one.startedAt == other.startedAt
        && one.version == other.version;
}

auto hashText(std::uint64_t hash, std::string_view text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), hash);
}

auto hashNumber(std::uint64_t hash, std::int64_t number) -> std::uint64_t
{
    return XXH64(&number, sizeof number, hash);
}

auto hashOf(const Server &server) -> std::uint64_t
{
    std::uint64_t hash = 0;
    for (const auto *text : { &server.id, &server.service, &server.address, &server.failureDomain, &server.version.name }) {
        hash = hashText(hash, *text);
    }
    for (const auto number :
         { std::int64_t{ server.slots }, std::int64_t{ server.isLeaving ? 1 : 0 }, std::int64_t{ server.isPreemptible ? 1 : 0 }, server.startedAt }) {
        hash = hashNumber(hash, number);
    }
    return hash;
}

} // namespace

auto sortServers(ServerRecords &servers) -> void
{
    const auto isBefore = [](const Server &a, const Server &b) { return a.id < b.id; };
    if (!std::is_sorted(servers.begin(), servers.end(), isBefore)) {
        std::sort(servers.begin(), servers.end(), isBefore);
    }
}

auto diffServers(const ServerRecords &before, const ServerRecords &after) -> ServerChanges
{
    ServerChanges changes;
    auto old = before.begin();
    for (const auto &server : after) {
        for (; old != before.end() && old->id < server.id; ++old) {
            changes.removed.push_back(old->id);
        }
        const auto isKnown = old != before.end() && old->id == server.id;
        if (!isKnown || !isSameRecord(*old, server)) {
            changes.changed.push_back(server);
        }
        if (isKnown) {
            ++old;
        }
    }
    for (; old != before.end(); ++old) {
        changes.removed.push_back(old->id);
    }
    return changes;
}

namespace
{

auto findPosition(const ServerRecords &servers, std::string_view id)
{
    return std::lower_bound(servers.begin(), servers.end(), id, [](const Server &server, std::string_view wanted) { return server.id < wanted; });
}

auto hashOrZero(const ServerRecords &servers, std::string_view id) -> std::uint64_t
{
    const auto position = findPosition(servers, id);
    return position != servers.end() && position->id == id ? hashOf(*position) : 0;
}

} // namespace

auto applyChanges(ServerRecords &servers, const ServerChanges &changes) -> void
{
    for (const auto &id : changes.removed) {
        const auto position = findPosition(servers, id);
        if (position != servers.end() && position->id == id) {
            servers.erase(position);
        }
    }
    for (const auto &server : changes.changed) {
        const auto position = findPosition(servers, server.id);
        if (position != servers.end() && position->id == server.id) {
            servers[static_cast<std::size_t>(position - servers.begin())] = server;
        } else {
            servers.insert(position, server);
        }
    }
}

auto tagAfter(const ServerRecords &servers, std::uint64_t tag, const ServerChanges &changes) -> std::uint64_t
{
    for (const auto &id : changes.removed) {
        tag -= hashOrZero(servers, id);
    }
    for (const auto &server : changes.changed) {
        tag += hashOf(server) - hashOrZero(servers, server.id);
    }
    return tag;
}

auto isEmpty(const ServerChanges &changes) -> bool
{
    return changes.changed.empty() && changes.removed.empty();
}

auto tagOf(const ServerRecords &servers) -> std::uint64_t
{
    std::uint64_t tag = 1;
    for (const auto &server : servers) {
        tag += hashOf(server);
    }
    return tag;
}

auto appendChanges(ChangeLog &log, std::uint64_t before, const ServerChanges &changes) -> void
{
    log.steps.push_back({ .before = before, .changes = changes });
    log.records += countRecords(changes);
    while (!log.steps.empty() && log.records > MaxLoggedRecords) {
        log.records -= countRecords(log.steps.front().changes);
        log.steps.pop_front();
    }
}

auto changesSince(const ChangeLog &log, std::uint64_t tag) -> std::optional<ServerChanges>
{
    if (tag == 0) {
        return std::nullopt; // the querying entry has no list
    }
    // the list may have returned to an earlier state, so the latest occurrence of the tag counts
    const auto last = std::find_if(log.steps.rbegin(), log.steps.rend(), [tag](const ChangeLog::Step &step) { return step.before == tag; });
    if (last == log.steps.rend()) {
        return std::nullopt;
    }
    std::map<std::string, std::optional<Server>> merged;
    for (auto step = std::prev(last.base()); step != log.steps.end(); ++step) {
        for (const auto &id : step->changes.removed) {
            merged[id] = std::nullopt;
        }
        for (const auto &server : step->changes.changed) {
            merged[server.id] = server;
        }
    }
    ServerChanges changes;
    for (auto &[id, server] : merged) {
        if (server) {
            changes.changed.push_back(std::move(*server));
        } else {
            changes.removed.push_back(id);
        }
    }
    return changes;
}

} // namespace auburnspread::gateway
