/// \file
/// The non-repeatable requests that this entry process ran or is running: a caller's repeat at the same entry is
/// answered from here, without a call to the platform's service.

#pragma once

#include "core/base/reason.h"
#include "core/base/time.h"
#include "core/once/claimkey.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburnspread::once
{

/// The answer of a non-repeatable request, kept for its repeats. A body over the bound is not kept.
struct StoredAnswer {
    int status = 200;
    std::string contentType;
    std::string body;
};

struct ClaimTableOptions {
    std::size_t capacity = 10000;
    std::size_t answerBytes = 4096;           ///< longer bodies are not kept
    Duration keep = std::chrono::minutes(10); ///< of settled claims
};

/// What this entry knows of a key.
enum class Known {
    Nothing,    ///< claim it before the request may run
    InProgress, ///< a request with this key is being claimed or runs here: the repeat is refused as a duplicate
    Settled,    ///< it ran: the stored answer if there is one, else the repeat is refused as a duplicate
};

struct Lookup {
    Known known = Known::Nothing;
    const StoredAnswer *answer = nullptr; ///< of Settled; null: not kept. Valid until the table changes.
};

struct ClaimTable {
    struct Row {
        bool settled = false;
        std::uint64_t generation = 0;
        TimePoint settledAt{};
        std::optional<StoredAnswer> answer;
    };
    struct Expiry {
        ClaimKey key;
        std::uint64_t generation = 0;
    };

    ClaimTableOptions options;
    std::unordered_map<ClaimKey, Row, ClaimKeyHash> rows;
    std::deque<Expiry> settledOrder; ///< oldest first
    std::uint64_t nextGeneration = 1;
};

auto lookup(const ClaimTable &table, const ClaimKey &key, TimePoint now) -> Lookup;

/// Takes the key for one request of this entry. False: it is in progress or settled, and nothing changed.
auto begin(ClaimTable &table, const ClaimKey &key, TimePoint now) -> bool;

/// The request with this key was dispatched and ended, well or not: it counts as run from now on.
auto settle(ClaimTable &table, const ClaimKey &key, std::optional<StoredAnswer> answer, TimePoint now) -> void;

/// The request was refused and provably not run: the key may be used again.
auto abandon(ClaimTable &table, const ClaimKey &key) -> void;

/// Drops settled rows that expired or exceed the capacity; rows in progress are never dropped. A dropped row is still
/// held by its claim in the platform's service, so a later repeat is answered as a duplicate.
auto expire(ClaimTable &table, TimePoint now) -> void;

} // namespace auburnspread::once
