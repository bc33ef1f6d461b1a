#include "apps/placer/placertask.h"

#include "runtime/logging/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>
#include <variant>

namespace auburnspread::placer
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// The VM list lags anyway; a waiting call that ends without a change returns the whole list.
constexpr Duration VmWatchTime = std::chrono::minutes(2);

/// A lease call that outlasts this is given up by the core too.
auto callTimeOf(const PlacerSettings &settings) -> Duration
{
    return settings.options.lease.callTimeout;
}

auto isOfVm(const configuration::BackendServer &server, const platform::Vm &vm) -> bool
{
    const auto host = server.address.substr(0, server.address.rfind(':'));
    return vm.name == server.name || vm.address == server.address || vm.address == host;
}

} // namespace

PlacerTask::PlacerTask(const PlacerSettings &settings)
    : settings_(settings)
    , store_(loop_,
             { .address = settings.platformAddress,
               .timeout = settings.options.lease.renewInterval / 2,
               .onCall =
                   [this](platform::CallKind kind, platform::CallOutcome outcome) {
                       ++counters_.platformCalls[{ kind, outcome }];
                   } })
    , lock_(loop_,
            store_,
            { .name = settings.name, .sessionLifetime = settings.options.lease.duration, .callTime = callTimeOf(settings) },
            [this](const placement::Event &event) { take(event); })
    , documents_(loop_, store_, [this](const placement::Event &event) { take(event); })
    , backends_(loop_,
                { .readTimeout = settings.options.readTimeout, .orderTime = settings.options.orderTime },
                [this](const placement::Event &event) { take(event); })
    , admin_(loop_)
    , state_(placement::makePlacer(settings.options))
{
    serveAdmin();
    adminAddress_ = admin_.listen(settings.adminAddress);
}

auto PlacerTask::adminAddress() const -> const std::string &
{
    return adminAddress_;
}

auto PlacerTask::run(int stopDescriptor) -> void
{
    const auto ticks = loop_.every(TickInterval, [this]() { tick(); });
    const auto pendingLines = loop_.every(logging::PendingInterval, logging::writePending);
    const auto stop = loop_.whenReadable(stopDescriptor, [this, stopDescriptor]() {
        signalfd_siginfo info{};
        [[maybe_unused]] const auto got = ::read(stopDescriptor, &info, sizeof info);
        if (std::exchange(stopAsked_, true)) {
            loop_.stop();
            return;
        }
        take(placement::StopRequested{});
    });
    loop_.run();
}

// Watches begin and end here, outside their own callbacks. Only the holder needs them: a watch of each of many processes
// that stand by would cost the platform's service a call each.
auto PlacerTask::tick() -> void
{
    take(placement::Tick{});
    const bool holds = state_.lease.fence.has_value();
    documents_.watch(holds);
    if (!holds) {
        vms_.reset();
    } else if (!vms_) {
        vms_ = platform::subscribeToVms(loop_, store_, { .wait = VmWatchTime }, [this](const platform::VmList &list) { takeVms(list); });
    }
}

auto PlacerTask::take(const placement::Event &event) -> void
{
    for (const auto &action : placement::step(state_, event, task::monotonicNow())) {
        std::visit([this](const auto &concrete) { carryOut(concrete); }, action);
    }
}

auto PlacerTask::takeVms(const platform::VmList &list) -> void
{
    if (!state_.document) {
        return;
    }
    const auto document = state_.document;
    for (const auto &server : document->document.backendServers) {
        const bool leaving
            = std::ranges::any_of(list.vms, [&](const platform::Vm &vm) { return vm.state == platform::VmState::Leaving && isOfVm(server, vm); });
        if (leaving != state_.leaving.contains(server.name)) {
            take(placement::BackendLeaving{ .backend = server.name, .leaving = leaving });
        }
    }
}

auto PlacerTask::serveAdmin() -> void
{
    admin_.route("/healthz", [](const http::IncomingRequest & /*request*/, const http::Replier &replier) { replier.reply(200, "text/plain", "ok\n"); });
    admin_.route("/readyz", [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
        const auto readiness = readinessOf(state_);
        replier.reply(readiness.ready ? 200 : 503, "text/plain", readiness.text + "\n");
    });
    admin_.route("/metrics", [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
        replier.reply(200, "text/plain; version=0.0.4", metricsText(counters_, placement::statusOf(state_, task::monotonicNow())));
    });
    admin_.route("/v1/status", [this](const http::IncomingRequest & /*request*/, const http::Replier &replier) {
        replier.replyJson(200, statusJson(settings_.name, placement::statusOf(state_, task::monotonicNow())));
    });
}

auto PlacerTask::carryOut(const placement::AcquireLease &action) -> void
{
    lock_.acquire(action.call);
}

auto PlacerTask::carryOut(const placement::RenewLease &action) -> void
{
    lock_.renew(action.call);
}

auto PlacerTask::carryOut(const placement::ReleaseLease & /*action*/) -> void
{
    releasing_ = true;
    lock_.release([this]() { loop_.stop(); });
}

auto PlacerTask::carryOut(const placement::ReadDocument &action) -> void
{
    documents_.read(action.call);
}

auto PlacerTask::carryOut(const placement::ReadServer &action) -> void
{
    backends_.read(action);
}

auto PlacerTask::carryOut(const placement::SendOrder &action) -> void
{
    ++counters_.orders;
    backends_.order(action);
}

auto PlacerTask::carryOut(const placement::Explain &action) -> void
{
    ++counters_.decisions[action.decision];
    logging::event(logging::Level::Info, placement::decisionName(action.decision), { { "peer", action.backend }, { "detail", action.detail } });
}

auto PlacerTask::carryOut(const placement::Stopped & /*action*/) -> void
{
    if (!releasing_) {
        loop_.stop();
    }
}

} // namespace auburnspread::placer
