/// \file
/// Keys, values and sessions with the published semantics of Consul's key-value store. Every change raises one index.
/// Pure: time is an argument. Lock delays are not modelled.

#pragma once

#include "core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnspread::standins
{

struct StoredValue {
    std::string value;
    std::uint64_t createIndex = 0;
    std::uint64_t modifyIndex = 0;
    std::uint64_t lockIndex = 0; ///< how often the key was acquired
    std::string session;         ///< the holder; empty: nobody
    std::uint64_t flags = 0;
};

struct Session {
    std::string name;
    std::string ttlText;
    Duration ttl{}; ///< zero: never expires
    bool deletesKeys = false;
    TimePoint expires{};
};

struct Store {
    std::uint64_t index = 1;
    std::map<std::string, StoredValue, std::less<>> values;
    std::map<std::string, std::uint64_t, std::less<>> lastChanges; ///< index of each key's latest change, its deletion included
    std::map<std::string, Session, std::less<>> sessions;
    std::uint64_t sessionsCreated = 0;
    std::vector<std::string> changedKeys; ///< since they were last taken
};

struct PutOptions {
    std::optional<std::uint64_t> cas; ///< only if this is the key's ModifyIndex; 0: only if the key is absent
    std::optional<std::string> acquire;
    std::optional<std::string> release;
    std::uint64_t flags = 0;
};

/// One operation of a transaction.
struct CasOperation {
    std::string key;
    std::string value;
    std::uint64_t index = 0;
};

auto findValue(const Store &store, std::string_view key) -> const StoredValue *;

/// Whether the value was written. \throws std::invalid_argument if the session to acquire with does not exist.
auto putValue(Store &store, const std::string &key, const std::string &value, const PutOptions &options) -> bool;
auto deleteValue(Store &store, const std::string &key, std::optional<std::uint64_t> cas) -> bool;

/// Applies all operations or none. Gives the positions of those that failed.
auto runTransaction(Store &store, const std::vector<CasOperation> &operations) -> std::vector<std::size_t>;

/// Gives the new session's identifier.
auto createSession(Store &store, Session session, TimePoint now) -> std::string;
auto renewSession(Store &store, const std::string &id, TimePoint now) -> const Session *;
/// Ends a session: its keys are deleted or released.
auto endSession(Store &store, const std::string &id) -> bool;
/// Ends every session whose time to live is over.
auto expireSessions(Store &store, TimePoint now) -> void;

/// What a reader of the key, or of all keys that begin with it, has to pass to wait for the next change.
auto indexOfKey(const Store &store, std::string_view key) -> std::uint64_t;
auto indexOfPrefix(const Store &store, std::string_view prefix) -> std::uint64_t;

auto takeChangedKeys(Store &store) -> std::vector<std::string>;

} // namespace auburnspread::standins
