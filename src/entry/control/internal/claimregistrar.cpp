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

constexpr std::size_t MostSettled = 1000; // requests whose answer is awaited after their end

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
        answerFromTable(wanted, key);
        return;
    }
    grips_[wanted.request] = key;
    perform(once::submit(claimer_, wanted.request, key, now));
}

/// The stored answer goes to the caller before the router hears of the duplicate, whose refusal then finds no one.
auto ClaimRegistrar::answerFromTable(const routing::ClaimKey &wanted, const once::ClaimKey &key) -> void
{
    const auto known = once::lookup(table_, key, task::monotonicNow());
    if (known.answer != nullptr) {
        mailboxes_.caller.post(StoredAnswer{
            .request = wanted.request,
            .status = known.answer->status,
            .contentType = known.answer->contentType,
            .body = known.answer->body,
        });
    }
    settle(wanted.request, routing::ClaimResult::Duplicate);
}

auto ClaimRegistrar::keep(const AnswerKept &kept) -> void
{
    once::StoredAnswer answer{ .status = kept.answer.status, .contentType = kept.answer.contentType, .body = kept.answer.body };
    if (grips_.contains(kept.answer.request)) {
        answers_[kept.answer.request] = std::move(answer);
        return;
    }
    //! NOTE the caller task tells the answer and the router task the end, in either order
    const auto settled = settled_.extract(kept.answer.request);
    if (!settled.empty()) {
        once::settle(table_, settled.mapped(), std::move(answer), task::monotonicNow());
    }
}

auto ClaimRegistrar::rememberSettled(RequestId request, const once::ClaimKey &key) -> void
{
    settled_[request] = key;
    settledOrder_.push_back(request);
    if (settledOrder_.size() > MostSettled) {
        settled_.erase(settledOrder_.front());
        settledOrder_.pop_front();
    }
}

auto ClaimRegistrar::claimByTicket(const routing::ClaimKey &wanted, const once::Ticket &ticket) -> void
{
    switch (once::useTicket(tickets_, ticket, wanted.workspace, task::monotonicNow())) {
    case once::TicketVerdict::Run:
        grips_[wanted.request] = ticket;
        settle(wanted.request, routing::ClaimResult::Claimed);
        return;
    case once::TicketVerdict::Invalid:
        settle(wanted.request, routing::ClaimResult::Unavailable);
        return;
    case once::TicketVerdict::OtherEntry: // it may have run there: a refusal as not run could be a lie
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
    auto answer = answers_.extract(ended.request);
    if (const auto *ticket = std::get_if<once::Ticket>(&grip)) {
        if (!ended.mayHaveRun) {
            once::returnTicket(tickets_, *ticket);
        }
        return;
    }
    const auto &key = std::get<once::ClaimKey>(grip);
    if (ended.mayHaveRun) {
        if (answer.empty()) {
            rememberSettled(ended.request, key);
        }
        once::settle(table_, key, answer.empty() ? std::nullopt : std::optional(std::move(answer.mapped())), now);
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
