/// \file
/// Runs the memberships of a planned fleet on the fake network and prints what spreading records costs a node: at a
/// cold start, at rest, through restarts, and when two regions lose each other and meet again.

#include "core/membership/tests/fakenetwork.h"
#include "wire/peer/messages.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>

namespace
{

using namespace auburnspread;
using namespace auburnspread::membership;
using namespace auburnspread::membership::testing;

constexpr std::uint64_t FirstIncarnation = 1'790'000'000'000;

struct Place {
    const char *region;
    const char *domain;
};

constexpr std::array<Place, 5> Places{ { { "north", "n-1" }, { "south", "s-1" }, { "north", "n-2" }, { "south", "s-2" }, { "north", "n-3" } } };

struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

class Fleet
{
public:
    explicit Fleet(int members)
        : members_(members)
    {
        network_.notesServing = false;
        network_.sent = [this](const std::string &from, const RecordsReceived &message) {
            const auto bytes = peer::encode(
                { .from = from, .incarnation = FirstIncarnation, .message = peer::Members{ .records = message.records, .digest = message.digest } });
            ++traffic_.messages;
            traffic_.bytes += bytes.size();
        };
    }

    auto startAll() -> void
    {
        for (int i = 0; i < members_; ++i) {
            startOne(i);
        }
    }

    auto restart(int member) -> void
    {
        network_.send(nameOf(member), DrainStarted{});
        run(2);
        network_.kill(nameOf(member));
        run(8);
        startOne(member);
        run(10);
    }

    auto cutRegions() -> void
    {
        std::set<std::string> north;
        std::set<std::string> south;
        for (int i = 0; i < members_; ++i) {
            (std::string(placeOf(i).region) == "north" ? north : south).insert(nameOf(i));
        }
        network_.cut(north, south);
    }

    auto heal() -> void
    {
        network_.heal();
    }

    auto run(int seconds) -> void
    {
        network_.run(std::chrono::seconds(seconds));
        seconds_ += seconds;
    }

    /// Seconds until every entry lists every other as serving; -1 if that takes more than \p atMost.
    auto runUntilWhole(int atMost) -> int
    {
        for (int second = 0; second <= atMost; ++second) {
            if (network_.allList(network_.names())) {
                return second;
            }
            run(1);
        }
        return -1;
    }

    /// Prints what was sent since the last call.
    auto print(const char *phase, int wholeAfter) -> void
    {
        const double nodes = members_;
        std::printf("| %d | %s | %d | %d | %.1f | %.0f | %.0f |\n",
                    members_,
                    phase,
                    seconds_,
                    wholeAfter,
                    static_cast<double>(traffic_.messages) / nodes,
                    static_cast<double>(traffic_.bytes) / nodes,
                    static_cast<double>(traffic_.bytes) / nodes / seconds_);
        std::fflush(stdout);
        traffic_ = {};
        seconds_ = 0;
    }

private:
    static auto nameOf(int member) -> std::string
    {
        return "entry-" + std::to_string(member);
    }

    static auto placeOf(int member) -> const Place &
    {
        return Places.at(static_cast<std::size_t>(member) % Places.size());
    }

    auto startOne(int member) -> void
    {
        const auto &place = placeOf(member);
        network_.region = place.region;
        ++incarnation_;
        network_.start(nameOf(member), place.domain, FirstIncarnation + incarnation_, { "entry-0:2", "entry-1:2" });
    }

    int members_;
    int seconds_ = 0;
    std::uint64_t incarnation_ = 0;
    Traffic traffic_;
    FakeNetwork network_;
};

auto measure(int members) -> void
{
    constexpr int Patience = 300;
    Fleet fleet(members);
    fleet.startAll();
    const auto started = fleet.runUntilWhole(Patience);
    fleet.run(60);
    fleet.print("cold start", started);
    fleet.run(60);
    fleet.print("at rest", 0);
    constexpr int Restarts = 5;
    int slowest = 0;
    for (int i = 0; i < Restarts; ++i) {
        fleet.restart((i * 7 + 3) % members);
        slowest = std::max(slowest, fleet.runUntilWhole(Patience));
    }
    fleet.print("5 restarts", slowest);
    fleet.cutRegions();
    fleet.run(120);
    fleet.print("regions cut", 0);
    fleet.heal();
    const auto healed = fleet.runUntilWhole(Patience);
    fleet.run(10);
    fleet.print("regions healed", healed);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::printf("| members | phase | seconds | whole list everywhere after, s | messages a node | bytes a node | bytes/s a node |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    if (argc > 1) {
        measure(std::atoi(argv[1])); // NOLINT(cert-err34-c): a wrong number measures nothing
        return 0;
    }
    for (const int members : { 8, 60, 330 }) {
        measure(members);
    }
    return 0;
}
