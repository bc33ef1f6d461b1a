#include "entry/control/controltask.h"

#include "core/membership/membership.h"
#include "entry/control/internal/adminpages.h"
#include "entry/control/internal/claimregistrar.h"
#include "entry/control/internal/configurationkeeper.h"
#include "entry/control/internal/memberdirectory.h"
#include "entry/control/internal/pendingreport.h"
#include "entry/control/internal/registration.h"
#include "runtime/logging/logging.h"
#include "runtime/task/eventloop.h"
#include "wire/http/server.h"
#include "wire/peer/links.h"
#include "wire/platform/subscription.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace auburnspread::entry
{

namespace
{

constexpr Duration TickInterval = std::chrono::seconds(1);
constexpr Duration ReportPauseOfAPeer = std::chrono::milliseconds(100); // docs/CAPACITY.md: about 0.8 s in a cell of 8
constexpr Duration ClaimInterval = std::chrono::milliseconds(10);
constexpr Duration LeaveGrace = std::chrono::milliseconds(300); // for the registration to end and peers to hear

auto linkOptions(const ControlTaskOptions &options) -> peer::LinksOptions
{
    return {
        .name = options.settings.name,
        .incarnation = options.incarnation,
        .listenAddress = options.settings.peerAddress,
        .secret = options.settings.peerSecret,
        .seed = options.settings.seed,
    };
}

} // namespace

struct ControlTask::State {
    State(ControlTaskOptions taskOptions, Mailboxes &all);

    auto take(const ControlMessage &message) -> void;
    auto sendReport(const routing::PeerReported &report) -> void;
    auto takeStatus(const StatusPublished &published) -> void;
    auto receive(const std::string &from, std::uint64_t incarnation, const peer::Message &message) -> void;
    auto linkOpened(const std::string &name, std::uint64_t incarnation, const std::string &dialledAddress) -> void;
    auto adopt(const std::shared_ptr<const configuration::AdoptedDocument> &document) -> void;
    auto answerEntries(const EntriesAsked &asked) -> void;
    auto issueTickets(const TicketsAsked &asked) -> void;
    auto tellReadiness() -> void;
    auto tickClaims() -> void;
    auto followVms() -> void;
    auto modelOf(const std::string &requestClass) const -> std::string;
    auto takeVms(const platform::VmList &list) -> void;
    auto markBackends() -> void;
    auto drain() -> void;
    auto takeDrained() -> void;
    auto readiness() const -> Readiness;
    auto status() const -> nlohmann::json;
    auto adminOptions() -> AdminPagesOptions;

    ControlTaskOptions options;
    Mailboxes &mailboxes;
    task::EventLoop loop;
    platform::Store store;
    peer::Links links;
    MemberDirectory members;
    ConfigurationKeeper configurations;
    ClaimRegistrar claims;
    http::Server server;
    AdminPages pages;
    platform::VmSubscription vms;
    std::map<std::string, bool> leavingVms; ///< by IP number, as the platform's list has them
    std::shared_ptr<const configuration::AdoptedDocument> document;
    StatusPublished latest;
    bool draining = false;
    bool claimsTicking = false;
    std::set<std::string> cell;    ///< entries that get reports
    routing::PeerReported pending; ///< not sent yet
    TimePoint nextReport;
    task::Watch ticker;
    task::Watch claimTicker;
    task::Watch lingering;
};

ControlTask::State::State(ControlTaskOptions taskOptions, Mailboxes &all)
    : options(std::move(taskOptions))
    , mailboxes(all)
    , store(loop, { .address = options.settings.platformAddress })
    , links(loop,
            linkOptions(options),
            {
                .opened = [this](const std::string &name, std::uint64_t incarnation, const std::string &dialled) { linkOpened(name, incarnation, dialled); },
                .closed = [this](const std::string &name, membership::LinkEnd end) { members.feed(membership::LinkClosed{ .name = name, .end = end }); },
                .dialFailed = [this](const std::string &address) { members.feed(membership::DialFailed{ .address = address }); },
                .received = [this](const std::string &from, std::uint64_t incarnation, const peer::Message &message) { receive(from, incarnation, message); },
            })
    , members({
                  .settings = options.settings,
                  .incarnation = options.incarnation,
                  .cellChanged =
                      [this](const std::vector<std::string> &entries) {
                          cell = { entries.begin(), entries.end() };
                          cell.erase(options.settings.name);
                          mailboxes.router.post(routing::Event(routing::CellChanged{ .entries = entries }));
                          configurations.feed(configuration::CellKnown{ .members = entries });
                      },
                  .leaveWanted = [this](membership::LeaveCause /*cause*/) { drain(); },
              },
              all,
              links,
              store)
    , configurations({
                         .entry = options.settings.name,
                         .peers = options.settings.seeds,
                         .adopted = [this](const std::shared_ptr<const configuration::AdoptedDocument> &adopted) { adopt(adopted); },
                         .rejected =
                             [](std::uint64_t version, const std::string &text) {
                                 logging::event(logging::Level::Error, "configuration-rejected", { { "version", version }, { "error", text } });
                             },
                     },
                     loop,
                     links,
                     store)
    , claims({ .entry = options.settings.name, .incarnation = options.incarnation }, all, store)
    , server(loop)
    , pages(adminOptions(), server)
{
    server.listen(options.settings.adminAddress);
}

auto ControlTask::State::adminOptions() -> AdminPagesOptions
{
    return {
        .token = options.settings.adminToken,
        .readiness = [this]() { return readiness(); },
        .metricsText = options.metricsText,
        .status = [this]() { return status(); },
        .drain = [this]() { drain(); },
        .drainBackend = [this](const std::string &backend,
                               bool leaving) { mailboxes.router.post(routing::Event(routing::BackendLeaving{ .backend = backend, .leaving = leaving })); },
        .quarantined = [this]() { return latest.status.quarantined; },
        .release =
            [this](Fingerprint fingerprint) {
                const routing::QuarantineHeard released{ .fingerprint = fingerprint, .mark = routing::QuarantineHeard::Mark::Released };
                mailboxes.router.post(routing::Event(released));
                links.broadcast(peer::Quarantine{ .notice = released });
            },
    };
}

auto ControlTask::State::take(const ControlMessage &message) -> void
{
    if (const auto *published = std::get_if<StatusPublished>(&message)) {
        takeStatus(*published);
    } else if (const auto *claim = std::get_if<routing::ClaimKey>(&message)) {
        claims.claim(*claim);
        tickClaims();
    } else if (const auto *ended = std::get_if<ClaimEnded>(&message)) {
        claims.end(*ended);
        tickClaims();
    } else if (const auto *told = std::get_if<routing::TellQuarantine>(&message)) {
        links.broadcast(peer::Quarantine{ .notice = { .fingerprint = told->fingerprint, .mark = told->mark } });
    } else if (const auto *asked = std::get_if<EntriesAsked>(&message)) {
        answerEntries(*asked);
    } else if (const auto *tickets = std::get_if<TicketsAsked>(&message)) {
        issueTickets(*tickets);
    } else if (const auto *kept = std::get_if<AnswerKept>(&message)) {
        claims.keep(*kept);
    } else if (std::holds_alternative<routing::Drained>(message)) {
        takeDrained();
    } else if (std::holds_alternative<DrainAsked>(message)) {
        drain();
    }
}

auto ControlTask::State::takeStatus(const StatusPublished &published) -> void
{
    latest = published;
    std::uint32_t open = 0;
    for (const auto &known : published.status.classes) {
        open += known.waiting + known.inFlight;
    }
    members.feed(membership::LoadHeard{ .name = options.settings.name, .openRequests = open });
    sendReport(published.report);
}

/// Control traffic of a node must not grow with the cell, so a larger cell reports less often.
auto ControlTask::State::sendReport(const routing::PeerReported &report) -> void
{
    addReport(pending, report);
    const auto now = task::monotonicNow();
    if (now < nextReport) {
        return;
    }
    nextReport = now + ReportPauseOfAPeer * static_cast<Duration::rep>(cell.size());
    for (const auto &name : cell) {
        links.send(name, peer::Report{ .report = pending });
    }
    pending = {};
}

auto ControlTask::State::receive(const std::string &from, std::uint64_t incarnation, const peer::Message &message) -> void
{
    if (const auto *records = std::get_if<peer::Members>(&message)) {
        members.feed(membership::RecordsReceived{ .from = from, .records = records->records, .digest = records->digest });
    } else if (const auto *report = std::get_if<peer::Report>(&message)) {
        auto heard = report->report;
        heard.entry = from;
        std::uint32_t open = 0;
        for (const auto &demand : heard.demand) {
            open += demand.waiting + demand.inFlight;
        }
        members.feed(membership::LoadHeard{ .name = from, .openRequests = open });
        mailboxes.router.post(routing::Event(std::move(heard)));
    } else if (const auto *quarantine = std::get_if<peer::Quarantine>(&message)) {
        auto heard = quarantine->notice;
        heard.entry = from;
        mailboxes.router.post(routing::Event(std::move(heard)));
    } else if (std::holds_alternative<peer::Leaving>(message)) {
        members.feed(membership::LeavingHeard{ .name = from, .incarnation = incarnation });
    } else {
        configurations.receive(from, message);
    }
}

auto ControlTask::State::linkOpened(const std::string &name, std::uint64_t incarnation, const std::string &dialledAddress) -> void
{
    members.feed(membership::LinkOpened{ .name = name, .incarnation = incarnation, .dialledAddress = dialledAddress });
    configurations.noteLink(name, dialledAddress);
}

auto ControlTask::State::adopt(const std::shared_ptr<const configuration::AdoptedDocument> &adopted) -> void
{
    document = adopted;
    mailboxes.router.post(routing::Event(routing::ConfigurationAdopted{ .configuration = adopted }));
    markBackends();
    tellReadiness();
    logging::event(logging::Level::Info, "configuration-adopted", { { "version", adopted->version }, { "digest", adopted->digest } });
}

auto ControlTask::State::answerEntries(const EntriesAsked &asked) -> void
{
    mailboxes.caller.post(EntriesAnswered{ .request = asked.request, .view = members.answer(asked, modelOf(asked.requestClass)) });
}

auto ControlTask::State::issueTickets(const TicketsAsked &asked) -> void
{
    TicketsAnswered answer{ .request = asked.request };
    while (!draining && answer.tickets.size() < asked.count) {
        auto ticket = claims.issueTicket(asked.workspace);
        if (ticket.empty()) {
            break;
        }
        answer.tickets.push_back(std::move(ticket));
    }
    mailboxes.caller.post(std::move(answer));
}

auto ControlTask::State::modelOf(const std::string &requestClass) const -> std::string
{
    if (!document) {
        return {};
    }
    const auto &classes = document->document.classes;
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const auto &known) { return known.name == requestClass; });
    return found == classes.end() || found->models.empty() ? std::string() : found->models.front().model;
}

