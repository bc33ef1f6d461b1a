#include "standins/platform/store.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace auburnspread::standins
{

namespace
{

auto markChanged(Store &store, const std::string &key) -> void
{
    store.lastChanges[key] = store.index;
    store.changedKeys.push_back(key);
}

auto matchesIndex(const Store &store, std::string_view key, std::uint64_t index) -> bool
{
    const auto *stored = findValue(store, key);
    return index == 0 ? stored == nullptr : stored != nullptr && stored->modifyIndex == index;
}

auto writeValue(Store &store, const std::string &key, const std::string &value) -> StoredValue &
{
    auto &stored = store.values[key];
    if (stored.createIndex == 0) {
        stored.createIndex = store.index;
    }
    stored.value = value;
    stored.modifyIndex = store.index;
    markChanged(store, key);
    return stored;
}

auto holderOf(const Store &store, const std::string &key) -> std::string
{
    const auto *stored = findValue(store, key);
    return stored == nullptr ? std::string() : stored->session;
}

auto mayPut(const Store &store, const std::string &key, const PutOptions &options) -> bool
{
    if (options.cas && !matchesIndex(store, key, *options.cas)) {
        return false;
    }
    const auto holder = holderOf(store, key);
    if (options.acquire) {
        if (!store.sessions.contains(*options.acquire)) {
            throw std::invalid_argument("invalid session " + *options.acquire);
        }
        return holder.empty() || holder == *options.acquire;
    }
    return !options.release || (!holder.empty() && holder == *options.release);
}

auto keysOf(const Store &store, const std::string &session) -> std::vector<std::string>
{
    std::vector<std::string> keys;
    for (const auto &[key, stored] : store.values) {
        if (stored.session == session) {
            keys.push_back(key);
        }
    }
    return keys;
}

/// The form of a UUID, in the order of creation.
auto sessionId(std::uint64_t number) -> std::string
{
    constexpr std::size_t TextSize = 37;
    std::string text(TextSize, '\0');
    std::snprintf(text.data(), text.size(), "00000000-0000-4000-8000-%012llx", static_cast<unsigned long long>(number));
    text.pop_back();
    return text;
}

} // namespace

auto findValue(const Store &store, std::string_view key) -> const StoredValue *
{
    const auto found = store.values.find(key);
    return found == store.values.end() ? nullptr : &found->second;
}

auto putValue(Store &store, const std::string &key, const std::string &value, const PutOptions &options) -> bool
{
    if (!mayPut(store, key, options)) {
        return false;
    }
    ++store.index;
    auto &stored = writeValue(store, key, value);
    stored.flags = options.flags;
    if (options.acquire && stored.session.empty()) {
        stored.session = *options.acquire;
        ++stored.lockIndex;
    }
    if (options.release) {
        stored.session.clear();
    }
    return true;
}

auto deleteValue(Store &store, const std::string &key, std::optional<std::uint64_t> cas) -> bool
{
    const auto *stored = findValue(store, key);
    if (cas && (stored == nullptr || stored->modifyIndex != *cas)) {
        return false;
    }
    if (stored == nullptr) {
        return true;
    }
    ++store.index;
    store.values.erase(key);
    markChanged(store, key);
    return true;
}

auto runTransaction(Store &store, const std::vector<CasOperation> &operations) -> std::vector<std::size_t>
{
    std::vector<std::size_t> failed;
    for (std::size_t position = 0; position < operations.size(); ++position) {
        if (!matchesIndex(store, operations[position].key, operations[position].index)) {
            failed.push_back(position);
        }
    }
    if (!failed.empty() || operations.empty()) {
        return failed;
    }
    ++store.index;
    for (const auto &operation : operations) {
        writeValue(store, operation.key, operation.value);
    }
    return failed;
}

auto createSession(Store &store, Session session, TimePoint now) -> std::string
{
    ++store.index;
    auto id = sessionId(++store.sessionsCreated);
    session.expires = now + session.ttl;
    store.sessions.emplace(id, std::move(session));
    return id;
}

auto renewSession(Store &store, const std::string &id, TimePoint now) -> const Session *
{
    const auto found = store.sessions.find(id);
    if (found == store.sessions.end()) {
        return nullptr;
    }
    found->second.expires = now + found->second.ttl;
    return &found->second;
}

auto endSession(Store &store, const std::string &id) -> bool
{
    const auto found = store.sessions.find(id);
    if (found == store.sessions.end()) {
        return false;
    }
    const bool deletesKeys = found->second.deletesKeys;
    store.sessions.erase(found);
    ++store.index;
    for (const auto &key : keysOf(store, id)) {
        if (deletesKeys) {
            store.values.erase(key);
        } else {
            auto &stored = store.values[key];
            stored.session.clear();
            stored.modifyIndex = store.index;
        }
        markChanged(store, key);
    }
    return true;
}

auto expireSessions(Store &store, TimePoint now) -> void
{
    std::vector<std::string> expired;
    for (const auto &[id, session] : store.sessions) {
        if (session.ttl > Duration::zero() && session.expires <= now) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        endSession(store, id);
    }
}

auto indexOfKey(const Store &store, std::string_view key) -> std::uint64_t
{
    const auto found = store.lastChanges.find(key);
    return found == store.lastChanges.end() ? 1 : found->second;
}

auto indexOfPrefix(const Store &store, std::string_view prefix) -> std::uint64_t
{
    std::uint64_t index = 1;
    for (auto change = store.lastChanges.lower_bound(prefix); change != store.lastChanges.end() && change->first.starts_with(prefix); ++change) {
        index = std::max(index, change->second);
    }
    return index;
}

auto takeChangedKeys(Store &store) -> std::vector<std::string>
{
    return std::exchange(store.changedKeys, {});
}

} // namespace auburnspread::standins
