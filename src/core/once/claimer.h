/// \file
/// The claim protocol: a key is created in the platform's service by compare-and-swap before its request is
/// dispatched, so that of all entries exactly one may dispatch it.
///
/// A pure state machine: the adapter carries the returned calls out and reports how they ended. Claims are batched
/// into transactions within a write rate. The value written is a nonce that names this process and the claim; a
/// write whose reply was lost is settled by reading the key back and comparing the nonce.

#pragma once

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/once/claimkey.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace auburnspread::once
{

struct ClaimerOptions {
    std::string entry;
    std::uint64_t incarnation = 0;                           ///< differs after each start of the process
    std::size_t batchSize = 64;                              ///< the service's bound on operations of one transaction
    Duration batchInterval = std::chrono::milliseconds(20);  ///< least time between two transactions: the write rate
    Duration giveUp = std::chrono::seconds(2);               ///< a claim not settled by then is unavailable
    Duration retryInterval = std::chrono::milliseconds(100); ///< between tries of the same claim
    Duration cleanUpTime = std::chrono::minutes(5);          ///< a claim that was given up is cleaned up for this long
    std::size_t cleanUpCapacity = 1000;
    std::size_t heldCapacity = 10000; ///< claims won last that can still be released
    std::size_t callsUnderWay = 8;    ///< transactions, and as many reads, without a reply
};

enum class CallId : std::uint64_t {};

/// One transaction of creates: each operation is a compare-and-swap on index 0 (the key must not exist).
struct CreateCall {
    struct Operation {
        std::string path;
        std::string value;
    };
    CallId call{};
    std::vector<Operation> operations;
};

struct ReadCall {
    CallId call{};
    std::string path;
};

/// Deletes the key if its index is still \c index: a claim of ours whose request was not run.
struct DeleteCall {
    CallId call{};
    std::string path;
    std::uint64_t index = 0;
};

/// The claim is decided. Every submitted claim gets exactly one of these.
struct ClaimDecision {
    enum class Result {
        Claimed,     ///< this entry may dispatch the request, once
        Duplicate,   ///< another request holds the key
        Unavailable, ///< not known; the request must not be dispatched
    };
    RequestId request{};
    Result result = Result::Unavailable;
};

using ClaimerAction = std::variant<CreateCall, ReadCall, DeleteCall, ClaimDecision>;
using ClaimerActions = std::vector<ClaimerAction>;

enum class CreateResult {
    Committed,  ///< all operations took effect
    Conflict,   ///< none took effect; \c conflicts names operations whose key exists
    NotApplied, ///< none took effect and none will: refused, or no connection was made
    Unknown,    ///< the reply was lost: it may have taken effect, or still will
};

/// How a ReadCall ended.
struct ReadResult {
    enum class Kind {
        Found,
        Absent,
        Failed,
    };
    Kind kind = Kind::Failed;
    std::string value;
    std::uint64_t index = 0; ///< the key's ModifyIndex
};

namespace detail
{

enum class ClaimStep {
    Queued,   ///< waits for a transaction
    Writing,  ///< in a transaction under way
    Doubtful, ///< a write's reply was lost, or the claim is to be given back: waits to be read back
    Reading,
    Condemned, ///< read back as ours and to be given back: waits to be deleted
    Deleting,
};

struct Claim {
    std::optional<RequestId> request; ///< absent: refused meanwhile, the claim is only cleaned up
    std::string nonce;
    ClaimStep step = ClaimStep::Queued;
    bool mayBeWritten = false; ///< a write with this nonce may have taken effect
    bool giveBack = false;     ///< nobody waits for it: if the key holds this nonce, it is to be deleted
    bool deleteSent = false;   ///< a delete of this nonce may take effect at any time: it can never be relied on again
    bool alone = false;        ///< not batched: the transaction it was in failed without naming the operation
    std::uint64_t index = 0;   ///< of the key, as read back
    TimePoint submittedAt{};
    TimePoint notBefore{};
};

/// A claim as calls under way know it: the reply of a call for a nonce that was given up says nothing about the next
/// claim of the same key.
struct ClaimReference {
    std::string path;
    std::string nonce;
};

} // namespace detail

struct Claimer {
    ClaimerOptions options;
    std::uint64_t nextNonce = 1;
    std::uint64_t nextCall = 1;
    TimePoint nextBatchAt{};
    std::map<std::string, detail::Claim> claims;                            ///< undecided ones, by path
    std::unordered_map<CallId, std::vector<detail::ClaimReference>> writes; ///< transactions under way
    std::unordered_map<CallId, detail::ClaimReference> reads;
    std::unordered_map<CallId, detail::ClaimReference> deletes;
    std::deque<detail::ClaimReference> held; ///< claims won, for their release; oldest first
};

/// Asks for a key. A key that is being claimed here already is a duplicate.
auto submit(Claimer &claimer, RequestId request, const ClaimKey &key, TimePoint now) -> ClaimerActions;

/// The request was refused and provably not run although it may hold the claim: the key is given free, so that the
/// caller's repeat may run.
auto release(Claimer &claimer, const ClaimKey &key, TimePoint now) -> ClaimerActions;

/// \p conflicts: indexes of the call's operations.
auto noteCreated(Claimer &claimer, CallId call, CreateResult result, const std::vector<std::size_t> &conflicts, TimePoint now) -> ClaimerActions;
auto noteRead(Claimer &claimer, CallId call, const ReadResult &result, TimePoint now) -> ClaimerActions;
/// \p settled: the service answered, whether or not the key was deleted.
auto noteDeleted(Claimer &claimer, CallId call, bool settled, TimePoint now) -> ClaimerActions;

/// Sends what waits, gives up what is late. Call it at least every batch interval while busy() is true.
auto advance(Claimer &claimer, TimePoint now) -> ClaimerActions;
auto isBusy(const Claimer &claimer) -> bool;

} // namespace auburnspread::once
