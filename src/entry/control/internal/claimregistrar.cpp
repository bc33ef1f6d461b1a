#include "entry/control/internal/claimregistrar.h"

#include "runtime/task/eventloop.h"
#include "wire/platform/store.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace auburnspread::entry
{

namespace
{

auto judgeCreate(platform::Verdict verdict) -> once::CreateResult
{
    switch (verdict) {
    case platform::Verdict::Applied:
        return once::CreateResult::Committed;
    case platform::Verdict::Conflict:
        return once::CreateResult::Conflict;
    case platform::Verdict::Unavailable:
    case platform::Verdict::Rejected:
        return once::CreateResult::NotApplied;
    case platform::Verdict::Unknown:
        break;
    }
    return once::CreateResult::Unknown;
}

auto judgeRead(const platform::ReadResult &result) -> once::ReadResult
{
    const auto *snapshot = std::get_if<platform::Snapshot>(&result);
    if (snapshot == nullptr) {
        return { .kind = once::ReadResult::Kind::Failed };
    }
    if (snapshot->entries.empty()) {
        return { .kind = once::ReadResult::Kind::Absent };
    }
    const auto &entry = snapshot->entries.front();
    return { .kind = once::ReadResult::Kind::Found, .value = entry.value, .index = entry.modifyIndex };
}

} // namespace

ClaimRegistrar::ClaimRegistrar(const ClaimRegistrarOptions &options, Mailboxes &mailboxes, platform::Store &store)
    : mailboxes_(mailboxes)
    , store_(store)
    , claimer_{ .options = { .entry = options.entry, .incarnation = options.incarnation } }
    , tickets_{ .options = { .entry = options.entry, .incarnation = options.incarnation } }
{
}

auto ClaimRegistrar::claim(const routing::ClaimKey &wanted) -> void
{
    if (const auto ticket = once::parseTicket(wanted.idempotencyKey)) {
        claimByTicket(wanted, *ticket);
        return;
    }
    const auto now = task::monotonicNow();
    const auto key = once::makeClaimKey(wanted.workspace, wanted.idempotencyKey);
    if (!once::begin(table_, key, now)) {
        settle(wanted.request, routing::ClaimResult::Duplicate);
        return;
    }
    grips_[wanted.request] = key;
    perform(once::submit(claimer_, wanted.request, key, now));
}

auto ClaimRegistrar::claimByTicket(const routing::ClaimKey &wanted, const once::Ticket &ticket) -> void
{
    switch (once::useTicket(tickets_, ticket, wanted.workspace, task::monotonicNow())) {
    case once::TicketVerdict::Run:
        grips_[wanted.request] = ticket;
        settle(wanted.request, routing::ClaimResult::Claimed);
        return;
    case once::TicketVerdict::Invalid:
    case once::TicketVerdict::OtherEntry:
        settle(wanted.request, routing::ClaimResult::Unavailable);
        return;
    case once::TicketVerdict::Used:
    case once::TicketVerdict::Expired:
        settle(wanted.request, routing::ClaimResult::Duplicate);
        return;
    }
}

auto ClaimRegistrar::end(const ClaimEnded &ended) -> void
{
    const auto found = grips_.find(ended.request);
    if (found == grips_.end()) {
        return;
    }
    const auto now = task::monotonicNow();
    const auto grip = std::move(found->second);
    grips_.erase(found);
    if (const auto *ticket = std::get_if<once::Ticket>(&grip)) {
        if (!ended.mayHaveRun) {
            once::returnTicket(tickets_, *ticket);
        }
        return;
    }
    const auto &key = std::get<once::ClaimKey>(grip);
    if (ended.mayHaveRun) {
        once::settle(table_, key, std::nullopt, now);
        return;
    }
    once::abandon(table_, key);
    perform(once::release(claimer_, key, now));
}

auto ClaimRegistrar::advance() -> void
{
    const auto now = task::monotonicNow();
    once::expire(table_, now);
    perform(once::advance(claimer_, now));
}

auto ClaimRegistrar::issueTicket(const std::string &workspace) -> std::string
{
    const auto ticket = once::issueTicket(tickets_, workspace, task::monotonicNow());
    return ticket ? once::formatTicket(*ticket) : std::string();
}

auto ClaimRegistrar::settle(RequestId request, routing::ClaimResult result) -> void
{
    mailboxes_.router.post(routing::Event(routing::ClaimSettled{ .request = request, .result = result }));
}

auto ClaimRegistrar::perform(const once::ClaimerActions &actions) -> void
{
    for (const auto &action : actions) {
        if (const auto *created = std::get_if<once::CreateCall>(&action)) {
            create(*created);
        } else if (const auto *readBack = std::get_if<once::ReadCall>(&action)) {
            read(*readBack);
        } else if (const auto *removed = std::get_if<once::DeleteCall>(&action)) {
            remove(*removed);
        } else if (const auto *decision = std::get_if<once::ClaimDecision>(&action)) {
            decide(*decision);
        }
    }
}

auto ClaimRegistrar::create(const once::CreateCall &call) -> void
{
    std::vector<platform::Creation> creations;
    for (const auto &operation : call.operations) {
        creations.push_back({ .key = operation.path, .value = operation.value });
    }
    store_.createAll(creations, [this, id = call.call](const platform::WriteResult &result) {
        perform(once::noteCreated(claimer_, id, judgeCreate(result.verdict), result.conflicts, task::monotonicNow()));
    });
}

auto ClaimRegistrar::read(const once::ReadCall &call) -> void
{
    store_.get(call.path,
               [this, id = call.call](const platform::ReadResult &result) { perform(once::noteRead(claimer_, id, judgeRead(result), task::monotonicNow())); });
}

auto ClaimRegistrar::remove(const once::DeleteCall &call) -> void
{
    store_.remove(call.path, call.index, [this, id = call.call](const platform::WriteResult &result) {
        const auto settled = result.verdict == platform::Verdict::Applied || result.verdict == platform::Verdict::Conflict;
        perform(once::noteDeleted(claimer_, id, settled, task::monotonicNow()));
    });
}

auto ClaimRegistrar::isBusy() const -> bool
{
    return once::isBusy(claimer_);
}

auto ClaimRegistrar::decide(const once::ClaimDecision &decision) -> void
{
    switch (decision.result) {
    case once::ClaimDecision::Result::Claimed:
        settle(decision.request, routing::ClaimResult::Claimed);
        return;
    case once::ClaimDecision::Result::Duplicate:
        settle(decision.request, routing::ClaimResult::Duplicate);
        return;
    case once::ClaimDecision::Result::Unavailable:
        settle(decision.request, routing::ClaimResult::Unavailable);
        return;
    }
}

} // namespace auburnspread::entry
