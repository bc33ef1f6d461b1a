/// \file
/// The platform's key-value service as the claim protocol sees it: keys, values, indexes, and calls that take effect
/// now, later or never, with or without a reply.

#pragma once

#include "core/once/claimer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnspread::once::tests
{

struct ClaimStore {
    struct Value {
        std::string text;
        std::uint64_t index = 0;
    };
    std::map<std::string, Value> keys;
    std::uint64_t nextIndex = 1;
};

/// All or nothing. Returns the operations whose key exists; empty: committed.
inline auto applyCreate(ClaimStore &store, const CreateCall &call) -> std::vector<std::size_t>
{
    std::vector<std::size_t> conflicts;
    for (std::size_t operation = 0; operation < call.operations.size(); ++operation) {
        if (store.keys.contains(call.operations[operation].path)) {
            conflicts.push_back(operation);
        }
    }
    if (!conflicts.empty()) {
        return conflicts;
    }
    for (const auto &operation : call.operations) {
        store.keys[operation.path] = { .text = operation.value, .index = store.nextIndex++ };
    }
    return {};
}

inline auto applyRead(const ClaimStore &store, const ReadCall &call) -> ReadResult
{
    const auto found = store.keys.find(call.path);
    if (found == store.keys.end()) {
        return { .kind = ReadResult::Kind::Absent };
    }
    return { .kind = ReadResult::Kind::Found, .value = found->second.text, .index = found->second.index };
}

inline auto applyDelete(ClaimStore &store, const DeleteCall &call) -> void
{
    const auto found = store.keys.find(call.path);
    if (found != store.keys.end() && found->second.index == call.index) {
        store.keys.erase(found);
    }
}

} // namespace auburnspread::once::tests