auto ControlTask::State::takeVms(const platform::VmList &list) -> void
{
    membership::VmsListed listed;
    leavingVms.clear();
    for (const auto &vm : list.vms) {
        const auto leaving = vm.state == platform::VmState::Leaving;
        leavingVms[vm.address.substr(0, vm.address.find(':'))] = leaving;
        listed.vms.push_back({ .name = vm.name, .address = vm.address, .leaving = leaving });
    }
    members.feed(listed);
    markBackends();
}

auto ControlTask::State::markBackends() -> void
{
    if (!document) {
        return;
    }
    const auto mark = [this](const std::string &name, const std::string &address) {
        const auto vm = leavingVms.find(address.substr(0, address.find(':')));
        if (vm != leavingVms.end()) {
            mailboxes.router.post(routing::Event(routing::BackendLeaving{ .backend = name, .leaving = vm->second }));
        }
    };
    for (const auto &server : document->document.backendServers) {
        mark(server.name, server.address);
    }
    for (const auto &service : document->document.services) {
        for (const auto &server : service.servers) {
            mark(server.name, server.address);
        }
    }
}

/// Leaves: peers and callers hear it at once, what is in flight ends.
auto ControlTask::State::drain() -> void
{
    if (std::exchange(draining, true)) {
        return;
    }
    logging::event(logging::Level::Info, "draining", { { "entry", options.settings.name } });
    members.feed(membership::DrainStarted{});
    links.broadcast(peer::Leaving{});
    mailboxes.caller.post(routing::DrainStarted{});
    mailboxes.router.post(routing::Event(routing::DrainStarted{}));
}

