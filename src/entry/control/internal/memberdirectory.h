/// \file
/// Carries the membership's actions out over peer links and the platform's service, and tells the other tasks.

#pragma once

#include "core/membership/membership.h"
#include "entry/messages/messages.h"
#include "entry/settings/entrysettings.h"
#include "runtime/task/eventloop.h"

#include <functional>
#include <string>
#include <vector>

namespace auburnspread::peer
{
class Links;
}
namespace auburnspread::platform
{
class Store;
}

namespace auburnspread::entry
{

struct MemberDirectoryOptions {
    EntrySettings settings;
    std::uint64_t incarnation = 0;
    /// The entries of the cell that serve, this one included if it serves.
    std::function<void(const std::vector<std::string> &entries)> cellChanged;
    /// Others hold this entry for leaving: it must drain.
    std::function<void(membership::LeaveCause cause)> leaveWanted;
};

class MemberDirectory
{
public:
    MemberDirectory(MemberDirectoryOptions options, Mailboxes &mailboxes, peer::Links &links, platform::Store &store);

    auto feed(const membership::Event &event) -> void;
    /// Addresses for one caller; \p model: what the cell is chosen by.
    auto answer(const EntriesAsked &asked, const std::string &model) const -> EntriesView;

    auto unregister() -> void;
    [[nodiscard]] auto state() const -> const membership::MembershipState &;

private:
    auto perform(const membership::Action &action) -> void;
    auto sendRecords(const membership::SendRecords &records) -> void;
    auto publish() -> void;
    auto writeRegistration(const membership::RegisterWanted &wanted) -> void;
    auto acquire(const membership::MemberRecord &record, bool mayReplace) -> void;
    auto replaceHolder(const membership::MemberRecord &record) -> void;
    auto renew() -> void;
    auto readList() -> void;
    [[nodiscard]] auto registrationKey() const -> std::string;

    MemberDirectoryOptions options_;
    Mailboxes &mailboxes_;
    peer::Links &links_;
    platform::Store &store_;
    membership::MembershipStatePointer state_;
    TimePoint startedAt_ = task::monotonicNow();
    std::string session_; ///< the lease's session in the platform's service; empty: none
};

} // namespace auburnspread::entry
