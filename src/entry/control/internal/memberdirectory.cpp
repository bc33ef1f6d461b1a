#include "entry/control/internal/memberdirectory.h"

#include "entry/control/internal/registration.h"
#include "runtime/task/eventloop.h"
#include "wire/peer/links.h"
#include "wire/platform/store.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace auburnspread::entry
{

namespace
{

constexpr Duration YoungTime = std::chrono::seconds(5);
constexpr Duration YoungKeep = std::chrono::milliseconds(500);

auto membershipOptions(const MemberDirectoryOptions &options) -> membership::MembershipOptions
{
    const auto &settings = options.settings;
    return {
        .self = {
            .name = settings.name,
            .callerAddress = settings.callerAddress,
            .peerAddress = settings.peerAddress,
            .adminAddress = settings.adminAddress,
            .failureDomain = settings.failureDomain,
            .region = settings.region,
            .incarnation = options.incarnation,
        },
        .seeds = settings.seeds,
        .seed = settings.seed,
        .leaseTime = settings.leaseTime,
    };
}

} // namespace

MemberDirectory::MemberDirectory(MemberDirectoryOptions options, Mailboxes &mailboxes, peer::Links &links, platform::Store &store)
    : options_(std::move(options))
    , mailboxes_(mailboxes)
    , links_(links)
    , store_(store)
    , state_(membership::makeMembership(membershipOptions(options_)))
{
}

auto MemberDirectory::feed(const membership::Event &event) -> void
{
    for (const auto &action : membership::step(*state_, event, task::monotonicNow())) {
        perform(action);
    }
}

auto MemberDirectory::state() const -> const membership::MembershipState &
{
    return *state_;
}

auto MemberDirectory::perform(const membership::Action &action) -> void
{
    if (const auto *dialled = std::get_if<membership::ConnectPeer>(&action)) {
        links_.connect(dialled->address);
    } else if (const auto *closed = std::get_if<membership::ClosePeer>(&action)) {
        links_.disconnect(closed->address);
    } else if (const auto *records = std::get_if<membership::SendRecords>(&action)) {
        links_.send(records->to, peer::Members{ .records = records->records, .digest = records->digest });
    } else if (const auto *wanted = std::get_if<membership::RegisterWanted>(&action)) {
        writeRegistration(*wanted);
    } else if (std::holds_alternative<membership::RenewWanted>(action)) {
        renew();
    } else if (std::holds_alternative<membership::ReadListWanted>(action)) {
        readList();
    } else if (const auto *cell = std::get_if<membership::CellChanged>(&action)) {
        options_.cellChanged(cell->entries);
    } else if (std::holds_alternative<membership::AnswersChanged>(action)) {
        publish();
    } else if (const auto *changed = std::get_if<membership::IncarnationChanged>(&action)) {
        links_.setIncarnation(changed->incarnation);
    } else if (const auto *leave = std::get_if<membership::LeaveWanted>(&action)) {
        options_.leaveWanted(leave->cause);
    }
}

/// Failure: an entry that just started knows itself alone. Symptom: callers that ask it then keep its one address
/// for long and crowd there. While the list is young the answer may be kept only shortly.
/// Failure: an entry that just started knows itself alone. Symptom: callers that ask it then keep its one address
/// for long and crowd there. While the list is young the answer may be kept only shortly.
auto MemberDirectory::answer(const EntriesAsked &asked, const std::string &model) const -> EntriesView
{
    const auto answer = membership::entriesAnswer(*state_,
                                                  {
                                                      .workspace = asked.workspace,
                                                      .requestClass = asked.requestClass,
                                                      .model = model,
                                                      .caller = asked.caller,
                                                  },
                                                  task::monotonicNow());
    const auto isYoung = task::monotonicNow() - startedAt_ < YoungTime;
    return {
        .addresses = answer.addresses,
        .membershipVersion = answer.membershipVersion,
        .keep = isYoung ? std::min(answer.keep, YoungKeep) : answer.keep,
    };
}

/// Failure: this entry was restarted while the lease of its past run still holds the registration. Symptom: the
/// new run cannot register until the old lease lapses, and is unknown to new entries meanwhile. The old session is
/// ended by its id; that is safe because a name belongs to one VM and a run with a higher incarnation is the newer.
auto MemberDirectory::writeRegistration(const membership::RegisterWanted &wanted) -> void
{
    const auto name = "entry/" + options_.settings.name;
    store_.createSession(name, wanted.leaseTime, [this, record = wanted.record](const platform::SessionResult &result) {
        if (result.state != platform::SessionState::Live) {
            feed(membership::LeaseSettled{ .result = membership::PlatformResult::Unavailable });
            return;
        }
        session_ = result.id;
        acquire(record, true);
    });
}

auto MemberDirectory::acquire(const membership::MemberRecord &record, bool mayReplace) -> void
{
    const platform::Put put{ .key = registrationKey(), .value = toJson(record).dump(), .acquire = session_ };
    store_.put(put, [this, record, mayReplace](const platform::WriteResult &result) {
        if (result.verdict == platform::Verdict::Applied) {
            feed(membership::LeaseSettled{ .result = membership::PlatformResult::Done });
        } else if (result.verdict == platform::Verdict::Conflict && mayReplace) {
            replaceHolder(record);
        } else {
            feed(membership::LeaseSettled{ .result = membership::PlatformResult::Unavailable });
        }
    });
}

auto MemberDirectory::replaceHolder(const membership::MemberRecord &record) -> void
{
    store_.get(registrationKey(), [this, record](const platform::ReadResult &result) {
        const auto *snapshot = std::get_if<platform::Snapshot>(&result);
        const auto found = snapshot != nullptr && !snapshot->entries.empty();
        const auto holder = found ? parseRegistration(snapshot->entries.front().value) : std::nullopt;
        if (!found || (holder && holder->incarnation > record.incarnation)) {
            feed(membership::LeaseSettled{ .result = membership::PlatformResult::Unavailable });
            return;
        }
        store_.destroySession(snapshot->entries.front().session, [this, record](const platform::WriteResult & /*result*/) { acquire(record, false); });
    });
}

auto MemberDirectory::renew() -> void
{
    store_.renewSession(session_, [this](const platform::SessionResult &result) {
        auto told = membership::PlatformResult::Unavailable;
        if (result.state == platform::SessionState::Live) {
            told = membership::PlatformResult::Done;
        } else if (result.state == platform::SessionState::Gone) {
            told = membership::PlatformResult::LeaseLapsed;
        }
        feed(membership::LeaseSettled{ .result = told });
    });
}

auto MemberDirectory::readList() -> void
{
    store_.list(std::string(RegistrationPrefix), [this](const platform::ReadResult &result) {
        const auto *snapshot = std::get_if<platform::Snapshot>(&result);
        if (snapshot == nullptr) {
            feed(membership::ListFailed{});
            return;
        }
        membership::RegistrationsListed listed;
        for (const auto &entry : snapshot->entries) {
            if (auto record = parseRegistration(entry.value)) {
                listed.records.push_back(std::move(*record));
            }
        }
        feed(listed);
    });
}

/// Ends the registration at once, so that a new entry does not learn of this one.
auto MemberDirectory::unregister() -> void
{
    if (!session_.empty()) {
        store_.destroySession(std::exchange(session_, {}), [](const platform::WriteResult & /*result*/) {});
    }
}

auto MemberDirectory::registrationKey() const -> std::string
{
    return std::string(RegistrationPrefix) + options_.settings.name;
}

/// The caller task redirects by this list once the entry drains, so it names other entries only.
auto MemberDirectory::publish() -> void
{
    auto view = std::make_shared<EntriesView>();
    for (const auto &member : membership::listMembers(*state_)) {
        if (membership::isServing(member.state) && member.name != options_.settings.name) {
            view->addresses.push_back(member.callerAddress);
        }
    }
    view->membershipVersion = membership::membershipVersion(*state_);
    mailboxes_.caller.post(EntriesPublished{ .view = std::move(view) });
}

} // namespace auburnspread::entry
