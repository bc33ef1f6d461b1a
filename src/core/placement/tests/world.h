/// \file
/// Placers, backend servers and the platform's lock as plain objects around one queue of timed events. Tests pause
/// placers, delay orders and lose replies in it; nothing of it knows how the placer decides.

#pragma once

#include "core/placement/placer.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburnspread::placement::testing
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One order that took effect on an engine.
struct Applied {
    std::string holder;
    FencingNumber fence = 0;
    std::uint64_t version = 0;
    ServerState state;
};

struct FakeEngine {
    bool checks = true;
    bool reachable = true;
    bool failsToLoad = false; ///< takes orders, never has the new weights
    FencingNumber fence = 0;
    ServerState state;
    ServerState target;
    Duration loadTime = seconds(3);
    TimePoint loadedAt;
    std::vector<Applied> applied;

    [[nodiscard]] auto report(TimePoint now) -> ServerReport
    {
        finishLoading(now);
        ServerReport report{ .fence = fence, .state = state, .loading = {} };
        if (state != target && !failsToLoad) {
            report.loading = target.variants;
            for (const auto &variant : state.variants) {
                report.loading.erase(variant);
            }
        }
        return report;
    }

    auto take(const std::string &holder, const SendOrder &order, TimePoint now) -> OrderResult
    {
        finishLoading(now);
        if (checks && order.fence < fence) {
            return OrderResult::OldFence;
        }
        fence = order.fence;
        applied.push_back({ .holder = holder, .fence = order.fence, .version = order.version, .state = order.state });
        const bool loads = needsWeights(state, order.state);
        target = order.state;
        state = ServerState{ .role = order.state.role, .variants = keptDuring(state, order.state) };
        loadedAt = now + (loads ? loadTime : Duration(0));
        finishLoading(now);
        return OrderResult::Accepted;
    }

private:
    auto finishLoading(TimePoint now) -> void
    {
        if (now >= loadedAt && !failsToLoad) {
            state = target;
        }
    }
};

/// The platform's lock key with sessions that end by their TTL.
struct FakeLock {
    bool down = false;
    FencingNumber index = 100;
    std::string holder;
    std::map<std::string, TimePoint> sessions;

    auto expire(TimePoint now) -> void
    {
        std::erase_if(sessions, [&](const auto &session) { return session.second <= now; });
        if (!sessions.contains(holder)) {
            holder.clear();
        }
    }
};

struct Node {
    PlacerState state;
    TimePoint pausedUntil;
    bool dead = false;
    std::vector<Explain> explained;
    std::vector<SendOrder> orders;
    TimePoint lastOrderAt;
    bool stopped = false;
};

class World
{
public:
    TimePoint now{ seconds(1000) };
    FakeLock lock;
    std::map<std::string, FakeEngine> engines;
    std::map<std::string, Node> nodes;
    std::shared_ptr<const configuration::AdoptedDocument> document;
    Duration leaseTtl = LeaseOptions{}.duration;

    /// Faults, asked for each message; by default none.
    std::function<Duration()> orderDelay = []() { return milliseconds(2); };
    std::function<Duration()> callDelay = []() { return milliseconds(1); };
    std::function<bool()> losesReply = []() { return false; };
    /// Called after each order that took effect.
    std::function<void()> afterOrder = []() {};

    auto addPlacer(const std::string &name, const PlacerOptions &options = {}) -> void
    {
        nodes[name].state = makePlacer(options);
        at(Duration(0), [this, name]() { tick(name); });
    }

    auto at(Duration delay, std::function<void()> action) -> void
    {
        queue_.emplace(now + delay, std::move(action));
    }

    /// Runs what is due until \p length has passed.
    auto run(Duration length) -> void
    {
        const auto end = now + length;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            now = std::max(now, queue_.begin()->first);
            const auto action = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            action();
        }
        now = end;
    }

    /// Runs until \p condition holds; false if it does not within \p longest.
    auto runUntil(Duration longest, const std::function<bool()> &condition) -> bool
    {
        const auto end = now + longest;
        while (now < end && !condition()) {
            run(milliseconds(50));
        }
        return condition();
    }

    auto pause(const std::string &name, Duration length) -> void
    {
        nodes[name].pausedUntil = std::max(nodes[name].pausedUntil, now + length);
    }

    auto send(const std::string &name, Event event) -> void
    {
        auto &node = nodes[name];
        if (node.dead) {
            return;
        }
        if (now < node.pausedUntil) {
            at(node.pausedUntil - now, [this, name, event = std::move(event)]() { send(name, event); });
            return;
        }
        for (const auto &action : step(node.state, event, now)) {
            std::visit([&](const auto &concrete) { carryOut(name, node, concrete); }, action);
        }
    }

    auto explainedBy(const std::string &name, Decision decision) const -> bool
    {
        return std::ranges::any_of(nodes.at(name).explained, [&](const Explain &line) { return line.decision == decision; });
    }

    auto holdsLease(const std::string &name) -> bool
    {
        return statusOf(nodes[name].state, now).holdsLease;
    }

    auto allConverged() -> bool
    {
        return std::ranges::all_of(document->document.backendServers,
                                   [&](const auto &server) { return engines[server.name].report(now).state == wantedState(server); });
    }

