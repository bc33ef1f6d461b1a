/// \file
/// What is read from and written to the platform's service, and what is known after each call.

#pragma once

#include "wire/http/client.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburnspread::platform
{

/// One key with its value.
struct Entry {
    std::string key;
    std::string value;
    std::uint64_t createIndex = 0;
    std::uint64_t modifyIndex = 0; ///< changes with each write; for compare-and-swap
    std::uint64_t lockIndex = 0;
    std::string session; ///< that holds the key; "" if none
};

/// What one read found. An absent key gives no entry.
struct Snapshot {
    std::vector<Entry> entries;
    std::uint64_t index = 0; ///< of the state read, for waiting on the next
};

enum class VmState {
    Live,
    Leaving,
};

/// A line of the platform's list of VMs. The list lags: Live is no proof of life.
struct Vm {
    std::string name;
    std::string address;
    VmState state = VmState::Live;
};

auto vmStateFromName(std::string_view name) -> std::optional<VmState>;

/// Why a call gave no result.
struct Failure {
    http::Step step = http::Step::Prepare; ///< how far the call came
    int status = 0;                        ///< HTTP status if there was an answer
    std::string peer;
    std::string text; ///< one line for logs
};

/// What is known of a write.
enum class Verdict {
    Applied,
    Conflict,    ///< certainly not applied: the key is not in the expected state
    Unknown,     ///< the reply was lost, late or made no sense: read back before concluding anything
    Unavailable, ///< certainly not applied: the service was not reached or refuses calls over its rate; may be repeated later
    Rejected,    ///< certainly not applied: too large or not valid; repeating cannot help
};

auto verdictName(Verdict verdict) -> std::string_view;

struct WriteResult {
    Verdict verdict = Verdict::Unknown;
    std::vector<std::size_t> conflicts; ///< of a batch: places of the operations that conflict
    Failure failure;                    ///< unless applied
};

using ReadResult = std::variant<Snapshot, Failure>;
using OnRead = std::function<void(ReadResult result)>;
using OnWritten = std::function<void(WriteResult result)>;

/// The calls as the service counts them.
enum class CallKind {
    Get,
    List,
    Wait, ///< a blocking query; the service counts it as one call
    Put,
    Delete,
    Transaction,
    SessionCreate,
    SessionRenew,
    SessionDestroy,
    Vms,
};

auto callKindName(CallKind kind) -> std::string_view;
auto callKindNames() -> std::vector<std::string_view>;

} // namespace auburnspread::platform
