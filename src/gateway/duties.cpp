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

/// Time for which a new leader orders no servers, so that the load reports of the other entries arrive first.
constexpr Duration OrderDelay = std::chrono::milliseconds(500);
/// Servers are ordered only while the list of servers is younger than this.
constexpr Duration MaxServerListAge = std::chrono::seconds(3);

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
               .windows = { .windowLength = settings.usageWindow, .reportDeadline = settings.usageDue } },
             {
                 .onTokenRefused = [this](std::uint64_t token) { election_.handleTokenRefused(token); },
                 .onWindowOutcome
                 = [this](usage::Window window, std::string_view outcome, std::uint64_t requests) { accounting_.usageReported(window, outcome, requests); },
                 .onInvalid = [this](std::string_view what, const std::string &detail) { accounting_.inputInvalid(what, detail); },
             })
    , orders_(loop,
              { .api = settings.dutyApi, .entry = settings.name },
              {
                  .onTokenRefused = [this](std::uint64_t token) { election_.handleTokenRefused(token); },
                  .onOrderOutcome
                  = [this](const ordering::Order &order, std::string_view outcome, double needed) { accounting_.serversOrdered(order, outcome, needed); },
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

auto Duties::handleStoreRestored(std::uint64_t era) -> void
{
    if (duties_.reportsUsage || duties_.ordersServers) {
        election_.observeEra(era);
    }
}

auto Duties::leads() const -> bool
{
    return election_.token().has_value();
}

auto Duties::applyConfiguration(const passthrough::Configuration &configuration) -> void
{
    scalableServices_.clear();
    std::copy_if(configuration.services.begin(), configuration.services.end(), std::back_inserter(scalableServices_), [](const passthrough::Service &service) {
        return service.scaling.has_value();
    });
}

auto Duties::recordStart(const std::string &workspace, TimePoint at) -> void
{
    if (duties_.reportsUsage) {
        usage_.recordStart(workspace, at);
    }
}

auto Duties::makeReport() -> std::optional<usage::Report>
{
    return duties_.reportsUsage ? std::optional(usage_.makeReport()) : std::nullopt;
}

auto Duties::handleReport(const usage::Report &report) -> void
{
    usage_.handleReport(report);
}

auto Duties::calls() const -> std::uint64_t
{
    return election_.calls() + usage_.calls() + orders_.calls();
}

auto Duties::beginTerm(std::uint64_t token) -> void
{
    termStartedAt_ = now();
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

/// A leader that has lost its connection to the store, or whose term has just started, may see servers that are gone or miss servers that
/// exist. It would order servers that exist already, or release servers in the middle of a burst. It therefore orders nothing in these
/// cases.
auto Duties::orderServers(std::uint64_t token) -> void
{
    const auto at = now();
    const auto isKnown = known_.serversAt && at - *known_.serversAt < MaxServerListAge && at - termStartedAt_ >= OrderDelay;
    if (!isKnown || known_.servers.empty()) {
        return;
    }
    for (const auto &service : scalableServices_) {
        orders_.update(makeSituation(service), token);
    }
}

auto Duties::makeSituation(const passthrough::Service &service) const -> ordering::ServiceSituation
{
    ordering::ServiceSituation situation{ .service = service.name, .scaling = *service.scaling };
    std::copy_if(known_.servers.begin(), known_.servers.end(), std::back_inserter(situation.servers), [&service](const passthrough::Server &server) {
        return server.service == service.name;
    });
    situation.neededServers = ordering::neededServers(passthrough::loadOfService(router_, service.name, now()));
    return situation;
}

} // namespace auburnspread::gateway
