#include "wire/peer/internal/nameindex.h"

#include <algorithm>
#include <utility>

namespace auburnspread::peer::detail
{

namespace
{

constexpr std::size_t NamesPerMessage = 256;

} // namespace

auto NameIndex::toIndexed(const routing::PeerReported &report) -> std::optional<IndexedReport>
{
    auto indexed = tryIndex(report);
    if (names_.size() > MaxListEntries) {
        numbers_.clear();
        names_.clear();
        announced_ = 0;
        indexed = tryIndex(report);
    }
    if (names_.size() > MaxListEntries) {
        numbers_.clear();
        names_.clear();
        announced_ = 0;
        return std::nullopt;
    }
    return indexed;
}

auto NameIndex::tryIndex(const routing::PeerReported &report) -> IndexedReport
{
    IndexedReport indexed;
    for (const auto &use : report.backends) {
        indexed.backends.push_back({ .name = numberOf(use.backend), .inFlight = use.inFlight });
    }
    for (const auto &model : report.demand) {
        indexed.demand.push_back({ .name = numberOf(model.model), .waiting = model.waiting, .inFlight = model.inFlight });
    }
    for (const auto &use : report.workspaces) {
        indexed.workspaces.push_back({ .name = numberOf(use.workspace), .requests = use.requests, .tokens = use.tokens, .inFlight = use.inFlight });
    }
    return indexed;
}

auto NameIndex::numberOf(const std::string &name) -> std::uint32_t
{
    const auto [found, isNew] = numbers_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
    if (isNew) {
        names_.push_back(name);
    }
    return found->second;
}

auto NameIndex::takeNew() -> std::vector<Names>
{
    auto messages = listFrom(announced_);
    announced_ = names_.size();
    return messages;
}

auto NameIndex::listAll() const -> std::vector<Names>
{
    return listFrom(0);
}

auto NameIndex::listFrom(std::size_t first) const -> std::vector<Names>
{
    std::vector<Names> messages;
    while (first < names_.size()) {
        const auto count = std::min(NamesPerMessage, names_.size() - first);
        const auto begin = names_.begin() + static_cast<std::ptrdiff_t>(first);
        messages.push_back({ .first = static_cast<std::uint32_t>(first), .names = { begin, begin + static_cast<std::ptrdiff_t>(count) } });
        first += count;
    }
    return messages;
}

auto learnNames(std::vector<std::string> &known, const Names &names) -> bool
{
    if (names.first == 0) {
        known.clear();
    }
    if (names.first != known.size() || names.names.size() > MaxListEntries - known.size()) {
        return false;
    }
    known.insert(known.end(), names.names.begin(), names.names.end());
    return true;
}

auto toNamed(const IndexedReport &report, const std::vector<std::string> &known) -> Report
{
    Report named;
    for (const auto &use : report.backends) {
        if (use.name < known.size()) {
            named.report.backends.push_back({ .backend = known[use.name], .inFlight = use.inFlight });
        }
    }
    for (const auto &model : report.demand) {
        if (model.name < known.size()) {
            named.report.demand.push_back({ .model = known[model.name], .waiting = model.waiting, .inFlight = model.inFlight });
        }
    }
    for (const auto &use : report.workspaces) {
        if (use.name < known.size()) {
            named.report.workspaces.push_back({ .workspace = known[use.name], .requests = use.requests, .tokens = use.tokens, .inFlight = use.inFlight });
        }
    }
    return named;
}

} // namespace auburnspread::peer::detail