private:
    std::multimap<TimePoint, std::function<void()>> queue_;

    auto tick(const std::string &name) -> void
    {
        if (nodes[name].dead) {
            return;
        }
        send(name, Tick{});
        at(milliseconds(100), [this, name]() { tick(name); });
    }

    auto reply(const std::string &name, Event event) -> void
    {
        if (losesReply()) {
            return;
        }
        at(callDelay(), [this, name, event = std::move(event)]() { send(name, event); });
    }

    auto writeLock(const std::string &name) -> std::optional<FencingNumber>
    {
        lock.expire(now);
        lock.sessions[name] = now + leaseTtl;
        if (!lock.holder.empty() && lock.holder != name) {
            return std::nullopt;
        }
        lock.holder = name;
        return ++lock.index;
    }

    auto carryOut(const std::string &name, Node & /*node*/, const AcquireLease &action) -> void
    {
        at(callDelay(), [this, name, call = action.call]() {
            if (lock.down) {
                return;
            }
            if (const auto fence = writeLock(name)) {
                reply(name, LeaseGranted{ .call = call, .fence = *fence });
            } else {
                reply(name, LeaseFailed{ .call = call, .failure = LeaseFailure::HeldElsewhere });
            }
        });
    }

    auto carryOut(const std::string &name, Node & /*node*/, const RenewLease &action) -> void
    {
        at(callDelay(), [this, name, call = action.call]() {
            if (lock.down) {
                return;
            }
            lock.expire(now);
            if (lock.holder != name) {
                reply(name, LeaseFailed{ .call = call, .failure = LeaseFailure::SessionGone });
                return;
            }
            lock.sessions[name] = now + leaseTtl;
            reply(name, LeaseRenewed{ .call = call });
        });
    }

    auto carryOut(const std::string &name, Node & /*node*/, const ReleaseLease & /*action*/) -> void
    {
        lock.sessions.erase(name);
        lock.expire(now);
    }

    auto carryOut(const std::string &name, Node & /*node*/, const ReadDocument &action) -> void
    {
        at(callDelay(), [this, name, call = action.call]() {
            if (!lock.down) {
                reply(name, DocumentRead{ .call = call, .document = document });
            }
        });
    }

    auto carryOut(const std::string &name, Node & /*node*/, const ReadServer &action) -> void
    {
        at(callDelay(), [this, name, action]() {
            if (engines[action.backend].reachable) {
                reply(name, ServerRead{ .call = action.call, .backend = action.backend, .report = engines[action.backend].report(now) });
            } else {
                reply(name, ServerReadFailed{ .call = action.call, .backend = action.backend });
            }
        });
    }

    //! NOTE the sender's clock is compared here, at the decision, and the order may leave much later: the worst that a
    //! pause between the comparison and the write can do
    auto carryOut(const std::string &name, Node &node, const SendOrder &action) -> void
    {
        node.orders.push_back(action);
        node.lastOrderAt = now;
        if (now >= action.sendBefore) {
            send(name, OrderSettled{ .call = action.call, .backend = action.backend, .result = OrderResult::NotSent });
            return;
        }
        at(orderDelay(), [this, name, action]() {
            auto &engine = engines[action.backend];
            if (!engine.reachable) {
                return;
            }
            const auto result = engine.take(name, action, now);
            afterOrder();
            reply(name, OrderSettled{ .call = action.call, .backend = action.backend, .result = result, .currentFence = engine.fence });
        });
    }

    auto carryOut(const std::string & /*name*/, Node &node, const Explain &action) -> void
    {
        node.explained.push_back(action);
    }

    auto carryOut(const std::string & /*name*/, Node &node, const Stopped & /*action*/) -> void
    {
        node.stopped = true;
    }
};

/// A document with one model per entry of \p placed: backend servers "s1".. with these models.
inline auto makeDocument(std::uint64_t version, const std::vector<std::vector<configuration::ServedModel>> &placed, bool checks = true)
    -> std::shared_ptr<const configuration::AdoptedDocument>
{
    auto adopted = std::make_shared<configuration::AdoptedDocument>();
    adopted->version = version;
    auto &document = adopted->document;
    document.models = {
        { .name = "quote-7b", .versions = { "1", "2", "3" }, .adapters = { "tile" } },
        { .name = "clause-2b", .versions = { "1", "2" } },
    };
    document.classes = { { .name = "quote", .tier = 0, .models = { { .model = "quote-7b" }, { .model = "clause-2b" } } } };
    int number = 0;
    for (const auto &models : placed) {
        const auto name = "s" + std::to_string(++number);
        document.backendServers.push_back({ .name = name, .address = "127.0.0.1:1", .models = models, .checksFencing = checks });
    }
    return adopted;
}

inline auto quote(const std::string &version) -> std::vector<configuration::ServedModel>
{
    return { { .model = "quote-7b", .version = version, .adapters = {} } };
}

inline auto clause(const std::string &version) -> std::vector<configuration::ServedModel>
{
    return { { .model = "clause-2b", .version = version, .adapters = {} } };
}

/// Puts the engines into the state that \p document wants.
inline auto placeAll(World &world, const configuration::Document &document) -> void
{
    for (const auto &server : document.backendServers) {
        auto &engine = world.engines[server.name];
        engine.checks = server.checksFencing;
        engine.state = engine.target = wantedState(server);
    }
}

} // namespace auburnspread::placement::testing
