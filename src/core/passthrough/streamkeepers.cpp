#include "core/passthrough/streamkeepers.h"

#include <xxhash.h>

#include <algorithm>

namespace auburnspread::passthrough
{

auto chooseKeepers(const std::vector<KeeperCandidate> &entries, StreamId stream, std::size_t count) -> std::vector<std::string>
{
    struct Ranked {
        std::uint64_t score = 0;
        const KeeperCandidate *entry = nullptr;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(entries.size());
    for (const auto &entry : entries) {
        ranked.push_back({ .score = XXH64(&entry.hash, sizeof entry.hash, static_cast<std::uint64_t>(stream)), .entry = &entry });
    }
    const auto isBefore = [](const Ranked &a, const Ranked &b) { return a.score > b.score; };
    std::sort(ranked.begin(), ranked.end(), isBefore);
    if (!ranked.empty()) {
        const auto &domain = ranked.front().entry->failureDomain;
        const auto other = std::find_if(ranked.begin(), ranked.end(), [&domain](const Ranked &each) { return each.entry->failureDomain != domain; });
        if (other != ranked.end()) {
            std::rotate(ranked.begin() + 1, other, other + 1);
        }
    }
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        names.push_back(ranked[i].entry->name);
    }
    return names;
}

} // namespace auburnspread::passthrough
