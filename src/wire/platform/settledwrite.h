/// \file
/// Writes whose outcome is found out. A reply that is lost or late leaves open whether the write took effect; reading back
/// and, where the key still stands as before, writing again settles it.

#pragma once

#include "wire/platform/backoff.h"
#include "wire/platform/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace auburnspread::platform
{

struct SettledResult {
    Verdict verdict = Verdict::Unknown; ///< Unknown only if the time ran out
    std::optional<Entry> entry;         ///< the key as last read back
    Failure failure;
};

using OnSettled = std::function<void(SettledResult result)>;

struct SettlerOptions {
    Duration limit = std::chrono::seconds(10); ///< for one write with all its repeats
    BackoffOptions backoff;
};

class Settler
{
public:
    Settler(task::EventLoop &loop, Store &store, SettlerOptions options = {});
    /// Ends all writes without calling back. \p store must still live.
    ~Settler();
    Settler(const Settler &) = delete;
    auto operator=(const Settler &) -> Settler & = delete;

    /// Writes if the key's modifyIndex is \p index (0: if it is absent). The value must be unlike any other writer's, for
    /// instance by a nonce, because the value read back tells whose write it was. Conflict may also mean that the write
    /// took effect and another one followed it before it could be read back.
    auto write(const std::string &key, const std::string &value, std::uint64_t index, OnSettled onSettled) -> void;

    /// Takes the key for \p session. If Applied, the modifyIndex of the result's entry is the fencing number.
    auto acquire(const std::string &key, const std::string &value, const std::string &session, OnSettled onSettled) -> void;

private:
    using Id = std::uint64_t;

    struct Work {
        Put put;
        OnSettled onSettled;
        TimePoint deadline;
        Backoff backoff;
        bool mayHaveApplied = false; ///< a reply was lost
        std::optional<Entry> entry;
        Failure failure;
        std::optional<Call> call;
        task::Watch pause;
    };

    auto start(Put put, OnSettled onSettled) -> void;
    auto writeOnce(Id id) -> void;
    auto takeWritten(Id id, const WriteResult &result) -> void;
    auto readBack(Id id) -> void;
    auto takeRead(Id id, const ReadResult &result) -> void;
    auto takeState(Id id, const Snapshot &snapshot) -> void;
    auto repeat(Id id, void (Settler::*step)(Id)) -> void;
    auto finish(Id id, Verdict verdict) -> void;

    task::EventLoop &loop_;
    Store &store_;
    SettlerOptions options_;
    Id lastId_ = 0;
    std::map<Id, Work> works_;
};

} // namespace auburnspread::platform
