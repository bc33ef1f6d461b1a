#include "core/balancing/tests/deployment.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace auburnspread;
using namespace auburnspread::balancing;
using namespace auburnspread::balancing::tests;

namespace
{

constexpr std::uint32_t ServerCount = 8;
constexpr std::array<Query, 4> Queries{ Query{ .model = "quote-7b", .version = "1" },
                                        Query{ .model = "quote-7b", .version = "2" },
                                        Query{ .model = "quote-7b", .version = "1", .adapter = "tile" },
                                        Query{ .service = "deposits" } };

constexpr std::array Failures{ Failure::ConnectFailed, Failure::NotStarted, Failure::ProgressTimeout, Failure::BrokenStream };

template <typename Number>
auto draw(Number from, Number to) -> Number
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to + 1));
}

auto drawDocument() -> configuration::Document
{
    auto document = makeDocument({ .servers = ServerCount, .concurrency = draw(1U, 5U) });
    for (auto &server : document.backendServers) {
        if (draw(0, 2) == 0) {
            server.models = { { .model = "quote-7b", .version = "2", .adapters = {} }, { .model = "quote-7b", .version = "1", .adapters = {} } };
        }
        if (draw(0, 9) == 0) {
            server.address = "10.0.1.1:8000";
        }
    }
    std::erase_if(document.backendServers, [](const auto &) { return draw(0, 4) == 0; });
    document.services.push_back(
        { .name = "deposits", .servers = { { .name = "deposits-1", .address = "10.1.0.1:80", .concurrency = draw(1U, 3U) } }, .calls = {} });
    return document;
}

auto serves(const configuration::Document &document, const ServerView &server, const Query &query) -> bool
{
    if (!query.service.empty()) {
        return server.name == "deposits-1";
    }
    for (const auto &engine : document.backendServers) {
        for (const auto &model : engine.models) {
            const bool adapter = query.adapter.empty() || std::find(model.adapters.begin(), model.adapters.end(), query.adapter) != model.adapters.end();
            if (engine.name == server.name && model.version == query.version && adapter) {
                return true;
            }
        }
    }
    return false;
}

auto isChoosable(const ServerView &server) -> bool
{
    return server.inDocument && !server.leaving && server.health != Health::Ejected;
}

/// The sums of a pool by looking at every server.
struct NaiveSums {
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
};

auto sumNaively(const State &state, const configuration::Document &document, const Query &query) -> NaiveSums
{
    NaiveSums sums;
    for (const auto index : listServers(state)) {
        const auto server = viewServer(state, index);
        if (!serves(document, server, query)) {
            continue;
        }
        sums.servers += isChoosable(server) ? 1 : 0;
        sums.slots += server.limit;
        sums.freeSlots += server.limit > server.inFlight ? server.limit - server.inFlight : 0;
    }
    return sums;
}

/// One entry to which anything happens in any order.
class Entry
{
public:
    Entry()
    {
        document_ = drawDocument();
        adopt(*state_, document_, now_);
        noteCell(*state_, entryNames(3), now_);
    }

    auto step() -> void
    {
        now_ += std::chrono::milliseconds(draw(0, 400));
        const std::string name = serverName(draw(0U, ServerCount - 1));
        switch (draw(0, 11)) {
        case 0:
            if (draw(0, 5) == 0) {
                document_ = drawDocument();
                adopt(*state_, document_, now_);
            }
            break;
        case 1:
            noteLeaving(*state_, name, draw(0, 1) == 0, now_);
            break;
        case 2:
            noteProbe(*state_, name, draw(0, 2) > 0, now_);
            break;
        case 3:
            notePeerReport(*state_, drawReport(), now_);
            break;
        case 4:
            takeReport(*state_, {}, now_);
            break;
        case 5:
            noteCell(*state_, entryNames(draw<std::size_t>(1, 4)), now_);
            break;
        case 6:
        case 7:
            endSome();
            break;
        default:
            dispatch(Queries[draw<std::size_t>(0, Queries.size() - 1)]);
            break;
        }
        advance(*state_, now_);
    }

    auto check() const -> void
    {
        for (const auto &query : Queries) {
            const NaiveSums sums = sumNaively(*state_, document_, query);
            RC_ASSERT(countServers(*state_, query) == sums.servers);
            RC_ASSERT(slotsOf(*state_, query) == sums.slots);
            RC_ASSERT(freeSlots(*state_, query) == sums.freeSlots);
        }
    }

private:
    static auto drawReport() -> UseReport
    {
        UseReport report{ .entry = entryName(draw<std::size_t>(1, 3)), .servers = {}, .demand = {} };
        for (std::uint32_t number = 0; number < ServerCount; ++number) {
            report.servers.push_back({ .server = serverName(number), .inFlight = draw(0U, 4U) });
        }
        report.demand.push_back({ .pool = "quote-7b", .waiting = draw(0U, 20U) });
        return report;
    }

    auto dispatch(Query query) -> void
    {
        query.prefixHash = draw<std::uint64_t>(0, 3);
        query.quietOnly = draw(0, 9) == 0;
        const auto index = chooseServer(*state_, query, now_);
        if (!index) {
            return;
        }
        const auto server = viewServer(*state_, *index);
        RC_ASSERT(serves(document_, server, query));
        RC_ASSERT(isChoosable(server));
        RC_ASSERT(server.inFlight < server.limit);
        attempts_.push_back(AttemptId{ ++lastAttempt_ });
        noteDispatched(*state_, attempts_.back(), *index, query, now_);
    }

    auto endSome() -> void
    {
        if (attempts_.empty()) {
            return;
        }
        const auto chosen = attempts_.begin() + static_cast<std::ptrdiff_t>(draw<std::size_t>(0, attempts_.size() - 1));
        const AttemptId attempt = *chosen;
        attempts_.erase(chosen);
        noteFirstToken(*state_, attempt, now_);
        if (draw(0, 1) == 0) {
            noteFailed(*state_, attempt, Failures[draw<std::size_t>(0, Failures.size() - 1)], now_);
        } else {
            noteFinished(*state_, attempt, 20, now_ + std::chrono::milliseconds(draw(1, 2000)));
        }
    }

    StatePointer state_ = makeState({ .entry = entryName(0), .failureDomain = "domain-0" });
    configuration::Document document_;
    std::vector<AttemptId> attempts_;
    std::uint64_t lastAttempt_ = 0;
    TimePoint now_ = Start;
};

} // namespace

// Documents, failures, probes, leaving marks and peers' reports come in any order. The sums and lists that make a choice
// cheap say the same as a look at every server, and a chosen server is one that may be chosen and has a free slot.
RC_GTEST_PROP(ConsistencyTests, sumsAndListsAgreeWithEveryServer, ())
{
    Entry entry;
    const int steps = draw(20, 150);
    for (int step = 0; step < steps; ++step) {
        entry.step();
        entry.check();
    }
}
