#include "core/membership/tests/fakenetwork.h"

#include <algorithm>
#include <utility>

namespace auburnspread::membership::testing
{

namespace
{

constexpr Duration TickInterval = std::chrono::seconds(1);
constexpr Duration Silence = std::chrono::seconds(3);

template <typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

auto FakeNetwork::start(const std::string &name,
                        const std::string &failureDomain,
                        std::uint64_t incarnation,
                        const std::vector<std::string> &seeds,
                        const std::string &host) -> FakeEntry &
{
    const auto ownHost = host.empty() ? name : host;
    MembershipOptions options{
        .self = { .name = name,
                  .callerAddress = ownHost + ":1",
                  .peerAddress = ownHost + ":2",
                  .adminAddress = ownHost + ":3",
                  .failureDomain = failureDomain,
                  .region = region,
                  .incarnation = incarnation },
        .seeds = seeds,
        .seed = incarnation,
    };
    auto &entry = entries_[name];
    entry = FakeEntry{ .state = makeMembership(options), .address = options.self.peerAddress };
    send(name, ReadinessChanged{ true });
    return entry;
}

auto FakeNetwork::kill(const std::string &name) -> void
{
    const auto links = entries_.at(name).links;
    entries_.erase(name);
    for (const auto &[peer, heard] : links) {
        entries_.at(peer).links.erase(name);
        send(peer, LinkClosed{ .name = name, .end = LinkEnd::Closed });
    }
}

auto FakeNetwork::pause(const std::string &name) -> void
{
    entries_.at(name).paused = true;
}

auto FakeNetwork::resume(const std::string &name) -> void
{
    auto &entry = entries_.at(name);
    entry.paused = false;
    for (const auto &event : std::exchange(entry.held, {})) {
        send(name, event);
    }
}

auto FakeNetwork::cut(const std::set<std::string> &someEntries, const std::set<std::string> &others) -> void
{
    for (const auto &a : someEntries) {
        for (const auto &b : others) {
            cuts_.insert({ a, b });
            cuts_.insert({ b, a });
        }
    }
}

auto FakeNetwork::heal() -> void
{
    cuts_.clear();
}

auto FakeNetwork::run(Duration time) -> void
{
    const auto end = now_ + time;
    while (now_ < end) {
        now_ += TickInterval;
        tick();
    }
}

auto FakeNetwork::tick() -> void
{
    findSilence();
    for (const auto &name : names()) {
        dial(name);
        send(name, Tick{});
    }
    deliver();
}

auto FakeNetwork::send(const std::string &name, const Event &event) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    if (found->second.paused) {
        if (!std::holds_alternative<Tick>(event)) {
            found->second.held.push_back(event);
        }
        return;
    }
    const auto actions = step(*found->second.state, event, now_);
    if (notesServing) {
        note(found->second);
    }
    carryOut(name, actions);
}

auto FakeNetwork::note(FakeEntry &entry) const -> void
{
    for (const auto &record : listMembers(*entry.state)) {
        if (isServing(record.state)) {
            entry.everServing.insert(record.name + '@' + std::to_string(record.incarnation));
        }
    }
}

auto FakeNetwork::carryOut(const std::string &name, const Actions &actions) -> void
{
    for (const auto &action : actions) {
        auto &entry = entries_.at(name);
        std::visit(
            Overloaded{
                [&](const ConnectPeer &connect) { entry.targets.insert(connect.address); },
                [&](const ClosePeer &close) {
                    entry.targets.erase(close.address);
                    const auto peer = findListener(close.address);
                    if (entry.links.contains(peer) && !entries_.at(peer).targets.contains(entry.address)) {
                        closeLink(name, peer, LinkEnd::Closed);
                    }
                },
                [&](const SendRecords &records) {
                    if (entry.links.contains(records.to)) {
                        Delivery delivery{ .to = records.to, .from = name, .event = { .from = name, .records = records.records, .digest = records.digest } };
                        if (sent) {
                            sent(name, delivery.event);
                        }
                        deliveries_.push_back(std::move(delivery));
                    }
                },
                [&](const RegisterWanted &wanted) {
                    ++platform.calls;
                    if (!platform.out) {
                        platform.registrations[name] = { .record = wanted.record, .expires = now_ + wanted.leaseTime };
                    }
                    send(name, LeaseSettled{ platform.out ? PlatformResult::Unavailable : PlatformResult::Done });
                },
                [&](const RenewWanted & /*wanted*/) { renew(name); },
                [&](const ReadListWanted & /*wanted*/) { readList(name); },
                [&](const CellChanged &changed) { entry.cell = changed.entries; },
                [&](const AnswersChanged & /*changed*/) {},
                [&](const IncarnationChanged & /*changed*/) {},
                [&](const LeaveWanted &wanted) { entry.leaveCauses.push_back(wanted.cause); },
            },
            action);
    }
}

auto FakeNetwork::renew(const std::string &name) -> void
{
    ++platform.calls;
    const auto found = platform.registrations.find(name);
    if (platform.out) {
        send(name, LeaseSettled{ PlatformResult::Unavailable });
    } else if (found == platform.registrations.end() || found->second.expires < now_) {
        send(name, LeaseSettled{ PlatformResult::LeaseLapsed });
    } else {
        found->second.expires = now_ + MembershipOptions().leaseTime;
        send(name, LeaseSettled{ PlatformResult::Done });
    }
}

auto FakeNetwork::readList(const std::string &name) -> void
{
    ++platform.calls;
    if (platform.out) {
        send(name, ListFailed{});
        return;
    }
    RegistrationsListed list;
    for (const auto &[entry, registration] : platform.registrations) {
        if (registration.expires >= now_) {
            list.records.push_back(registration.record);
        }
    }
    send(name, list);
    send(name, VmsListed{ platform.vms });
}

auto FakeNetwork::canTalk(const std::string &a, const std::string &b) const -> bool
{
    return !cuts_.contains({ a, b }) && !entries_.at(a).paused && !entries_.at(b).paused;
}

auto FakeNetwork::findListener(const std::string &address) const -> std::string
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const auto &item) { return item.second.address == address; });
    return found == entries_.end() ? std::string() : found->first;
}

