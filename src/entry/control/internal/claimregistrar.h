/// \file
/// Decides whether a non-repeatable request may run: by a ticket of this process, by what this process ran before,
/// or by a claim in the platform's service.

#pragma once

#include "core/once/claimer.h"
#include "core/once/claimtable.h"
#include "core/once/ticket.h"
#include "entry/messages/messages.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>

namespace auburnspread::platform
{
class Store;
}

namespace auburnspread::entry
{

struct ClaimRegistrarOptions {
    std::string entry;
    std::uint64_t incarnation = 0;
};

class ClaimRegistrar
{
public:
    ClaimRegistrar(const ClaimRegistrarOptions &options, Mailboxes &mailboxes, platform::Store &store);

    auto claim(const routing::ClaimKey &wanted) -> void;
    auto end(const ClaimEnded &ended) -> void;
    /// The answer of a request that holds a claim; arrives before or after its end.
    auto keep(const AnswerKept &kept) -> void;
    /// To be called every few milliseconds while isBusy().
    auto advance() -> void;
    [[nodiscard]] auto isBusy() const -> bool;
    /// A ticket for one non-repeatable request of this workspace; empty while too many are outstanding.
    auto issueTicket(const std::string &workspace) -> std::string;

private:
    /// What the key of an admitted request was.
    using Grip = std::variant<once::ClaimKey, once::Ticket>;

    auto claimByTicket(const routing::ClaimKey &wanted, const once::Ticket &ticket) -> void;
    auto answerFromTable(const routing::ClaimKey &wanted, const once::ClaimKey &key) -> void;
    auto rememberSettled(RequestId request, const once::ClaimKey &key) -> void;
    auto settle(RequestId request, routing::ClaimResult result) -> void;
    auto perform(const once::ClaimerActions &actions) -> void;
    auto create(const once::CreateCall &call) -> void;
    auto read(const once::ReadCall &call) -> void;
    auto remove(const once::DeleteCall &call) -> void;
    auto decide(const once::ClaimDecision &decision) -> void;

    Mailboxes &mailboxes_;
    platform::Store &store_;
    once::Claimer claimer_;
    once::ClaimTable table_;
    once::TicketOffice tickets_;
    std::unordered_map<RequestId, Grip> grips_;
    std::unordered_map<RequestId, once::StoredAnswer> answers_; ///< of requests that have not ended yet
    std::unordered_map<RequestId, once::ClaimKey> settled_;     ///< whose answer may still come
    std::deque<RequestId> settledOrder_;                        ///< oldest first
};

} // namespace auburnspread::entry
