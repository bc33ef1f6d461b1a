#include "entry/router/routertask.h"

#include "runtime/task/eventloop.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace auburnspread::entry
{

struct RouterTask::State {
    State(RouterTaskOptions taskOptions, Mailboxes &all)
        : options(std::move(taskOptions))
        , mailboxes(all)
        , router(routing::makeRouter(options.router))
    {
    }

    auto take(RouterMessage message) -> void;
    auto feed(const routing::Event &event) -> void;
    auto perform(const routing::Action &action) -> void;
    auto dispatch(const routing::Dispatch &order) -> void;
    auto forget(RequestId request, bool mayHaveRun) -> void;
    auto publish() -> void;

    RouterTaskOptions options;
    Mailboxes &mailboxes;
    task::EventLoop loop;
    routing::RouterStatePointer router;
    std::unordered_map<RequestId, PayloadPointer> payloads; ///< of requests without a final action
    std::unordered_set<RequestId> claimed;                  ///< of these, those whose key was to be claimed
};

auto RouterTask::State::take(RouterMessage message) -> void
{
    if (auto *submission = std::get_if<Submission>(&message)) {
        payloads[submission->arrived.request] = std::move(submission->payload);
        feed(routing::Event(std::move(submission->arrived)));
        return;
    }
    const auto &event = std::get<routing::Event>(message);
    feed(event);
    if (const auto *gone = std::get_if<routing::CallerGone>(&event)) {
        forget(gone->request, true);
    }
}

auto RouterTask::State::feed(const routing::Event &event) -> void
{
    for (const auto &action : routing::step(*router, event, task::monotonicNow())) {
        perform(action);
    }
}

auto RouterTask::State::perform(const routing::Action &action) -> void
{
    if (options.acted) {
        options.acted(action);
    }
    if (const auto *order = std::get_if<routing::Dispatch>(&action)) {
        dispatch(*order);
    } else if (const auto *committed = std::get_if<routing::CommitAttempt>(&action)) {
        mailboxes.backend.post(*committed);
    } else if (const auto *cancelled = std::get_if<routing::CancelAttempt>(&action)) {
        mailboxes.backend.post(*cancelled);
    } else if (const auto *refused = std::get_if<routing::Refuse>(&action)) {
        forget(refused->request, refused->outcome != Outcome::NotRun);
        mailboxes.caller.post(*refused);
    } else if (const auto *completed = std::get_if<routing::Completed>(&action)) {
        forget(completed->request, true);
    } else if (const auto *claim = std::get_if<routing::ClaimKey>(&action)) {
        claimed.insert(claim->request);
        mailboxes.control.post(*claim);
    } else if (const auto *told = std::get_if<routing::TellQuarantine>(&action)) {
        mailboxes.control.post(*told);
    } else if (const auto *probe = std::get_if<routing::ProbeBackend>(&action)) {
        mailboxes.backend.post(*probe);
    } else if (const auto *drained = std::get_if<routing::Drained>(&action)) {
        mailboxes.control.post(*drained);
    }
}

auto RouterTask::State::dispatch(const routing::Dispatch &order) -> void
{
    const auto found = payloads.find(order.request);
    if (found != payloads.end()) {
        mailboxes.backend.post(DispatchOrder{ .dispatch = order, .payload = found->second });
    }
}

auto RouterTask::State::forget(RequestId request, bool mayHaveRun) -> void
{
    payloads.erase(request);
    if (claimed.erase(request) > 0) {
        mailboxes.control.post(ClaimEnded{ .request = request, .mayHaveRun = mayHaveRun });
    }
}

auto RouterTask::State::publish() -> void
{
    mailboxes.control.post(StatusPublished{ .status = routing::statusOf(*router), .report = routing::takeReport(*router) });
}

RouterTask::RouterTask(RouterTaskOptions options, Mailboxes &mailboxes)
    : state_(std::make_unique<State>(std::move(options), mailboxes))
{
}

RouterTask::~RouterTask() = default;

auto RouterTask::run() -> void
{
    auto &state = *state_;
    const auto inbox = state.loop.receive(state.mailboxes.router, [&state](RouterMessage message) { state.take(std::move(message)); });
    const auto ticker = state.loop.every(state.options.tickInterval, [&state]() { state.feed(routing::Event(routing::Tick{})); });
    const auto publisher = state.loop.every(state.options.publishInterval, [&state]() { state.publish(); });
    state.loop.run();
}

auto RouterTask::stop() -> void
{
    state_->loop.stop();
}

} // namespace auburnspread::entry
