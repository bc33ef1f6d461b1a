/// \file
/// What the tasks of an entry say to each other. Each task owns its sockets and its state; nothing else is shared.
///
///     caller task --Submission--> router task --DispatchOrder--> backend task --AnswerPart--> caller task

#pragma once

#include "core/base/ids.h"
#include "core/routing/actions.h"
#include "core/routing/events.h"
#include "core/routing/router.h"
#include "runtime/task/mailbox.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace auburnspread::entry
{

/// The bytes of a request, kept for dispatch and retries. Shared read-only between tasks.
struct Payload {
    routing::CallKind kind = routing::CallKind::Chat;
    bool stream = false;     ///< the caller wants a chat answer token by token
    nlohmann::json chatBody; ///< of a chat request
    std::string publicId;    ///< the request's id as the caller sees it
    std::string method;      ///< of a service call, as are all below
    std::string pathAndQuery;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
};
using PayloadPointer = std::shared_ptr<const Payload>;

/// To the router task.
struct Submission {
    routing::RequestArrived arrived;
    PayloadPointer payload;
};
using RouterMessage = std::variant<Submission, routing::Event>;

/// To the backend task.
struct DispatchOrder {
    routing::Dispatch dispatch;
    PayloadPointer payload;
};
/// The caller reads too slowly (or again fast enough): back-pressure to the backend server.
struct CallerBlocked {
    RequestId request{};
    bool blocked = true;
};
using BackendMessage = std::variant<DispatchOrder, routing::CommitAttempt, routing::CancelAttempt, routing::ProbeBackend, CallerBlocked>;

/// To the caller task: the answer of a plain service begins.
struct ServiceAnswer {
    RequestId request{};
    int status = 0;
    std::string contentType;
};
/// A token of a chat answer, or bytes of a service's answer.
struct AnswerPart {
    RequestId request{};
    std::string event;   ///< of a streamed chat answer: the SSE data
    std::string content; ///< of a whole chat answer or a service's answer
    std::string finishReason;
    nlohmann::json usage;
};
/// What was kept of a whole answer is dropped: another attempt begins from nothing.
struct AnswerRestarted {
    RequestId request{};
};
struct AnswerEnded {
    RequestId request{};
};
/// Which addresses callers should use.
struct EntriesView {
    std::vector<std::string> addresses; ///< this entry's cell in order of this entry's preference, without leaving ones
    std::uint64_t membershipVersion = 0;
    Duration keep{};
};
struct EntriesPublished {
    std::shared_ptr<const EntriesView> view;
};
/// Answer to EntriesAsked.
struct EntriesAnswered {
    RequestId request{};
    EntriesView view;
};
/// Answer to TicketsAsked.
struct TicketsAnswered {
    RequestId request{};
    std::vector<std::string> tickets; ///< fewer than asked, or none, while too many are outstanding
};
/// A repeat of a non-repeatable request that ran here: its answer once more.
struct StoredAnswer {
    RequestId request{};
    int status = 0;
    std::string contentType;
    std::string body;
};
using CallerMessage = std::variant<ServiceAnswer,
                                   AnswerPart,
                                   AnswerRestarted,
                                   AnswerEnded,
                                   routing::Refuse,
                                   EntriesPublished,
                                   EntriesAnswered,
                                   TicketsAnswered,
                                   StoredAnswer,
                                   routing::DrainStarted>;

/// To the control task.
struct StatusPublished {
    routing::RouterStatus status;
    routing::PeerReported report;
};
/// A request whose key was claimed got its final action.
struct ClaimEnded {
    RequestId request{};
    bool mayHaveRun = true; ///< false: provably not run, so the key is given free
};
/// A caller asks which addresses to use.
struct EntriesAsked {
    RequestId request{};
    std::string workspace;
    std::string requestClass;
    std::string caller; ///< the caller's IP number
};
/// A caller asks for tickets, each for one non-repeatable request at this entry.
struct TicketsAsked {
    RequestId request{};
    std::string workspace;
    std::uint32_t count = 1;
};
/// The whole answer of a service's call with an idempotency key, to be kept for its repeats.
struct AnswerKept {
    StoredAnswer answer;
};
/// SIGTERM or an operator's order to leave.
struct DrainAsked {
};
using ControlMessage = std::
    variant<StatusPublished, routing::ClaimKey, ClaimEnded, routing::TellQuarantine, routing::Drained, EntriesAsked, TicketsAsked, AnswerKept, DrainAsked>;

/// The mailboxes of all tasks; made before the tasks start, so that any may post to any other at any time.
struct Mailboxes {
    task::Mailbox<RouterMessage> router;
    task::Mailbox<BackendMessage> backend;
    task::Mailbox<CallerMessage> caller;
    task::Mailbox<ControlMessage> control;
};

} // namespace auburnspread::entry