/// Callers that kept an old answer of /v1/entries still come for a while; they are redirected, not left without a
/// connection.
auto ControlTask::State::takeDrained() -> void
{
    logging::event(logging::Level::Info, "drained", { { "entry", options.settings.name } });
    lingering = loop.after(options.settings.drainLinger, [this]() {
        members.unregister();
        lingering = loop.after(LeaveGrace, [this]() { options.drained(); });
    });
}

/// Runs the claims' timer only while a claim waits: an idle entry is not woken for nothing.
auto ControlTask::State::tickClaims() -> void
{
    if (claimsTicking || !claims.isBusy()) {
        return;
    }
    claimsTicking = true;
    claimTicker = loop.every(ClaimInterval, [this]() {
        claims.advance();
        if (!claims.isBusy()) {
            claimsTicking = false;
            claimTicker = {};
        }
    });
}

/// A waiting watch is a call of the platform's service, so only some entries of a cell hold one.
auto ControlTask::State::followVms() -> void
{
    const auto wanted = membership::watchesPlatform(members.state());
    if (wanted == (vms != nullptr)) {
        return;
    }
    vms = wanted ? platform::subscribeToVms(loop, store, {}, [this](const platform::VmList &list) { takeVms(list); }) : nullptr;
}

auto ControlTask::State::tellReadiness() -> void
{
    members.feed(membership::ReadinessChanged{ .ready = configuration::readinessOf(configurations.state()).ready });
}

