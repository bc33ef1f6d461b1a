#include "core/fleet/role.h"

#include "core/fleet/readers.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburnspread::fleet
{

namespace
{

/// An unfit entry is tried again after this time. While the store is away an entry finds another one unfit some three times a second,
/// so about ten entries at a time, the first in rank, try the store.
constexpr Duration UnfitTime = std::chrono::seconds(3);

/// A seed that hears nothing from the other seeds for this long is the first to start.
constexpr Duration SeedPatience = std::chrono::milliseconds(80);
/// Other entries wait longer for an answer of the seeds, which have to read the store first, and each for a time of its own, so that
/// where no seed answers the first of them can tell the rest.
constexpr Duration StartPatience = std::chrono::milliseconds(700);
constexpr Duration StartSpread = std::chrono::milliseconds(900);

auto isSeed(const RoleOptions &options) -> bool
{
    return std::find(options.seeds.begin(), options.seeds.end(), options.self.peerAddress) != options.seeds.end();
}

auto otherSeeds(const RoleOptions &options) -> std::vector<std::string>
{
    auto seeds = options.seeds;
    std::erase(seeds, options.self.peerAddress);
    return seeds;
}

auto patienceOf(const RoleOptions &options) -> Duration
{
    if (otherSeeds(options).empty()) {
        return Duration::zero();
    }
    if (isSeed(options)) {
        return SeedPatience;
    }
    const auto draw = XXH64(options.self.name.data(), options.self.name.size(), 0);
    return StartPatience + Duration(static_cast<Duration::rep>(draw % static_cast<std::uint64_t>(StartSpread.count())));
}

auto isUnfit(const Role &role, const std::string &peerAddress, TimePoint now) -> bool
{
    const auto found = role.unfitUntil.find(peerAddress);
    return found != role.unfitUntil.end() && now < found->second;
}

/// Without word of others for so long that they may be gone, or not there yet.
auto isAlone(const Role &role, TimePoint now) -> bool
{
    return role.entries.empty() && now - role.answeredAt.value_or(role.startedAt) >= patienceOf(role.options);
}

/// With a list from before, an entry asks first: the others may know better who is there.
constexpr Duration RememberedPatience = std::chrono::milliseconds(40);

auto mayRead(const Role &role, TimePoint now) -> bool
{
    if (role.isLeaving) {
        return false;
    }
    if (role.entries.empty()) {
        return isAlone(role, now) && (role.registrationsAt || isSeed(role.options));
    }
    return !role.entriesAreOld || now - role.startedAt >= RememberedPatience;
}

auto addCandidates(std::vector<EntryRecord> &candidates, const std::vector<EntryRecord> &entries) -> void
{
    for (const auto &entry : entries) {
        const auto isSame = [&entry](const EntryRecord &known) { return known.name == entry.name; };
        if (std::none_of(candidates.begin(), candidates.end(), isSame)) {
            candidates.push_back(entry);
        }
    }
}

auto findCandidates(const Role &role, TimePoint now) -> std::vector<EntryRecord>
{
    auto candidates = role.entries;
    addCandidates(candidates, role.registered);
    const auto &self = role.options.self;
    std::erase_if(candidates, [&self](const EntryRecord &entry) { return entry.name == self.name; });
    if (mayRead(role, now)) {
        candidates.push_back(self);
    }
    return candidates;
}

/// Where none is fit, all are: the store is away for all of them, and somebody has to notice that it is back.
auto keepFit(const std::vector<EntryRecord> &candidates, const Role &role, TimePoint now) -> std::vector<EntryRecord>
{
    auto fit = candidates;
    std::erase_if(fit, [&](const EntryRecord &entry) { return isUnfit(role, entry.peerAddress, now); });
    return fit.empty() ? candidates : fit;
}

auto addAddress(std::vector<std::string> &addresses, const std::string &address) -> void
{
    if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
        addresses.push_back(address);
    }
}

} // namespace

auto makeRole(RoleOptions options, TimePoint now) -> Role
{
    std::erase(options.seeds, std::string());
    return { .options = std::move(options), .startedAt = now };
}

auto noteUnfit(Role &role, const std::string &peerAddress, TimePoint now) -> void
{
    auto &until = role.unfitUntil[peerAddress];
    if (now >= until) {
        until = now + UnfitTime;
    }
}

auto noteFit(Role &role, const std::string &peerAddress, TimePoint now) -> void
{
    role.unfitUntil.erase(peerAddress);
    if (peerAddress != role.options.self.peerAddress) {
        role.answeredAt = now;
    }
}

auto assign(const Role &role, TimePoint now) -> Assignment
{
    Assignment assignment;
    const auto &self = role.options.self.peerAddress;
    const auto candidates = findCandidates(role, now);
    for (const auto &reader : chooseReaders(keepFit(candidates, role, now))) {
        if (reader.peerAddress == self) {
            assignment.reads = true;
            assignment.isFirst = assignment.ask.empty();
        } else {
            assignment.ask.push_back(reader.peerAddress);
        }
    }
    assignment.heartbeatsTo = assignment.ask;
    for (const auto &first : chooseReaders(candidates)) {
        addAddress(assignment.heartbeatsTo, first.peerAddress);
    }
    if (role.entries.empty()) {
        const auto seeds = otherSeeds(role.options);
        std::for_each(seeds.begin(), seeds.end(), [&](const std::string &seed) { addAddress(assignment.heartbeatsTo, seed); });
    }
    std::erase(assignment.heartbeatsTo, self);
    if (assignment.ask.empty()) {
        assignment.ask = otherSeeds(role.options);
    }
    return assignment;
}

auto needsRegistrations(const Role &role, TimePoint now) -> bool
{
    return !isSeed(role.options) && !role.registrationsAt && isAlone(role, now);
}

} // namespace auburnspread::fleet
