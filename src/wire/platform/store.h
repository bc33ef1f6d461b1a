/// \file
/// The platform's key-value service, asynchronous on one event loop. Another service takes its place by a class with these
/// functions; nothing else in the project knows the calls.

#pragma once

#include "wire/platform/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnspread::platform
{

/// How a call ended, for counters.
enum class CallOutcome {
    Answered,
    Limited, ///< over the service's rate
    Failed,
};

auto callOutcomeName(CallOutcome outcome) -> std::string_view;

struct StoreOptions {
    std::string address;                                            ///< IP number and port
    Duration timeout = std::chrono::seconds(3);                     ///< of a write; of a read, without a byte of its answer
    std::function<void(CallKind kind, CallOutcome outcome)> onCall; ///< for metrics
};

/// A key to be created in a batch.
struct Creation {
    std::string key;
    std::string value;
};

/// One write of one key.
struct Put {
    std::string key;
    std::string value;
    std::optional<std::uint64_t> index; ///< only if the key's modifyIndex is this; 0: only if it is absent
    std::string acquire;                ///< session that takes the key, if no other holds it
    std::string release;                ///< session that gives the key up
};

/// Waiting for a change: the answer comes when the state is newer than \p index, or after \p wait.
struct Waiting {
    std::uint64_t index = 0;
    Duration wait = std::chrono::seconds(10);
};

/// What is known of a session.
enum class SessionState {
    Live,
    Gone,    ///< ended or expired; its keys are free
    Unknown, ///< the service did not say
};

struct SessionResult {
    SessionState state = SessionState::Unknown;
    std::string id; ///< if live
    Failure failure;
};

/// The VM list and the index of its state.
struct VmList {
    std::vector<Vm> vms;
    std::uint64_t index = 0;
};

using VmResult = std::variant<VmList, Failure>;
using OnSession = std::function<void(SessionResult result)>;
using OnVms = std::function<void(VmResult result)>;
using Call = http::Handle;

class Store
{
public:
    static constexpr std::size_t MostCreations = 64; ///< in one batch

    /// Calls back on \p loop only, never from within the functions below.
    Store(task::EventLoop &loop, StoreOptions options);

    auto get(const std::string &key, OnRead onRead) -> Call;
    /// Every key that begins with \p prefix.
    auto list(const std::string &prefix, OnRead onRead) -> Call;
    /// As get() or, if \p isPrefix, list(), once something changed.
    auto wait(const std::string &key, bool isPrefix, const Waiting &waiting, OnRead onRead) -> Call;

    auto put(const Put &put, OnWritten onWritten) -> Call;
    auto create(const std::string &key, const std::string &value, OnWritten onWritten) -> Call;
    /// All or none. Throws std::invalid_argument for more than MostCreations.
    auto createAll(const std::vector<Creation> &creations, OnWritten onWritten) -> Call;
    auto remove(const std::string &key, std::optional<std::uint64_t> index, OnWritten onWritten) -> Call;

    /// The service ends the session, and deletes the keys that it holds, some time after \p lifetime without a renewal.
    auto createSession(const std::string &name, Duration lifetime, OnSession onSession) -> Call;
    auto renewSession(const std::string &id, OnSession onSession) -> Call;
    auto destroySession(const std::string &id, OnWritten onWritten) -> Call;

    auto listVms(const std::optional<Waiting> &waiting, OnVms onVms) -> Call;

    /// The call's callback will not be called. A write may have been applied all the same.
    auto cancel(Call call) -> void;

private:
    auto send(CallKind kind, http::Request request, std::function<void(http::Result)> onDone) -> Call;
    auto read(CallKind kind, const std::string &path, Duration silence, OnRead onRead) -> Call;
    auto write(CallKind kind, http::Request request, OnWritten onWritten) -> Call;
    [[nodiscard]] auto silenceOf(const Waiting &waiting) const -> Duration;

    StoreOptions options_;
    http::Client client_;
};

} // namespace auburnspread::platform
