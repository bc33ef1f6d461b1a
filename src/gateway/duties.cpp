#include "gateway/duties.h"

#include "gateway/clock.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace auburnspread::gateway
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(200);

/// A new leader orders nothing before it has heard what runs where.
constexpr Duration OrderPatience = std::chrono::milliseconds(500);
/// An order rests on a list of servers that is no older.
constexpr Duration OldestServers = std::chrono::seconds(3);

} // namespace

Duties::Duties(task::EventLoop &loop,
               const GatewaySettings &settings,
               std::uint64_t incarnation,
               const passthrough::RouterState &router,
               const DirectoryState &known,
               Accounting &accounting)
    : loop_(loop)
    , duties_(settings.dutyApi.empty() ? adapter::Duties{} : adapter::decodeDuties(settings.duties))
    , router_(router)
    , known_(known)
    , accounting_(accounting)
    , election_(loop,
                settings.storeAddress,
                { .entry = settings.name, .incarnation = incarnation, .lifetime = settings.leaderLease, .cooldown = 2 * settings.leaderLease },
                {
                    .onTermBegun = [this](std::uint64_t token) { beginTerm(token); },
                    .onTermEnded = [this](std::uint64_t token, leadership::TermEnd reason) { endTerm(token, reason); },
                    .onInvalid = [this](std::string_view what, const std::string &detail) { accounting_.inputInvalid(what, detail); },
                })
    , usage_(loop,
             { .store = settings.storeAddress,
               .api = settings.dutyApi,
               .entry = settings.name,
               .incarnation = incarnation,
               .windows = { .windowLength = settings.usageWindow, .due = settings.usageDue } },
             {
                 .onTokenRefused = [this](std::uint64_t token) { election_.noteTokenRefused(token); },
                 .onWindow
                 = [this](usage::Window window, std::string_view outcome, std::uint64_t requests) { accounting_.usageReported(window, outcome, requests); },
                 .onInvalid = [this](std::string_view what, const std::string &detail) { accounting_.inputInvalid(what, detail); },
             })
    , orders_(
          loop,
          { .api = settings.dutyApi, .entry = settings.name },
          {
              .onTokenRefused = [this](std::uint64_t token) { election_.noteTokenRefused(token); },
              .onOrder = [this](const ordering::Order &order, std::string_view outcome, double needed) { accounting_.serversOrdered(order, outcome, needed); },
          })
{
}

auto Duties::start() -> void
{
    if (!duties_.reportsUsage && !duties_.ordersServers) {
        return;
    }
    election_.start();
    timer_ = loop_.every(TickInterval, [this]() { tick(); });
}

auto Duties::setEligible(bool isEligible) -> void
{
    if (duties_.reportsUsage || duties_.ordersServers) {
        election_.setEligible(isEligible);
    }
}

auto Duties::leads() const -> bool
{
    return election_.token().has_value();
}

auto Duties::takeConfiguration(const passthrough::Configuration &configuration) -> void
{
    orderable_.clear();
    std::copy_if(configuration.services.begin(), configuration.services.end(), std::back_inserter(orderable_), [](const passthrough::Service &service) {
        return service.scaling.has_value();
    });
}

auto Duties::noteBegun(const std::string &workspace, TimePoint at) -> void
{
    if (duties_.reportsUsage) {
        usage_.noteBegun(workspace, at);
    }
}

auto Duties::makeReport() -> std::optional<usage::Report>
{
    return duties_.reportsUsage ? std::optional(usage_.makeReport()) : std::nullopt;
}

auto Duties::hear(const usage::Report &report) -> void
{
    usage_.hear(report);
}

auto Duties::calls() const -> std::uint64_t
{
    return election_.calls() + usage_.calls() + orders_.calls();
}

auto Duties::beginTerm(std::uint64_t token) -> void
{
    termBegunAt_ = now();
    accounting_.leadershipChanged(true, token, "");
    usage_.beginTerm(token);
    orders_.beginTerm();
}

auto Duties::endTerm(std::uint64_t token, leadership::TermEnd reason) -> void
{
    accounting_.leadershipChanged(false, token, leadership::termEndName(reason));
    usage_.endTerm();
    orders_.beginTerm();
}

auto Duties::tick() -> void
{
    const auto token = election_.token();
    if (!token) {
        return;
    }
    if (duties_.reportsUsage) {
        std::set<std::string> alive;
        for (const auto &entry : known_.entries) {
            alive.insert(entry.name);
        }
        usage_.tick(alive);
    }
    if (duties_.ordersServers) {
        orderServers(*token);
    }
}

/// Failure: a leader that is cut off from the store, or has just begun, sees servers that are gone or misses some that are there. Symptom:
/// it orders what there is already, or sends servers away in the middle of a burst.
auto Duties::orderServers(std::uint64_t token) -> void
{
    const auto at = now();
    const auto isKnown = known_.serversAt && at - *known_.serversAt < OldestServers && at - termBegunAt_ >= OrderPatience;
    if (!isKnown || known_.servers.empty()) {
        return;
    }
    for (const auto &service : orderable_) {
        orders_.update(situationOf(service), token);
    }
}

auto Duties::situationOf(const passthrough::Service &service) const -> ordering::ServiceSituation
{
    ordering::ServiceSituation situation{ .service = service.name, .scaling = *service.scaling };
    std::copy_if(known_.servers.begin(), known_.servers.end(), std::back_inserter(situation.servers), [&service](const passthrough::Server &server) {
        return server.service == service.name;
    });
    situation.neededServers = ordering::neededServers(passthrough::loadOfService(router_, service.name, now()));
    return situation;
}

} // namespace auburnspread::gateway
