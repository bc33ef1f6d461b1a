#include "core/once/claimtable.h"

#include <utility>

namespace auburnspread::once
{

auto lookup(const ClaimTable &table, const ClaimKey &key, TimePoint now) -> Lookup
{
    const auto found = table.rows.find(key);
    if (found == table.rows.end()) {
        return {};
    }
    const auto &row = found->second;
    if (!row.settled) {
        return { .known = Known::InProgress, .answer = nullptr };
    }
    if (now - row.settledAt >= table.options.keep) {
        return {};
    }
    return { .known = Known::Settled, .answer = row.answer ? &*row.answer : nullptr };
}

auto begin(ClaimTable &table, const ClaimKey &key, TimePoint now) -> bool
{
    if (lookup(table, key, now).known != Known::Nothing) {
        return false;
    }
    table.rows[key] = { .settled = false, .generation = table.nextGeneration++, .settledAt = {}, .answer = {} };
    return true;
}

auto settle(ClaimTable &table, const ClaimKey &key, std::optional<StoredAnswer> answer, TimePoint now) -> void
{
    const auto found = table.rows.find(key);
    if (found == table.rows.end()) {
        return;
    }
    auto &row = found->second;
    if (!row.answer && answer && answer->body.size() <= table.options.answerBytes) {
        row.answer = std::move(answer);
    }
    if (std::exchange(row.settled, true)) {
        return;
    }
    row.settledAt = now;
    table.settledOrder.push_back({ .key = key, .generation = row.generation });
    expire(table, now);
}

auto abandon(ClaimTable &table, const ClaimKey &key) -> void
{
    const auto found = table.rows.find(key);
    if (found != table.rows.end() && !found->second.settled) {
        table.rows.erase(found);
    }
}

auto expire(ClaimTable &table, TimePoint now) -> void
{
    while (!table.settledOrder.empty()) {
        const auto &oldest = table.settledOrder.front();
        const auto found = table.rows.find(oldest.key);
        const bool stands = found != table.rows.end() && found->second.generation == oldest.generation;
        const bool expired = stands && now - found->second.settledAt >= table.options.keep;
        if (stands && !expired && table.settledOrder.size() <= table.options.capacity) {
            return;
        }
        if (stands) {
            table.rows.erase(found);
        }
        table.settledOrder.pop_front();
    }
}

} // namespace auburnspread::once
