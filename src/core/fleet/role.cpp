#include "core/fleet/role.h"

#include "core/fleet/readers.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace auburnspread::fleet
{

namespace
{

/// An unfit entry is tried again after this time. During an outage of the store, an entry marks about three others a second as unfit, so
/// about ten entries at a time, the highest-ranked ones, read the store.
constexpr Duration UnfitDuration = std::chrono::seconds(3);

/// A seed without an answer of another seed for this long assumes that it started first.
constexpr Duration SeedTimeout = std::chrono::milliseconds(80);
/// Other entries wait longer for the seeds, which have to read the store first. Each adds its own jitter, so that if no seed answers, the
/// first entry that reads the store can answer the others.
constexpr Duration StartupTimeout = std::chrono::milliseconds(700);
constexpr Duration StartupJitter = std::chrono::milliseconds(900);

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

auto isolationTimeoutOf(const RoleOptions &options) -> Duration
{
    if (otherSeeds(options).empty()) {
        return Duration::zero();
    }
    if (isSeed(options)) {
        return SeedTimeout;
    }
    const auto draw = XXH64(options.self.name.data(), options.self.name.size(), 0);
    return StartupTimeout + Duration(static_cast<Duration::rep>(draw % static_cast<std::uint64_t>(StartupJitter.count())));
}

auto isUnfit(const Role &role, const std::string &peerAddress, TimePoint now) -> bool
{
    const auto found = role.unfitUntil.find(peerAddress);
    return found != role.unfitUntil.end() && now < found->second;
}

/// \return whether no other entry has answered for so long that none may be running
auto isIsolated(const Role &role, TimePoint now) -> bool
{
    return role.entries.empty() && now - role.lastAnswerAt.value_or(role.startedAt) >= isolationTimeoutOf(role.options);
}

/// An entry with a stale list queries the others for this long before it reads the store, since they may have a newer list.
constexpr Duration StaleListDelay = std::chrono::milliseconds(40);

auto mayRead(const Role &role, TimePoint now) -> bool
{
    if (role.isLeaving) {
        return false;
    }
    if (role.entries.empty()) {
        return isIsolated(role, now) && (role.registrationsReadAt || isSeed(role.options));
    }
    return !role.entriesAreStale || now - role.startedAt >= StaleListDelay;
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

/// \return the fit candidates, or all if none is fit: during an outage of the store, some entry must keep reading to detect its end
auto fitCandidates(const std::vector<EntryRecord> &candidates, const Role &role, TimePoint now) -> std::vector<EntryRecord>
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

auto markUnfit(Role &role, const std::string &peerAddress, TimePoint now) -> void
{
    auto &until = role.unfitUntil[peerAddress];
    if (now >= until) {
        until = now + UnfitDuration;
    }
}

auto markFit(Role &role, const std::string &peerAddress, TimePoint now) -> void
{
    role.unfitUntil.erase(peerAddress);
    if (peerAddress != role.options.self.peerAddress) {
        role.lastAnswerAt = now;
    }
}

auto computeAssignment(const Role &role, TimePoint now) -> Assignment
{
    Assignment assignment;
    const auto &self = role.options.self.peerAddress;
    const auto candidates = findCandidates(role, now);
    for (const auto &reader : chooseReaders(fitCandidates(candidates, role, now))) {
        if (reader.peerAddress == self) {
            assignment.readsStore = true;
            assignment.isFirstReader = assignment.queryAddresses.empty();
        } else {
            assignment.queryAddresses.push_back(reader.peerAddress);
        }
    }
    assignment.heartbeatAddresses = assignment.queryAddresses;
    for (const auto &first : chooseReaders(candidates)) {
        addAddress(assignment.heartbeatAddresses, first.peerAddress);
    }
    if (role.entries.empty()) {
        const auto seeds = otherSeeds(role.options);
        std::for_each(seeds.begin(), seeds.end(), [&](const std::string &seed) { addAddress(assignment.heartbeatAddresses, seed); });
    }
    std::erase(assignment.heartbeatAddresses, self);
    if (assignment.queryAddresses.empty()) {
        assignment.queryAddresses = otherSeeds(role.options);
    }
    return assignment;
}

auto needsRegistrations(const Role &role, TimePoint now) -> bool
{
    return !isSeed(role.options) && !role.registrationsReadAt && isIsolated(role, now);
}

} // namespace auburnspread::fleet