auto ControlTask::State::readiness() const -> Readiness
{
    if (draining) {
        return { .ready = false, .why = "draining" };
    }
    const auto known = configuration::readinessOf(configurations.state());
    if (known.ready && !membership::isServing(membership::selfRecord(members.state()).state)) {
        return { .ready = false, .why = "not yet named to callers" };
    }
    return { .ready = known.ready, .why = known.text };
}

auto ControlTask::State::status() const -> nlohmann::json
{
    auto document = toJson(latest.status);
    const auto &self = membership::selfRecord(members.state());
    auto list = nlohmann::json::array();
    for (const auto &member : membership::listMembers(members.state())) {
        list.push_back(toJson(member));
    }
    document["entry"] = options.settings.name;
    document["incarnation"] = self.incarnation;
    document["failure_domain"] = options.settings.failureDomain;
    document["draining"] = draining;
    document["ready"] = readiness().ready;
    document["members"] = list;
    document["membership_version"] = membership::membershipVersion(members.state());
    document["platform_reachable"] = membership::isPlatformReachable(members.state());
    return document;
}

ControlTask::ControlTask(ControlTaskOptions options, Mailboxes &mailboxes)
    : state_(std::make_unique<State>(std::move(options), mailboxes))
{
}

ControlTask::~ControlTask() = default;

auto ControlTask::run() -> void
{
    auto &state = *state_;
    const auto inbox = state.loop.receive(state.mailboxes.control, [&state](const ControlMessage &message) { state.take(message); });
    state.ticker = state.loop.every(TickInterval, [&state]() {
        state.tellReadiness();
        state.members.feed(membership::Tick{});
        state.followVms();
    });
    const auto pendingLines = state.loop.every(logging::PendingInterval, logging::writePending);
    state.members.feed(membership::Tick{});
    state.configurations.start();
    state.loop.run();
}

auto ControlTask::stop() -> void
{
    state_->loop.stop();
}

} // namespace auburnspread::entry