auto FakeNetwork::dial(const std::string &from) -> void
{
    const auto targets = entries_.at(from).targets;
    for (const auto &address : targets) {
        const auto to = findListener(address);
        if (to == from || entries_.at(from).links.contains(to)) {
            continue;
        }
        if (to.empty() || !canTalk(from, to)) {
            send(from, DialFailed{ address });
        } else {
            openLink(from, to, address);
        }
    }
}

auto FakeNetwork::openLink(const std::string &from, const std::string &to, const std::string &address) -> void
{
    entries_.at(from).links[to] = now_;
    entries_.at(to).links[from] = now_;
    send(from, LinkOpened{ .name = to, .incarnation = selfRecord(*entries_.at(to).state).incarnation, .dialledAddress = address });
    send(to, LinkOpened{ .name = from, .incarnation = selfRecord(*entries_.at(from).state).incarnation, .dialledAddress = {} });
}

auto FakeNetwork::closeLink(const std::string &a, const std::string &b, LinkEnd end) -> void
{
    entries_.at(a).links.erase(b);
    entries_.at(b).links.erase(a);
    send(a, LinkClosed{ .name = b, .end = end });
    send(b, LinkClosed{ .name = a, .end = end });
}

auto FakeNetwork::findSilence() -> void
{
    std::vector<std::pair<std::string, std::string>> silent;
    for (auto &[name, entry] : entries_) {
        for (auto &[peer, heard] : entry.links) {
            heard = canTalk(name, peer) ? now_ : heard;
            if (now_ - heard > Silence && !entry.paused) {
                silent.emplace_back(name, peer);
            }
        }
    }
    for (const auto &[name, peer] : silent) {
        if (entries_.at(name).links.contains(peer)) {
            closeLink(name, peer, LinkEnd::Silent);
        }
    }
}

auto FakeNetwork::deliver() -> void
{
    constexpr int MostDeliveries = 100000; // a storm that feeds itself must fail the test, not hang it
    for (int i = 0; i < MostDeliveries && !deliveries_.empty(); ++i) {
        const auto delivery = std::move(deliveries_.front());
        deliveries_.pop_front();
        const bool bothRun = entries_.contains(delivery.to) && entries_.contains(delivery.from);
        if (bothRun && canTalk(delivery.from, delivery.to) && entries_.at(delivery.to).links.contains(delivery.from)) {
            send(delivery.to, delivery.event);
        }
    }
}

auto FakeNetwork::allList(const std::set<std::string> &names) const -> bool
{
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto &item) {
        std::set<std::string> listed;
        for (const auto &record : listMembers(*item.second.state)) {
            if (isServing(record.state)) {
                listed.insert(record.name);
            }
        }
        return listed == names;
    });
}

auto FakeNetwork::recordOf(const std::string &observer, const std::string &name) const -> MemberRecord
{
    for (auto &record : listMembers(*entries_.at(observer).state)) {
        if (record.name == name) {
            return record;
        }
    }
    return { .name = name, .state = MemberState::Gone };
}

auto FakeNetwork::entry(const std::string &name) -> FakeEntry &
{
    return entries_.at(name);
}

auto FakeNetwork::names() const -> std::set<std::string>
{
    std::set<std::string> result;
    for (const auto &[name, entry] : entries_) {
        result.insert(name);
    }
    return result;
}

} // namespace auburnspread::membership::testing
